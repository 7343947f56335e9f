"""The call path and the control streams on one event loop."""
