"""Messages between nodes and their encoding.

Messages are frozen data classes or structs. Each is encoded with msgpack
as the body of a two-element array, ``[KIND, BODY]``. This module
re-exports all message classes.
"""

from collections import abc
import dataclasses
import logging
from typing import Any
import zlib

import msgspec

from arbutusstall import _codec
from arbutusstall import errors
from arbutusstall._tables import members
from arbutusstall._wire.call_messages import CallAnswer
from arbutusstall._wire.call_messages import CallBody
from arbutusstall._wire.call_messages import CallBodyWanted
from arbutusstall._wire.call_messages import CallGreeted
from arbutusstall._wire.call_messages import CallGreeting
from arbutusstall._wire.call_messages import CallRequest
from arbutusstall._wire.call_messages import CallRevoke
from arbutusstall._wire.call_messages import CallRevoked
from arbutusstall._wire.call_messages import KeyClaim
from arbutusstall._wire.call_messages import KeyClaimed
from arbutusstall._wire.call_messages import KeyGrant
from arbutusstall._wire.call_messages import KeyState
from arbutusstall._wire.call_messages import RevokeState
from arbutusstall._wire.call_messages import TargetState
from arbutusstall._wire.quota_messages import QuotaGrant
from arbutusstall._wire.quota_messages import QuotaPledge
from arbutusstall._wire.quota_messages import QuotaPledged
from arbutusstall._wire.quota_messages import QuotaRequest
from arbutusstall._wire.tree_messages import Alive
from arbutusstall._wire.tree_messages import Heartbeat
from arbutusstall._wire.tree_messages import Hello
from arbutusstall._wire.tree_messages import InForce
from arbutusstall._wire.tree_messages import MemberDigest
from arbutusstall._wire.tree_messages import MemberUpdate
from arbutusstall._wire.tree_messages import OutcomeReport
from arbutusstall._wire.tree_messages import OutcomeRow
from arbutusstall._wire.tree_messages import Refusal
from arbutusstall._wire.tree_messages import RollbackNotice
from arbutusstall._wire.tree_messages import RootsUpdate
from arbutusstall._wire.tree_messages import SnapshotDelta
from arbutusstall._wire.tree_messages import SnapshotUpdate
from arbutusstall._wire.tree_messages import SnapshotWanted
from arbutusstall._wire.tree_messages import Suspect
from arbutusstall._wire.tree_messages import SuspectReport
from arbutusstall._wire.tree_messages import Welcome

__all__ = [
    "Alive",
    "CallAnswer",
    "CallBody",
    "CallBodyWanted",
    "CallGreeted",
    "CallGreeting",
    "CallRequest",
    "CallRevoke",
    "CallRevoked",
    "Heartbeat",
    "Hello",
    "InForce",
    "KeyClaim",
    "KeyClaimed",
    "KeyGrant",
    "KeyState",
    "MemberDigest",
    "MemberUpdate",
    "Message",
    "OutcomeReport",
    "OutcomeRow",
    "QuotaGrant",
    "QuotaPledge",
    "QuotaPledged",
    "QuotaRequest",
    "Refusal",
    "RevokeState",
    "RollbackNotice",
    "RootsUpdate",
    "SnapshotDelta",
    "SnapshotUpdate",
    "SnapshotWanted",
    "Suspect",
    "SuspectReport",
    "TargetState",
    "Welcome",
    "decode",
    "encode",
]

LOG = logging.getLogger(__name__)

Message = (
    Hello
    | Welcome
    | Refusal
    | SnapshotUpdate
    | MemberUpdate
    | Heartbeat
    | RootsUpdate
    | SnapshotDelta
    | SnapshotWanted
    | MemberDigest
    | Alive
    | InForce
    | OutcomeReport
    | RollbackNotice
    | CallRequest
    | CallAnswer
    | CallBody
    | CallBodyWanted
    | CallRevoke
    | CallRevoked
    | CallGreeting
    | CallGreeted
    | KeyClaim
    | KeyClaimed
    | SuspectReport
    | QuotaPledge
    | QuotaPledged
    | QuotaRequest
    | QuotaGrant
)

_TYPES_BY_KIND: dict[str, type[Any]] = {
    "hello": Hello,
    "welcome": Welcome,
    "refusal": Refusal,
    "snapshot": SnapshotUpdate,
    "members": MemberUpdate,
    "heartbeat": Heartbeat,
    "roots": RootsUpdate,
    "delta": SnapshotDelta,
    "snapshot-wanted": SnapshotWanted,
    "member-digest": MemberDigest,
    "alive": Alive,
    "in-force": InForce,
    "outcomes": OutcomeReport,
    "rollbacks": RollbackNotice,
    "call": CallRequest,
    "answer": CallAnswer,
    "body": CallBody,
    "body-wanted": CallBodyWanted,
    "revoke": CallRevoke,
    "revoked": CallRevoked,
    "greeting": CallGreeting,
    "greeted": CallGreeted,
    "key-claim": KeyClaim,
    "key-claimed": KeyClaimed,
    "suspects": SuspectReport,
    "quota-pledge": QuotaPledge,
    "quota-pledged": QuotaPledged,
    "quota-request": QuotaRequest,
    "quota-grant": QuotaGrant,
}
_KINDS_BY_TYPE: abc.Mapping[type[Any], str] = {
    cls: kind for kind, cls in _TYPES_BY_KIND.items()
}
_ENVELOPE_DECODER = _codec.msgpack_decoder(tuple[str, msgspec.Raw])
_DECODERS_BY_KIND = {
    kind: _codec.msgpack_decoder(cls) for kind, cls in _TYPES_BY_KIND.items()
}
_ENCODER = _codec.msgpack_encoder()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _RawRows:
    rows: tuple[msgspec.Raw, ...]


_RAW_ROWS_DECODER = _codec.msgpack_decoder(_RawRows)
_MEMBER_DECODER = _codec.msgpack_decoder(members.Member)


_COMPRESSED_KIND = "zlib"
_MIN_COMPRESSIBLE_BYTES = 400
_MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
# Calls and answers are not compressed, since that would add to their
# latency.
_COMPRESSIBLE = (
    SnapshotUpdate,
    SnapshotDelta,
    MemberUpdate,
    RootsUpdate,
    Alive,
    OutcomeReport,
)


def encode(message: Message) -> bytes:
    """Return the message as msgpack bytes.

    Messages of the distribution tree that carry tables are compressed
    from 400 bytes on.
    """
    data = _ENCODER.encode((_KINDS_BY_TYPE[type(message)], message))
    if len(data) < _MIN_COMPRESSIBLE_BYTES:
        return data
    if not isinstance(message, _COMPRESSIBLE):
        return data
    return _ENCODER.encode((_COMPRESSED_KIND, zlib.compress(data, level=1)))


def decode(
    data: bytes | memoryview, max_bytes: int = _MAX_DECOMPRESSED_BYTES
) -> Message:
    """Return the message encoded in ``data``.

    Args:
        max_bytes: Maximum size of the message after decompression.

    Raises:
        WireError: The bytes are malformed, decompress to more than
            ``max_bytes``, or have an unknown message kind.
    """
    try:
        kind, body = _ENVELOPE_DECODER.decode(data)
        if kind == _COMPRESSED_KIND:
            kind, body = _ENVELOPE_DECODER.decode(_decompress(body, max_bytes))
        decoder = _DECODERS_BY_KIND.get(kind)
        if decoder is None:
            raise _invalid(f"unknown message kind {kind!r}")
        message: Message = _decode_body(decoder, kind, body)
    except (
        msgspec.MsgspecError,
        ValueError,
        RecursionError,
        zlib.error,
    ) as exc:
        raise _invalid(str(exc)) from exc
    return message


def _decode_body(
    decoder: "msgspec.msgpack.Decoder[Any]", kind: str, body: msgspec.Raw
) -> Any:
    try:
        return decoder.decode(body)
    except msgspec.ValidationError:
        if kind != _KINDS_BY_TYPE[MemberUpdate]:
            raise
        return _valid_members(body)


def _valid_members(body: msgspec.Raw) -> MemberUpdate:
    """Decode member rows, without those that cannot be used."""
    rows = []
    for raw in _RAW_ROWS_DECODER.decode(body).rows:
        try:
            rows.append(_MEMBER_DECODER.decode(raw))
        except msgspec.ValidationError as exc:
            LOG.warning({"event": "member-skipped", "reason": str(exc)})
    return MemberUpdate(rows=tuple(rows))


def _decompress(body: msgspec.Raw, max_bytes: int) -> bytes:
    compressed = msgspec.msgpack.decode(body, type=bytes)
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(compressed, max_bytes)
    if not decompressor.eof:
        raise _invalid(
            f"compressed message is truncated or exceeds {max_bytes} bytes"
        )
    return data


def _invalid(reason: str) -> errors.WireError:
    return errors.WireError(step="message.decode", peer="-", reason=reason)
