"""The platform log: records, their fold, and the client interface."""
