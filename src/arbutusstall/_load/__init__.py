"""The load tool: what to send, when, and what came of it."""
