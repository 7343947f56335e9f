"""HTTP client of the platform log.

``POST /records`` appends the body and returns ``{"offset": N}``.
``GET /records?from=N&wait_ms=M`` returns ``{"first_kept": N,
"next_offset": N, "entries": [{"offset": N, "data": TEXT}, ...]}`` as
soon as there is an entry at or after ``from``, or else after ``wait_ms``
milliseconds.
"""

import dataclasses
from typing import TypeVar

import msgspec

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._shell import http

_OK = 200
_TOO_MANY_REQUESTS = 429

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Entry:
    offset: int
    data: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ReadAnswer:
    first_kept: int
    next_offset: int
    entries: tuple[_Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _AppendAnswer:
    offset: int


class HttpLogClient:
    """Accesses the platform log over HTTP; thread-safe."""

    def __init__(self, settings: _settings.LogSettings) -> None:
        self._settings = settings

    def append(self, data: bytes) -> int:
        """Store ``data`` and return its offset; see `LogClient`."""
        body = self._request(
            http.Request(
                method="POST",
                url=f"{self._settings.url}/records",
                body=data,
                timeout_s=self._settings.request_timeout_s,
                answer_bytes=self._settings.answer_bytes,
            ),
            step="log.append",
        )
        return self._decode(body, _AppendAnswer, "log.append").offset

    def read(self, offset: int, wait_s: float) -> _effects.LogRead:
        """Return the entries from ``offset`` on; see `LogClient`."""
        wait_ms = int(wait_s * 1000)
        first_s = self._settings.request_timeout_s + wait_s
        body = self._request(
            http.Request(
                method="GET",
                url=f"{self._settings.url}/records"
                f"?from={offset}&wait_ms={wait_ms}",
                timeout_s=first_s + self._settings.transfer_s,
                answer_bytes=self._settings.answer_bytes,
                stalls=http.StallLimits(
                    first_s=first_s, next_s=self._settings.request_timeout_s
                ),
            ),
            step="log.read",
        )
        answer = self._decode(body, _ReadAnswer, "log.read")
        return _effects.LogRead(
            entries=tuple(
                _effects.LogEntry(
                    offset=entry.offset, data=entry.data.encode()
                )
                for entry in answer.entries
            ),
            first_kept=answer.first_kept,
            next_offset=answer.next_offset,
        )

    def _decode(self, body: bytes, kind: type[T], step: str) -> T:
        try:
            return msgspec.json.decode(body, type=kind)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            raise errors.LogUnavailable(
                step=step, peer=self._settings.url, reason=f"answer: {exc}"
            ) from exc

    def _request(self, request: http.Request, step: str) -> bytes:
        try:
            response = http.send(request)
        except errors.ArbutusstallError as exc:
            raise errors.LogUnavailable(
                step=step, peer=self._settings.url, reason=exc.reason
            ) from exc
        if response.status == _TOO_MANY_REQUESTS:
            raise errors.LogOverloaded(
                step=step,
                peer=self._settings.url,
                reason="rate limit exceeded",
            )
        if response.status != _OK:
            raise errors.LogUnavailable(
                step=step,
                peer=self._settings.url,
                reason=f"status {response.status}",
            )
        return response.body
