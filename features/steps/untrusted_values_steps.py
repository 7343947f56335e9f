"""Steps for values that other processes and writers send."""

import ast
import copy
import json
import random
import struct

import behave
import hypothesis
from hypothesis import strategies
import log_lines
import msgspec
import platform_mesh
import untrusted_readers
import xxhash

from arbutusstall import _effects
from arbutusstall import errors
from arbutusstall._proxy import http_messages
from arbutusstall._systems import deltas
from arbutusstall._tables import agreed
from arbutusstall._tables import versions
from arbutusstall._wire import messages
from arbutusstall.platform import dialect

_PROPERTY = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)
_VERSIONS = strategies.builds(
    versions.combine,
    strategies.integers(0, 2**128 - 1) | strategies.integers(0, 2**25),
    strategies.integers(0, 2**40 - 1),
)
_NESTING = b'{"a":' * 100_000
_NO_TEXT = b"\xff\xfe{}"
_ROSTER_TOPIC = "keyed.arbutusstall-roster"
_ARBITRARY_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**130), 2**130)
    | strategies.sampled_from([2**31, 2**40, 2**53, 2**63, 2**64, -1, 0])
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=300)
    | strategies.sampled_from(["10.0.0.1:65536", "9e9s", "99999999999s"]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=5,
)


def _messages_naming(version):
    snapshot = agreed.Snapshot(
        version=version, source_version=versions.source_part(version)
    )
    return (
        messages.Hello(
            node="n",
            data_centre="d",
            address="10.0.0.1:7600",
            version=version,
            digest="",
        ),
        messages.Heartbeat(attached=True, label=1, version=version, members=0),
        messages.SnapshotWanted(version=version),
        messages.InForce(
            version=version, known=1, in_force=1, minimum=version
        ),
        messages.SnapshotUpdate(digest="", snapshot=snapshot),
        messages.SnapshotDelta(
            base=version, digest="", changed=snapshot, removed={}
        ),
    )


@behave.then("each message that names a version is decoded as it was encoded")
def versions_pass(context):
    """Encode and decode all kinds of such messages."""

    @_PROPERTY
    @hypothesis.given(_VERSIONS)
    def check(version):
        for message in _messages_naming(version):
            assert messages.decode(messages.encode(message)) == message

    check()


@behave.then("the digest of a configuration with a small version is unchanged")
def digest_unchanged(context):
    """Compare with the digest of the plain encoding, as older nodes do."""
    snapshot = agreed.Snapshot(
        version=versions.combine(12, 7), source_version=versions.Version(12)
    )
    plain = msgspec.json.encode(
        snapshot, order="sorted", enc_hook=lambda value: int(value)
    )
    assert deltas.digest(snapshot) == xxhash.xxh3_128_hexdigest(plain)


_DOCUMENTS = {
    "roster entry": untrusted_readers.ROSTER_ENTRY,
    "heartbeat": untrusted_readers.HEARTBEAT,
    "order": untrusted_readers.ORDER,
    "configuration": untrusted_readers.CONFIGURATION,
    "item": {"value": untrusted_readers.base64_text(b"good")},
    "member row": untrusted_readers.MEMBER_ROW,
}
_WORDS = {"true": True, "null": None}
_OPERATOR_KEYS = {"order": "rollout/kvoty", "configuration": "config"}


def _altered(document, what):
    """Return the encoded document with one value replaced, or other bytes."""
    special = {
        "nesting": _NESTING,
        "bytes that are no text": _NO_TEXT,
        "a list in its place": b"[]",
    }
    if what in special:
        return special[what]
    path, _, text = what.partition(" = ")
    altered = copy.deepcopy(document)
    place = altered
    *parents, name = path.split(".")
    for parent in parents:
        place = place[parent]
    place[name] = _literal(text)
    return json.dumps(altered).encode()


def _literal(text):
    """Return the value that a row of a feature file names."""
    if text in _WORDS:
        return _WORDS[text]
    base, is_power, exponent = text.partition("**")
    if is_power and base.isdecimal():
        return int(base) ** int(exponent)
    # Feature files double the backslashes of an escape.
    return ast.literal_eval(text.replace("\\\\", "\\"))


def _read_items(good, invalid):
    """Let the store's client read a page with a good and an invalid item."""
    items = [
        {"key": f"k{n}", "offset": n, **json.loads(text)}
        for n, text in enumerate((good, invalid))
    ]
    body = {"items": items, "more": False, "endOffset": 2}
    accepted = untrusted_readers.read_store(200, json.dumps(body).encode())
    return accepted[-1].records


def _read_rows(good, invalid):
    """Decode a message with a good and an invalid row."""
    rows = [json.loads(good), json.loads(invalid)]
    data = msgspec.msgpack.encode(("members", {"rows": rows}))
    return messages.decode(data).rows


def _read_pair(record, good, invalid):
    match record:
        case "roster entry":
            return untrusted_readers.read_roster(invalid, good)
        case "order" | "configuration":
            return untrusted_readers.read_operator(
                _OPERATOR_KEYS[record], invalid, good
            )
        case "item":
            return _read_items(good, invalid)
        case "member row":
            return _read_rows(good, invalid)
        case "heartbeat":
            return untrusted_readers.read_heartbeats(invalid, good)
    raise AssertionError(record)


@behave.given("a good {record} and a copy of it with {what}")
def good_and_invalid(context, record, what):
    """Encode both."""
    context.record = record
    context.invalid_instance = ""
    document = _DOCUMENTS[record]
    context.good = json.dumps(document).encode()
    if what.startswith("instance = ") and record == "heartbeat":
        context.invalid_instance = _literal(what.removeprefix("instance = "))
        context.invalid = context.good
    else:
        context.invalid = _altered(document, what)


@behave.when("both are read")
def read_both(context):
    """Read them, and keep the log lines."""
    context.lines = log_lines.collect(context)
    if context.invalid_instance:
        invalid = untrusted_readers.read_heartbeats(
            context.invalid, instance=context.invalid_instance
        )
        context.accepted = invalid + untrusted_readers.read_heartbeats(
            context.good
        )
        return
    context.accepted = _read_pair(
        context.record, context.good, context.invalid
    )


@behave.then("only the good one is used, and one line names the invalid one")
def only_good_used(context):
    """Check what was accepted; each read of the invalid one logs one line."""
    assert len(context.accepted) == 1, context.accepted
    events = {line["event"] for line in context.lines.lines}
    assert len(events) == 1, context.lines.lines
    assert events <= {
        "record-skipped",
        "heartbeat-refused",
        "member-skipped",
    }, events


@behave.given("a store that answers with {what}")
def invalid_answers(context, what):
    """Create its answers to both kinds of reads."""
    page = {"items": [], "more": False, "endOffset": 2}
    item = {"key": "k", "value": "", "offset": 1}
    context.page, context.records = {
        "nesting": (_NESTING, b""),
        "an offset of 2**41": (
            json.dumps({**page, "endOffset": 2**41}).encode(),
            struct.pack(">QQ", 2**41, 0),
        ),
        "a page that repeats": (
            json.dumps({**page, "items": [item], "more": True}).encode(),
            b"",
        ),
    }[what]


@behave.when("it is asked for all records and for new ones")
def ask_store(context):
    """Read both answers."""
    context.accepted = untrusted_readers.read_store(200, context.page)
    context.accepted += untrusted_readers.read_store(200, context.records)


@behave.then("the store is unavailable each time")
def store_unavailable(context):
    """Check that nothing was accepted."""
    assert context.accepted == (), context.accepted


@behave.when('a caller\'s deadline is "{text}"')
def read_deadline(context, text):
    """Decode a request with it."""
    request = http_messages.Request(
        method="GET",
        target="/",
        headers=(("X-Request-Id", "r"), ("X-Deadline-Ms", text)),
    )
    try:
        read = dialect.PlatformDialect("s").read_request(request)
        context.deadline = str(read.deadline_ms)
    except errors.WireError:
        context.deadline = "malformed"


@behave.then("it is read as {deadline}")
def check_deadline(context, deadline):
    """Compare the deadline."""
    assert context.deadline == deadline, context.deadline


@behave.when('a target names the limit "{text}"')
def read_limit(context, text):
    """Decode an answer with it."""
    target = _effects.Announced(
        service="s", version="v", address="10.0.0.1:80", slots=1
    )
    response = http_messages.Response(
        status=200, headers=(("Server-Limit", text),)
    )
    state = dialect.PlatformDialect("s").target_state(target, response)
    context.limit = state.limit_per_s


@behave.then("it is taken as {limit}")
def check_limit(context, limit):
    """Compare the limit."""
    expected = None if limit == "no limit" else float(limit)
    assert context.limit == expected, context.limit


def _paths(document, prefix=()):
    for name, value in document.items():
        yield (*prefix, name)
        if isinstance(value, dict):
            yield from _paths(value, (*prefix, name))


@strategies.composite
def _altered_documents(draw, document):
    """Draw a document in which up to three values are replaced."""
    altered = copy.deepcopy(document)
    for _ in range(draw(strategies.integers(0, 3))):
        path = draw(strategies.sampled_from(sorted(_paths(altered))))
        place = altered
        for name in path[:-1]:
            place = place[name]
        place[path[-1]] = draw(_ARBITRARY_VALUES)
    return json.dumps(altered).encode()


def _cut(data):
    rng = random.Random(data)
    return data[: rng.randrange(len(data) + 1)]


def _arbitrary_texts(document):
    altered = _altered_documents(document)
    return (
        altered
        | altered.map(_cut)
        | strategies.binary(max_size=50)
        | strategies.sampled_from([_NESTING, b"[" * 100_000, _NO_TEXT, b""])
    )


def _read_page(data):
    return untrusted_readers.read_store(200, data)


def _record_envelope():
    return {
        "kind": "rollout-order",
        "body": {
            "record_id": "o",
            "order_id": "o",
            "service": "s",
            "version": "v",
            "previous": "w",
            "started_s": 1.0,
            "by_s": 2.0,
        },
    }


def _repack(data):
    """Encode a JSON document as a message; other bytes stay as they are."""
    try:
        body = json.loads(data)
        return msgspec.msgpack.encode(("members", {"rows": [body]}))
    except (ValueError, RecursionError, OverflowError):
        return data


_READERS = {
    "the roster's reader": (
        untrusted_readers.read_roster,
        _arbitrary_texts(untrusted_readers.ROSTER_ENTRY),
    ),
    "the heartbeats' reader": (
        untrusted_readers.read_heartbeats,
        _arbitrary_texts(untrusted_readers.HEARTBEAT),
    ),
    "the operator's reader": (
        lambda data: (
            untrusted_readers.read_operator("config", data)
            + untrusted_readers.read_operator("rollout/kvoty", data)
        ),
        _arbitrary_texts(untrusted_readers.CONFIGURATION)
        | _arbitrary_texts(untrusted_readers.ORDER),
    ),
    "the reader of log records": (
        untrusted_readers.read_record,
        _arbitrary_texts(_record_envelope()),
    ),
    "the reader of messages": (
        untrusted_readers.read_message,
        _arbitrary_texts(untrusted_readers.MEMBER_ROW).map(_repack),
    ),
    "the store's client": (
        _read_page,
        _arbitrary_texts(
            {"items": [], "more": False, "endOffset": 2, "offset": 1}
        ),
    ),
}


@behave.then(
    "{reader} raises only its own errors, and what it accepts can be sent"
)
def reader_copes(context, reader):
    """Read altered documents, cut ones and bytes of all kinds."""
    read, texts = _READERS[reader]

    @_PROPERTY
    @hypothesis.given(texts)
    def check(data):
        for item in read(data):
            untrusted_readers.check_sendable(item)

    check()


@behave.given("invalid entries in the roster")
def invalid_roster(context):
    """Have the store of the nodes hold some before they start."""
    document = untrusted_readers.ROSTER_ENTRY
    values = [
        _altered(document, "nesting"),
        _altered(document, "member.slots = 2**70"),
        _altered(document, 'member.inbound = "127.0.0.1:99999"'),
        _altered(document, "member.slots = -1"),
        _NO_TEXT,
    ]
    context.stored_before = {
        _ROSTER_TOPIC: [
            bytes([2]) + f"o{number}".encode() + value
            for number, value in enumerate(values)
        ]
    }


@behave.then("no node has logged an unexpected error")
def nothing_unexpected(context):
    """Check the logs of all nodes."""
    for node in context.platform.nodes_by_name.values():
        assert isinstance(node, platform_mesh.NodeProcess)
        assert not node.lines("unexpected-error"), node.name
        text = node.output.read_text(errors="replace")
        assert "Traceback" not in text, text
