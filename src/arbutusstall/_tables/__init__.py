"""Entity tables: immutable rows in mappings named after their keys."""
