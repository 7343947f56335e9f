"""Answers of faulty targets that have no end."""

import contextlib
import socket

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
_BLOCK = b"x" * 4_000
_OTHER_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nab"
)

# The start of an answer, and the data repeated until the connection closes.
ANSWERS_BY_NAME = {
    "a reason phrase": (b"HTTP/1.1 200 ", _BLOCK),
    "a header name": (OK, _BLOCK),
    "a header value": (OK + b"X-Long: ", _BLOCK),
    "header lines": (OK, b"X-More: 1\r\n" * 300),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "chunk extensions": (CHUNKED + b"4;", _BLOCK),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: 1\r\n" * 300),
    "a body in chunks": (CHUNKED, b"fa0\r\n" + _BLOCK + b"\r\n"),
    "a body with a length": (
        OK + b"Content-Length: 100000000000\r\n\r\n",
        _BLOCK,
    ),
    "a body without length": (OK + b"\r\n", _BLOCK),
    "answers to others": (b"", _OTHER_ANSWER * 50),
}


def send(sock: socket.socket, name: str) -> None:
    """Send the answer with this name until the peer closes."""
    first, then = ANSWERS_BY_NAME[name]
    with contextlib.suppress(OSError):
        sock.sendall(first)
        while True:
            sock.sendall(then)
