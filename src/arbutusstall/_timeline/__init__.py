"""Merges the event lines of many processes and checks invariants."""
