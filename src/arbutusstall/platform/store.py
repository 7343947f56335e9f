"""Client of the platform's store, which keeps topics of records."""

import base64
from collections import abc
import dataclasses
import logging
import struct
import threading
from typing import Annotated
from typing import TypeVar
import urllib.parse

import msgspec

from arbutusstall import _settings
from arbutusstall import _values
from arbutusstall import errors
from arbutusstall._shell import http

LOG = logging.getLogger(__name__)

_OK = 200
_GONE = 410
_TOO_MANY = 429
_ERA_HEADER = "store-era"
_MAX_ERA = (1 << 31) - 1
_ERA_DIGITS = 10
_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")

# Configuration versions reserve 40 bits for an offset.
_MAX_OFFSET = (1 << 40) - 1
_Offset = Annotated[int, msgspec.Meta(ge=0, le=_MAX_OFFSET)]

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Records:
    """The result of reading a topic.

    Attributes:
        first_kept: Oldest offset that the store still keeps.
        next_offset: Offset that the next appended record will get.
        offset: Offset of the first of ``values``.
        values: Contents of consecutive records; empty if there are none.
        era: Rises each time the store returns from an older copy and
            assigns offsets again; 0 if the store does not report it.
    """

    first_kept: int
    next_offset: int
    offset: int
    values: tuple[bytes, ...]
    era: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyedRecord:
    """A record with a key, for topics that are read per key."""

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewestRecords:
    """The newest record of each key of a topic.

    Attributes:
        next_offset: Offset from which later records are to be read.
        era: See `Records`.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    era: int = 0


class _Appended(msgspec.Struct, frozen=True, rename="camel"):
    offset: _Offset


class _Gone(msgspec.Struct, frozen=True, rename="camel"):
    first_offset: _Offset


class _Item(msgspec.Struct, frozen=True, rename="camel"):
    key: str
    value: str
    offset: _Offset


class _Page(msgspec.Struct, frozen=True, rename="camel"):
    items: tuple[_Item, ...]
    more: bool
    end_offset: _Offset


class Store:
    """Appends to topics and reads them; safe to use from any thread."""

    def __init__(self, settings: _settings.LogSettings) -> None:
        self._settings = settings
        self._era = 0
        self._era_lock = threading.Lock()

    def append(self, topic: str, value: bytes) -> int:
        """Append one record and return its offset.

        Raises:
            LogOverloaded: The record exceeded the store's rate limit.
            LogUnavailable: The store did not confirm the record, which
                may have been stored nevertheless.
        """
        query = {"topic": topic, "part": "0"}
        offset, _ = self._append(query, [value])
        return offset

    def append_at(
        self, topic: str, values: abc.Iterable[bytes], newest: NewestRecords
    ) -> int:
        """Append records if a topic still ends where it was read to.

        Returns:
            The offset of the first record.

        Raises:
            LogOverloaded: The records exceeded the store's rate limit.
            LogUnavailable: The topic does not end there, or the store did
                not confirm the records, or its era has changed; the
                records may have been stored.
        """
        at = str(newest.next_offset)
        query = {"topic": topic, "part": "0", "at": at}
        offset, era = self._append(query, values)
        if era != newest.era:
            # The same offset of another era may follow other records.
            raise self._unavailable(
                "/log-append", f"era {era} after a read in {newest.era}"
            )
        return offset

    def read(self, topic: str, offset: int, wait_s: float) -> Records:
        """Return the records from ``offset`` on.

        If they have expired, the result has no records, and its offset
        is that of the oldest record that is kept.

        Args:
            wait_s: Maximum time to wait for a new record, in seconds.

        Raises:
            LogUnavailable: The store did not answer or returned an error.
        """
        query = {
            "topic": topic,
            "part": "0",
            "from": str(offset),
            "waitMs": str(int(wait_s * 1000)),
        }
        response = self._exchange("GET", "/log-read", query, wait_s=wait_s)
        if response.status == _GONE:
            first = self._decode(response.body, _Gone).first_offset
            return Records(
                first_kept=first,
                next_offset=first,
                offset=first,
                values=(),
                era=_era(response),
            )
        self._check(response, "/log-read")
        records = self._decode_records(response.body, offset)
        return dataclasses.replace(records, era=_era(response))

    def read_newest(self, topic: str) -> NewestRecords:
        """Return the newest record of each key of ``topic``.

        Raises:
            LogUnavailable: The store did not answer or returned an error.
        """
        collected: list[KeyedRecord] = []
        end = 0
        era: int | None = None
        query = {"topic": topic, "part": "0"}
        while True:
            response = self._request("GET", "/log-newest", query)
            page = self._decode(response.body, _Page)
            if era not in (None, _era(response)):
                raise self._unavailable("/log-newest", "pages of two eras")
            era = _era(response)
            # The topic may change between two pages. Reading on from
            # the end offset of the first page misses no such change.
            end = end or page.end_offset
            found = [_keyed_record(item) for item in page.items]
            collected += [record for record in found if record is not None]
            if not page.more or not page.items:
                break
            last_key = page.items[-1].key
            if last_key == query.get("after"):
                raise self._unavailable("/log-newest", "a page repeats")
            query["after"] = last_key
        return NewestRecords(
            records=tuple(collected), next_offset=end, era=era
        )

    def _append(
        self, query: dict[str, str], values: abc.Iterable[bytes]
    ) -> tuple[int, int]:
        body = b"".join(_LENGTH.pack(len(value)) + value for value in values)
        response = self._request("POST", "/log-append", query, body=body)
        offset = self._decode(response.body, _Appended).offset
        return offset, _era(response)

    def _decode_records(self, data: bytes, offset: int) -> Records:
        if len(data) < _READ_HEADER.size:
            raise self._unavailable(
                "/log-read",
                f"answer truncated: got {len(data)} bytes, "
                f"its header has {_READ_HEADER.size}",
            )
        next_offset, first_kept = _READ_HEADER.unpack_from(data)
        if not first_kept <= next_offset <= _MAX_OFFSET:
            raise self._unavailable(
                "/log-read", f"offsets {first_kept} to {next_offset}"
            )
        values = []
        start = _READ_HEADER.size
        while start + _LENGTH.size <= len(data):
            (size,) = _LENGTH.unpack_from(data, start)
            start += _LENGTH.size
            if start + size > len(data):
                break
            values.append(data[start : start + size])
            start += size
        return Records(
            first_kept=first_kept,
            next_offset=next_offset,
            offset=offset,
            values=tuple(values),
        )

    def _request(
        self, method: str, path: str, query: dict[str, str], body: bytes = b""
    ) -> http.Response:
        response = self._exchange(method, path, query, body=body)
        self._check(response, path)
        return response

    def _exchange(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> http.Response:
        url = f"{self._settings.url}{path}?{urllib.parse.urlencode(query)}"
        first_s = self._settings.request_timeout_s + wait_s
        request = http.Request(
            method=method,
            url=url,
            body=body,
            timeout_s=first_s + self._settings.transfer_s,
            connect_timeout_s=self._settings.request_timeout_s,
            answer_bytes=self._settings.answer_bytes,
            stalls=http.StallLimits(
                first_s=first_s, next_s=self._settings.request_timeout_s
            ),
        )
        try:
            response = http.send(request)
        except errors.ArbutusstallError as exc:
            raise self._unavailable(path, exc.reason) from exc
        self._check_era(response, path)
        return response

    def _check_era(self, response: http.Response, path: str) -> None:
        """Refuse an answer that left the store before its era changed."""
        era = _era(response)
        with self._era_lock:
            newest = self._era
            self._era = max(newest, era)
        if 0 < era < newest:
            raise self._unavailable(path, f"era {era} after {newest}")

    def _check(self, response: http.Response, path: str) -> None:
        if response.status == _TOO_MANY:
            raise errors.LogOverloaded(
                step=path,
                peer=self._settings.url,
                reason="the store's rate limit is exceeded",
            )
        if response.status != _OK:
            raise self._unavailable(path, f"HTTP status {response.status}")

    def _decode(self, data: bytes, kind: type[T]) -> T:
        try:
            return _values.decode_json(data, kind, step="store.decode")
        except errors.WireError as exc:
            raise self._unavailable(exc.step, exc.reason) from exc

    def _unavailable(self, step: str, reason: str) -> errors.LogUnavailable:
        return errors.LogUnavailable(
            step=step, peer=self._settings.url, reason=reason
        )


def _era(response: http.Response) -> int:
    for name, value in response.headers:
        if name.lower() == _ERA_HEADER:
            text = value.strip()
            if text.isascii() and text.isdigit():
                return min(int(text[:_ERA_DIGITS]), _MAX_ERA)
    return 0


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encode a record with a key: key length (1 byte), key, value."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_keyed(data: bytes, offset: int) -> KeyedRecord | None:
    """Decode a record from `encode_keyed`; None if it is truncated."""
    if not data or len(data) < 1 + data[0]:
        return None
    end = 1 + data[0]
    key = data[1:end].decode("utf-8", "replace")
    return KeyedRecord(key=key, value=data[end:], offset=offset)


def _keyed_record(item: _Item) -> KeyedRecord | None:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError as exc:
        LOG.warning(
            {"event": "record-skipped", "key": item.key, "reason": str(exc)}
        )
        return None
    return KeyedRecord(key=item.key, value=value, offset=item.offset)
