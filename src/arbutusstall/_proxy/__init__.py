"""The call path and the streams between nodes on one event loop."""
