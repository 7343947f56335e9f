"""Evacuation of data centres: no new requests to the targets there."""
