"""Merging and checking the event lines of many processes."""
