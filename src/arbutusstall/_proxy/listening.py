"""Listens on an address without accepting many connections at once."""

import asyncio
from collections import abc
import dataclasses
import socket

_BACKLOG = 1_024
# Connections accepted in one turn of the loop. Each takes a descriptor before
# the bound of connections can close it or another one.
_ACCEPT_BATCH = 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listener:
    """An address that the running loop accepts connections on."""

    sock: socket.socket
    server: asyncio.Server


async def listen(
    address: str, make_protocol: abc.Callable[[], asyncio.BaseProtocol]
) -> Listener:
    """Listen on ``address``, given as ``HOST:PORT``.

    Raises:
        OSError: The address is in use or is not one of this machine.
    """
    host, _, port = address.rpartition(":")
    sock = socket.create_server((host, int(port)), backlog=_BACKLOG)
    sock.setblocking(False)
    server = await asyncio.get_running_loop().create_server(
        make_protocol, sock=sock, backlog=_ACCEPT_BATCH
    )
    # The loop has set the queue of the kernel to the size of a batch.
    sock.listen(_BACKLOG)
    return Listener(sock=sock, server=server)
