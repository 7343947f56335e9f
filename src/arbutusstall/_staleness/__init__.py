"""Bounds how long a node is without news of the external source."""
