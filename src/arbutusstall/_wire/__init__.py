"""Messages between nodes and their encoding."""
