"""Probes whether a target still listens."""

import asyncio

_PROBE_TIMEOUT_S = 0.2


async def refuses_connections(address: str) -> bool:
    """Return whether a target's address refuses connections.

    A connection that fails otherwise or times out proves no crash.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError, OverflowError):
        return False
    writer.close()
    return False
