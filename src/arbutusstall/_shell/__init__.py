"""Threads, sockets and clocks around the decision logic."""
