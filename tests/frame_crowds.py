"""Crowds that send frames of messages to the address for other nodes."""

from collections import abc
import socket
import struct
import time
import zlib

import calls
import crowds
import msgspec

from arbutusstall._wire import messages

# A frame of a node with 100 MB of memory may have 9 MB.
_FRAME_BYTES = 8_900_000
_PART_BYTES = 200_000
_BODY_PART_BYTES = 8_192
_BATCH = 64
_LENGTH = struct.Struct(">I")


def _frame(data: bytes) -> bytes:
    return _LENGTH.pack(len(data)) + data


def _call(
    call_id: str,
    *,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b"",
    body_bytes: int = 0,
) -> messages.CallRequest:
    return calls.booking(
        call_id=call_id,
        request_id=call_id,
        incarnation=0,
        route="/x/",
        method="GET",
        headers=headers,
        body=body,
        deadline_ms=1_500,
        idempotent=True,
        body_bytes=body_bytes,
    )


def _large_frames(make: abc.Callable[[], messages.Message]) -> crowds.Sender:
    """Return a function that sends the same large frame without end."""

    def send(sock: socket.socket, end_s: float) -> None:
        data = _frame(messages.encode(make()))
        assert len(data) < _FRAME_BYTES, len(data)
        while time.monotonic() < end_s:
            sock.sendall(data)

    return send


def _never_end(size: int) -> crowds.Sender:
    """Return a function that sends a frame without its last byte."""

    def send(sock: socket.socket, _end_s: float) -> None:
        sock.sendall(_LENGTH.pack(_FRAME_BYTES) + b"x" * (size - 1))
        sock.recv(1)

    return send


def _send_grown(sock: socket.socket, end_s: float) -> None:
    """Send small frames that decompress to 60 MB."""
    body = zlib.compress(b"\x92\xa5alive" + b"\x00" * 60_000_000, 9)
    data = _frame(msgspec.msgpack.encode(("zlib", body)))
    while time.monotonic() < end_s:
        sock.sendall(data)


def _take_no_greetings(sock: socket.socket, end_s: float) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    data = _frame(messages.encode(messages.CallGreeting(node="crowd"))) * 1_000
    while time.monotonic() < end_s:
        sock.sendall(data)


def _send_unknown_parts(sock: socket.socket, end_s: float) -> None:
    part = messages.CallBody(call_id="none", data=b"x" * _BODY_PART_BYTES)
    data = _frame(messages.encode(part)) * _BATCH
    while time.monotonic() < end_s:
        sock.sendall(data)


def _announce_bodies(sock: socket.socket, end_s: float) -> None:
    """Announce bodies that never come."""
    number = 0
    while time.monotonic() < end_s:
        number += 1
        call = _call(f"{id(sock)}-{number}", body_bytes=1_000_000)
        sock.sendall(_frame(messages.encode(call)))


SENDERS_BY_KIND: dict[str, crowds.Sender] = {
    "frames that never end": _never_end(_FRAME_BYTES),
    "parts of frames on 400 connections": _never_end(_PART_BYTES),
    "frames over the limit": crowds.repeat(
        lambda: _LENGTH.pack(2**31), b"x" * 64 * 1024
    ),
    "empty frames without end": crowds.repeat(
        lambda: b"", _LENGTH.pack(0) * 16 * 1024
    ),
    "calls of very many header lines": _large_frames(
        lambda: _call("lines", headers=(("a", ""),) * 2_000_000)
    ),
    "calls with large bodies": _large_frames(
        lambda: _call("bodies", body=b"x" * 8_000_000)
    ),
    "compressed frames that grow": _send_grown,
    "greetings whose answers nobody takes": _take_no_greetings,
    "parts of bodies of no call": _send_unknown_parts,
    "calls whose bodies never come": _announce_bodies,
}

ALL_SENDERS_BY_KIND: dict[str, crowds.Sender] = {
    **crowds.SENDERS_BY_KIND,
    **SENDERS_BY_KIND,
}
