"""Finds out how many requests a target runs well at the same time."""
