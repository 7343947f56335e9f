"""HTTP/1.1 exchanges over a persistent connection.

Based on the request handler of werkzeug's development server.
"""

from collections import abc
import io
import socket
from typing import Any

from werkzeug import exceptions
from werkzeug import serving

CANCELLATION = "arbutusstall.cancellation"

_SOCKET_TIMEOUT_S = 10.0
_MAX_BODY_BYTES = 16 * 1024 * 1024
_LINE_ENDS = (b"\r\n", b"\n")
_BODILESS_STATUSES = frozenset({204, 304})


class Cancellation:
    """Reports that the client closed the connection during an exchange.

    Attributes:
        cancelled: Whether the client has closed the connection.
    """

    def __init__(self) -> None:
        self.cancelled = False
        self._callback: abc.Callable[[], None] | None = None

    def set_callback(self, callback: abc.Callable[[], None] | None) -> None:
        """Call ``callback`` when the client closes the connection.

        It is called at once if this has happened; None removes it.
        """
        self._callback = callback
        if self.cancelled and callback is not None:
            callback()

    def cancel(self) -> None:
        """Record that the client closed the connection."""
        self.cancelled = True
        callback = self._callback
        if callback is not None:
            callback()


class _HeadReader:
    """Remembers the last line of a request head.

    The parser treats the end of the stream as the end of the head, so it
    would accept a truncated head as a complete, shorter one.
    """

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        self.last_line = self._stream.readline(limit)
        return self.last_line


class Exchange(serving.WSGIRequestHandler):
    """Answers the requests of one connection, one at a time.

    A request is read completely before the application runs; a truncated
    request never reaches it.

    Attributes:
        closing: Whether to close the connection after the next answer.
        cancellation: Reports that the client closed the connection during
            the current exchange.
    """

    protocol_version = "HTTP/1.1"
    # With Nagle's algorithm, a small answer would wait until the client has
    # acknowledged the data before it.
    disable_nagle_algorithm = True
    timeout = _SOCKET_TIMEOUT_S

    def __init__(
        self, request: socket.socket, client_address: Any, server: Any
    ) -> None:
        self.request = request
        self.client_address = client_address
        self.server = server
        self.close_connection = True
        self.closing = False
        self.cancellation = Cancellation()
        self.setup()

    def serve_one(self) -> bool:
        """Answer one request; return whether the connection is kept."""
        self.cancellation = Cancellation()
        self.close_connection = True
        try:
            self.handle_one_request()
        except OSError:
            return False
        finally:
            # A client that closes after its answer must cancel nothing.
            self.cancellation.set_callback(None)
        return not self.close_connection

    def has_buffered(self) -> bool:
        """Return whether bytes of the next request have arrived."""
        self.connection.settimeout(0)
        try:
            return bool(self.rfile.peek(1))  # type: ignore[attr-defined]
        except OSError:
            return False
        finally:
            self.connection.settimeout(self.timeout)

    def close(self) -> None:
        """Close the connection."""
        try:
            self.finish()
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.connection.close()

    def parse_request(self) -> bool:
        """Parse the head; return whether it is valid and complete."""
        stream = self.rfile
        reader = _HeadReader(stream)
        self.rfile = reader  # type: ignore[assignment]
        try:
            parsed = super().parse_request()
        finally:
            self.rfile = stream
        if parsed and reader.last_line not in _LINE_ENDS:
            self.close_connection = True
            return False
        return parsed

    def run_wsgi(self) -> None:
        """Read the body, run the application and write its answer."""
        environ = self.make_environ()
        body = self._read_body(environ)
        if body is None:
            return
        environ["wsgi.input"] = io.BytesIO(body)
        environ["CONTENT_LENGTH"] = str(len(body))
        environ.pop("HTTP_TRANSFER_ENCODING", None)
        environ[CANCELLATION] = self.cancellation
        self._respond(environ)

    def log(self, type: str, message: str, *args: Any) -> None:
        """Discard the access log; the proxies write their own events."""

    def _read_body(self, environ: dict[str, Any]) -> bytes | None:
        if environ.get("wsgi.input_terminated"):
            return self._read_chunked(environ["wsgi.input"])
        try:
            length = int(environ.get("CONTENT_LENGTH") or 0)
        except ValueError:
            length = -1
        if not 0 <= length <= _MAX_BODY_BYTES:
            self._reject(413 if length > 0 else 400)
            return None
        body = self.rfile.read(length) if length else b""
        if len(body) < length:
            self.close_connection = True
            return None
        return body

    def _read_chunked(self, stream: Any) -> bytes | None:
        try:
            body: bytes = stream.read(_MAX_BODY_BYTES + 1)
        except OSError:
            self.close_connection = True
            return None
        if len(body) > _MAX_BODY_BYTES:
            self._reject(413)
            return None
        return body

    def _reject(self, status: int) -> None:
        self.close_connection = True
        self.send_error(status)

    def _respond(self, environ: dict[str, Any]) -> None:
        started: list[Any] = []

        def start_response(
            status: str, headers: list[tuple[str, str]], exc_info: Any = None
        ) -> abc.Callable[[bytes], object]:
            started[:] = [status, headers]
            return started.append

        try:
            chunks = self.server.app(environ, start_response)
            body = b"".join(chunks)
        except Exception as exc:
            self.server.log("error", "unhandled error: %r", exc)
            self.close_connection = True
            body = b"".join(
                exceptions.InternalServerError()(environ, start_response)
            )
        self._write(started[0], started[1], body)

    def _write(
        self, status: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        if self.closing:
            self.close_connection = True
        code = int(status.split(" ", 1)[0])
        lines = [f"HTTP/1.1 {status}"]
        has_length = False
        for name, value in headers:
            has_length = has_length or name.lower() == "content-length"
            lines.append(f"{name}: {value}")
        if not has_length and code not in _BODILESS_STATUSES:
            lines.append(f"Content-Length: {len(body)}")
        if self.close_connection:
            lines.append("Connection: close")
        if self.command == "HEAD" or code in _BODILESS_STATUSES:
            body = b""
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self.wfile.write(head + body)
