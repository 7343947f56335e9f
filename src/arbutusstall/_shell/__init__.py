"""Runs the decision logic with threads, sockets and clocks."""
