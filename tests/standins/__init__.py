"""Stand-ins for systems outside the mesh."""
