"""Tenants: API keys, their revocation, and quotas over all nodes."""
