"""One request of a client as a WSGI application sees it."""

from collections import abc
import io
import sys
from typing import Any
from urllib import parse

from arbutusstall._proxy import http_messages

CANCELLATION = "arbutusstall.cancellation"

_HEADERS_WITHOUT_PREFIX = frozenset({"CONTENT_TYPE", "CONTENT_LENGTH"})


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


def make_environ(
    request: http_messages.Request, cancellation: Cancellation, address: str
) -> dict[str, Any]:
    """Return the WSGI environment of a complete request.

    Args:
        cancellation: Stored under `CANCELLATION`.
        address: Address that the server listens on.
    """
    host, _, port = address.rpartition(":")
    url = parse.urlsplit(_origin_form(request.target))
    environ: dict[str, Any] = {
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(request.body),
        "wsgi.errors": sys.stderr,
        "wsgi.multithread": True,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
        "REQUEST_METHOD": request.method,
        "SCRIPT_NAME": "",
        "PATH_INFO": parse.unquote(url.path, "latin-1"),
        "QUERY_STRING": url.query,
        "REQUEST_URI": request.target,
        "REMOTE_ADDR": request.peer,
        "SERVER_NAME": host,
        "SERVER_PORT": port,
        "SERVER_PROTOCOL": "HTTP/1.1",
        CANCELLATION: cancellation,
    }
    if url.netloc:
        environ["HTTP_HOST"] = url.netloc
    _add_headers(environ, request.headers)
    environ["CONTENT_LENGTH"] = str(len(request.body))
    environ.pop("HTTP_TRANSFER_ENCODING", None)
    return environ


def _origin_form(target: str) -> str:
    """Keep two slashes at the start from being taken for a host."""
    return f"/{target.lstrip('/')}" if target.startswith("//") else target


def _add_headers(
    environ: dict[str, Any], headers: abc.Iterable[tuple[str, str]]
) -> None:
    for name, value in headers:
        if "_" in name:
            # Cannot be told from the name with a dash in its place.
            continue
        key = name.upper().replace("-", "_")
        if key not in _HEADERS_WITHOUT_PREFIX:
            key = f"HTTP_{key}"
        known = environ.get(key)
        environ[key] = value if known is None else f"{known},{value}"
