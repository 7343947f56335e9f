"""Entity tables: frozen data classes held in mappings named by key."""
