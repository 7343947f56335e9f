"""Bounds of what one process holds and computes for its connections."""
