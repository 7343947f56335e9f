"""A client that sends one request on a new connection."""

import dataclasses
import socket
import time

from rig import endpoint


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What a client got.

    Attributes:
        status: HTTP status; 0 if the connection ended before it.
        whole: Whether the body is as long as the head says.
    """

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


def send(
    address,
    method,
    path,
    headers,
    *,
    body=b"",
    timeout_s=3.0,
    buffer_bytes=0,
    segment_bytes=0,
    bytes_per_s=0,
):
    """Send a request and return the answer.

    Args:
        buffer_bytes: Size of the socket's receive buffer; 0 for the
            system's.
        segment_bytes: Size of TCP segments, as on the link of a client
            elsewhere; 0 for that of the loopback link.
        bytes_per_s: Rate at which the body is read; 0 for no limit.
    """
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}"] if body else []
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    sock = socket.socket()
    sock.settimeout(timeout_s)
    try:
        if buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        if segment_bytes:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes
            )
        sock.connect((host, int(port)))
        sock.sendall(head + body)
        with sock.makefile("rb", buffering=4096) as stream:
            return _read(stream, bytes_per_s)
    except OSError:
        return Answer()
    finally:
        sock.close()


def _read(stream, bytes_per_s):
    line = stream.readline().split()
    if len(line) < 2:
        return Answer()
    headers = endpoint.read_headers(stream)
    size = int(headers.get("content-length", 0))
    body = bytearray()
    began_s = time.monotonic()
    try:
        while len(body) < size:
            part = stream.read1(min(16384, size - len(body)))
            if not part:
                break
            body += part
            if bytes_per_s:
                due_s = began_s + len(body) / bytes_per_s
                time.sleep(max(0.0, due_s - time.monotonic()))
    except OSError:
        pass
    return Answer(
        status=int(line[1]),
        headers=headers,
        body=bytes(body),
        whole=len(body) == size,
    )
