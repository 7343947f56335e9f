"""Runs a node on the users' platform: names, formats and calls."""
