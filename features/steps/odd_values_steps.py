"""Steps for values that other processes and writers send."""

import behave
import hypothesis
from hypothesis import strategies
import msgspec
import xxhash

from arbutusstall._systems import deltas
from arbutusstall._tables import agreed
from arbutusstall._tables import versions
from arbutusstall._wire import messages

_PROPERTY = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)
_VERSIONS = strategies.builds(
    versions.combine,
    strategies.integers(0, 2**128 - 1) | strategies.integers(0, 2**25),
    strategies.integers(0, 2**40 - 1),
)


def _messages_naming(version):
    snapshot = agreed.Snapshot(
        version=version, source_version=versions.source_part(version)
    )
    return (
        messages.Hello(
            node="n", data_centre="d", address="a", version=version, digest=""
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
