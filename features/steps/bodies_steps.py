"""Steps for the transfer of large bodies between nodes.

Most of them use real connections within one process.
"""

import asyncio
import socket

import behave
import calls
import fleet
import msgspec
import ports

from arbutusstall import _effects
from arbutusstall import settings as node_settings
from arbutusstall._proxy import bodies
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import frame_server
from arbutusstall._proxy import frames
from arbutusstall._proxy import inbound
from arbutusstall._proxy import peers
from arbutusstall._proxy import streams
from arbutusstall._shell import events
from arbutusstall._systems import transfers
from arbutusstall._tables import agreed
from arbutusstall._tables import members
from arbutusstall._wire import messages
from arbutusstall.platform import dialect

_TIMEOUT_S = 10.0
_READS = node_settings.ReadSettings(head_bytes=10_000_000)
_CALL = calls.booking(service="maturacao", deadline_ms=5_000)


@behave.given("{count:d} bodies may be in transit at the same time")
def transfer_limit(context, count):
    """Create the schedule of transfers to one node."""
    context.transfers = transfers.Transfers(count)


@behave.when("3 bodies of rank 2 and then 2 of rank 1 are offered")
def offer_by_rank(context):
    """Record the bodies requested at each offer."""
    context.requested = []
    for name in ("low-0", "low-1", "low-2", "high-0", "high-1"):
        rank = 1 if name.startswith("high") else 2
        body = transfers.Body(call_id=name, rank=rank, size=1_000)
        context.requested += context.transfers.offer(body, 0)


@behave.then("the first 2 of rank 2 are requested")
def first_requested(context):
    """Check that nothing was requested beyond the limit."""
    assert context.requested == ["low-0", "low-1"], context.requested


@behave.then(
    "as transfers end, bodies of rank 1 start before the last of rank 2"
)
def urgent_first(context):
    """Check that each transfer that ends starts the next one by rank."""
    ended = [
        context.transfers.end(name, 1, complete=True)
        for name in ("low-0", "low-1")
    ]
    assert ended == [("high-0",), ("high-1",)], ended
    assert context.transfers.running == 2


@behave.then("a body that is withdrawn is never requested")
def withdrawn_not_requested(context):
    """Withdraw the only waiting body, then end a transfer."""
    assert context.transfers.end("low-2", 1, complete=False) == ()
    assert context.transfers.end("high-0", 1, complete=True) == ()
    assert context.transfers.running == 1


def _upload(name, rank=2):
    return transfers.Body(call_id=name, rank=rank, size=60_000)


@behave.when(
    "bodies of 60000 bytes arrive at 1000 bytes/ms for {seconds:d} seconds"
)
def transfer_for_seconds(context, seconds):
    """Transfer one body after the other, each within 60 ms."""
    schedule = context.transfers
    context.now_ms = 0
    while context.now_ms < seconds * 1_000:
        schedule.offer(_upload("one"), context.now_ms)
        context.now_ms += 60
        schedule.end("one", context.now_ms, complete=True)


@behave.when("{count:d} more of rank 2 are offered at once")
def offer_more(context, count):
    """Offer bodies of rank 2."""
    for number in range(count):
        body = _upload(f"more-{number}")
        context.transfers.offer(body, context.now_ms)


@behave.then(
    "the last of them is expected to wait for {min_ms:d} to {max_ms:d} ms"
)
def expected_wait(context, min_ms, max_ms):
    """Check the expected wait: two bodies are in transit, eight wait."""
    assert min_ms <= context.transfers.wait_ms(2) <= max_ms


@behave.then("one of rank 1 would wait for less than {max_ms:d} ms")
def expected_urgent_wait(context, max_ms):
    """Check that it waits only for the bodies in transit."""
    assert 0 < context.transfers.wait_ms(1) < max_ms


class _UploadTarget(asyncio.Protocol):
    """Target that reads requests with a length and answers after 50 ms."""

    def __init__(self, context) -> None:
        self._context = context
        self._data = b""

    def connection_made(self, transport) -> None:
        self._transport = transport

    def data_received(self, data) -> None:
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1)
            for line in head.split(b"\r\n")[1:]
            if b": " in line
        )
        if not end or len(body) < int(fields[b"content-length"]):
            return
        self._data = b""
        self._context.uploads.append((fields, body))
        asyncio.get_running_loop().call_later(
            0.05, self._answer, fields[b"x-request-id"]
        )

    def _answer(self, name) -> None:
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: "
            + name
            + b"\r\nContent-Length: 2\r\n\r\nok"
        )


class _TwoNodes:
    """Inbound proxy of one node and the peer by which another calls it."""

    def __init__(self, context) -> None:
        self.context = context
        self.max_running = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        target_port, node_port = ports.take(), ports.take()
        await loop.create_server(
            lambda: _UploadTarget(self.context), "127.0.0.1", target_port
        )
        settings = fleet.settings(
            0,
            "lipno",
            calls=node_settings.CallSettings(queue_ms=2_000),
            reads=_READS,
        )
        self.inbound = inbound.Inbound(
            settings,
            dialect.PlatformDialect("vazeni"),
            1,
            lambda event: None,
            events.EventLog(settings),
        )
        self.inbound.set_target(
            _effects.Announced(
                service="maturacao",
                version="v1",
                address=f"127.0.0.1:{target_port}",
                slots=20,
                instance="i-1",
            )
        )
        self.receiver = bodies.BodyReceiver(
            self.inbound, _READS, byte_budget.ByteBudget(10_000_000)
        )
        acceptor = streams.Acceptor(
            streams.Streams(lambda event: None, _READS),
            self.inbound,
            self.receiver,
        )
        self.address = f"127.0.0.1:{node_port}"
        self.server = frame_server.FrameServer(
            self.address, acceptor.owner, _READS
        )
        await self.server.start()
        self.peers = peers.Peers("other", self.inbound, _READS)
        self.peer = self.peers.get(
            members.Member(
                node="n0",
                data_centre="lipno",
                incarnation=1,
                inbound=self.address,
            )
        )

    async def send(self, name, body, **more):
        """Send one call and return its answer."""
        done = asyncio.get_running_loop().create_future()
        call = msgspec.structs.replace(
            _CALL,
            call_id=name,
            request_id=name,
            body=body,
            **{"headers": (("X-Request-Id", name),), **more},
        )
        self.peer.call(call, done.set_result)
        while not done.done():
            running = self.receiver._transfers.running
            self.max_running = max(self.max_running, running)
            await asyncio.sleep(0.001)
        return done.result()


def _run(context, work):
    async def started():
        context.nodes = _TwoNodes(context)
        await context.nodes.start()
        return await asyncio.wait_for(work(context.nodes), _TIMEOUT_S)

    return asyncio.run(started())


@behave.given("two nodes and a target for uploads")
def two_nodes(context):
    """Clear the uploads; the nodes start in the event loop of a later step."""
    context.uploads = []


def _body(number, count):
    return bytes([number]) * (count - 1) + b"."


@behave.when("{count:d} bodies of {size:d} bytes are sent at the same time")
def send_bodies(context, count, size):
    """Send them over one connection."""
    context.bodies = [_body(number, size) for number in range(count)]

    async def work(nodes):
        return await asyncio.gather(
            *(
                nodes.send(f"r{number}", body)
                for number, body in enumerate(context.bodies)
            )
        )

    context.answers = _run(context, work)


@behave.when(
    "a call arrives, heads of {limit:d} bytes are allowed,"
    " and a call with a head of {size:d} bytes arrives"
)
def allow_larger_heads(context, limit, size):
    """Send both calls over one connection."""

    async def work(nodes):
        first = await nodes.send("small", b"")
        nodes.server.limits = agreed.CallerLimits(header_bytes=limit)
        headers = (("X-Request-Id", "large"), ("X-Large", "x" * size))
        return first, await nodes.send("large", b"", headers=headers)

    context.answers = _run(context, work)


@behave.then("both are answered by the target")
def both_answered(context):
    """Check the statuses."""
    statuses = [answer.status for answer in context.answers]
    assert statuses == [200, 200], context.answers


@behave.when("{count:d} calls with {lines:d} header lines arrive at once")
def send_heads(context, count, lines):
    """Send them over one connection; each is legal alone."""

    async def work(nodes):
        answers = await asyncio.gather(
            *(
                nodes.send(
                    f"r{number}",
                    b"",
                    headers=(
                        ("X-Request-Id", f"r{number}"),
                        *((("a", "b"),) * lines),
                    ),
                )
                for number in range(count)
            )
        )
        context.held_bytes = nodes.inbound.heads.held
        return answers

    context.answers = _run(context, work)


@behave.then('some are answered, the others refused with "{reason}"')
def some_refused(context, reason):
    """Check that a refusal says that the call has not run."""
    reasons = {answer.not_run for answer in context.answers}
    assert reasons == {"", reason}, reasons
    answered = [item for item in context.answers if not item.not_run]
    assert all(item.status == 200 for item in answered), answered


@behave.then("nothing is held for them any more")
def nothing_held(context):
    """Check that each call has returned its part of the budget."""
    assert context.held_bytes == 0, context.held_bytes


@behave.then("each caller gets the answer to its own request")
def own_answers(context):
    """Compare the request ids that the target echoes."""
    for number, answer in enumerate(context.answers):
        assert answer.status == 200, answer
        assert ("X-Request-Id", f"r{number}") in answer.headers, answer


@behave.then("the target got each body once and unchanged")
def bodies_received(context):
    """Compare the received bodies, in any order."""
    got = sorted(body for _, body in context.uploads)
    assert got == sorted(context.bodies), [len(body) for body in got]


@behave.then("at most {count:d} bodies were in transit at the same time")
def transfers_bounded(context, count):
    """Check the maximum of samples taken every millisecond."""
    assert 0 < context.nodes.max_running <= count


def _record_sent_sizes(connection):
    sent = []
    write = connection._transport.write

    def counted(data):
        sent.append(len(data))
        write(data)

    connection._transport.write = counted
    return sent


@behave.when("the target drains while a body of {size:d} bytes is in transit")
def drain_during_transfer(context, size):
    """Drain once 100 000 bytes are written; count all bytes sent."""

    async def work(nodes):
        await nodes.send("warm", b"")
        connection = nodes.peer._connection
        sock = connection._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
        sent = _record_sent_sizes(connection)
        sending = asyncio.ensure_future(nodes.send("r0", _body(0, size)))
        while sum(sent) < 100_000:
            await asyncio.sleep(0)
        nodes.inbound.admission.draining = True
        answer = await sending
        await asyncio.sleep(0.2)
        context.sent_bytes = sum(sent)
        return answer

    context.answer = _run(context, work)


@behave.when("the target {state} and a body of {size:d} bytes is sent")
def send_refused_body(context, state, size):
    """Put the target into the state and count the bytes sent."""

    async def work(nodes):
        await nodes.send("warm", b"")
        if state == "drains":
            nodes.inbound.admission.draining = True
        elif state == "is full":
            nodes.inbound.admission.slots = 0
            nodes.inbound.admission._queue_limit = 0
        else:
            nodes.inbound._target = None
        sent = _record_sent_sizes(nodes.peer._connection)
        answer = await nodes.send("r0", _body(0, size), aim_ms=100)
        context.sent_bytes = sum(sent)
        return answer

    context.uploads = []
    context.answer = _run(context, work)
    context.uploads = [item for item in context.uploads if item[1]]


@behave.then("less than {count:d} bytes went to the other node")
def little_sent(context, count):
    """Check that the sender stopped early, or sent only the call's head."""
    assert 0 < context.sent_bytes < count, context.sent_bytes


@behave.then("the target got no upload")
def no_upload(context):
    """Check that not even a part reached the target."""
    assert not context.uploads, context.uploads


@behave.given(
    "a connection between nodes that is read at {rate:d} bytes a second"
)
def slow_reader(context, rate):
    """Set the rate; the step that sends also shrinks the kernel buffers."""
    context.rate = rate


@behave.when("a body of {size:d} bytes and then a small call are sent")
def body_then_call(context, size):
    """Record when each message has been read."""
    context.sent_body = bytes(index % 251 for index in range(size))

    class IgnoreAll:
        def on_message(self, connection, message):
            pass

        def on_lost(self, connection, reason):
            pass

    async def work():
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        listener.setblocking(False)
        port = listener.getsockname()[1]
        connection = await frames.connect(
            f"127.0.0.1:{port}", IgnoreAll(), _READS, 1.0
        )
        sock = connection._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
        other, _ = await loop.sock_accept(listener)
        started_s = loop.time()
        connection.send_body("big", context.sent_body)
        connection.send(msgspec.structs.replace(_CALL, call_id="small"))
        data = b""
        context.read_messages = []
        while not (context.read_messages and context.read_messages[-1][2]):
            data += await loop.sock_recv(other, 4_096)
            await asyncio.sleep(4_096 / context.rate)
            while len(data) >= 4:
                end = 4 + int.from_bytes(data[:4], "big")
                if len(data) < end:
                    break
                message = messages.decode(data[4:end])
                data = data[end:]
                last = getattr(message, "last", False)
                context.read_messages.append(
                    (message, loop.time() - started_s, last)
                )
        connection.abort()
        other.close()
        listener.close()

    asyncio.run(asyncio.wait_for(work(), 2 * _TIMEOUT_S))


@behave.then(
    "the small call arrives within {limit:d} second, before the body's end"
)
def small_first(context, limit):
    """Check the arrival of the call; the body takes two seconds."""
    calls = [
        (at_s, index)
        for index, (message, at_s, _) in enumerate(context.read_messages)
        if isinstance(message, messages.CallRequest)
    ]
    assert len(calls) == 1, calls
    assert calls[0][0] < limit, calls
    assert calls[0][1] < len(context.read_messages) - 1


@behave.then("the body arrives as it was sent")
def body_whole(context):
    """Join the parts in order of arrival."""
    parts = [
        message.data
        for message, _, _ in context.read_messages
        if isinstance(message, messages.CallBody)
    ]
    assert b"".join(parts) == context.sent_body


class _RawSender:
    """Exchanges single protocol messages with a node."""

    def __init__(self) -> None:
        self.received = []

    def on_message(self, connection, message):
        """Record the message."""
        self.received.append(message)

    def on_lost(self, connection, reason):
        """Do nothing."""

    async def receive(self, message_type):
        """Return the next message of a type, within about 3 s."""
        for _ in range(3_000):
            for message in self.received:
                if isinstance(message, message_type):
                    self.received.remove(message)
                    return message
            await asyncio.sleep(0.001)
        raise AssertionError(f"no {message_type}: {self.received}")


async def _offer(nodes, size, **more):
    sender = _RawSender()
    connection = await frames.connect(nodes.address, sender, _READS, 1.0)
    connection.send(
        msgspec.structs.replace(
            _CALL,
            call_id="r0",
            request_id="r0",
            headers=(("X-Request-Id", "r0"),),
            body_bytes=size,
            **more,
        )
    )
    await sender.receive(messages.CallBodyWanted)
    return sender, connection


def _part(data, last=False):
    return messages.CallBody(call_id="r0", data=data, last=last)


async def _stop_halfway(nodes):
    _, connection = await _offer(nodes, 1_000)
    connection.send(_part(b"x" * 500))
    await asyncio.sleep(0.05)
    connection.abort()
    await asyncio.sleep(0.05)
    sender = _RawSender()
    other = await frames.connect(nodes.address, sender, _READS, 1.0)
    other.send(messages.CallRevoke(call_id="r0", incarnation=1, sent_ms=0))
    revoked = await sender.receive(messages.CallRevoked)
    return revoked.state.value


async def _send_wrong_length(nodes, announced, sent):
    sender, connection = await _offer(nodes, announced)
    connection.send(_part(b"x" * sent, last=True))
    answer = await sender.receive(messages.CallAnswer)
    return "not run" if answer.not_run else answer


async def _offer_twice(nodes):
    first, connection = await _offer(nodes, 1_000)
    second = _RawSender()
    other = await frames.connect(nodes.address, second, _READS, 1.0)
    other.send(
        msgspec.structs.replace(
            _CALL, call_id="r0", request_id="r0", body_bytes=1_000
        )
    )
    answer = await second.receive(messages.CallAnswer)
    connection.send(_part(b"x" * 1_000, last=True))
    assert (await first.receive(messages.CallAnswer)).not_run
    return "unknown" if answer.unknown else answer


async def _exceed_deadline(nodes):
    sender, connection = await _offer(nodes, 1_000, deadline_ms=300)
    connection.send(_part(b"x" * 500))
    answer = await sender.receive(messages.CallAnswer)
    connection.send(_part(b"x" * 500, last=True))
    await asyncio.sleep(0.1)
    return "not run" if answer.not_run else answer


@behave.when("the sender of a body {what}")
def broken_sender(context, what):
    """Send the messages one by one over separate connections."""
    work = {
        "stops halfway and leaves": _stop_halfway,
        "says more than it sends": lambda nodes: _send_wrong_length(
            nodes, 1_000, 900
        ),
        "sends more than it says": lambda nodes: _send_wrong_length(
            nodes, 1_000, 1_100
        ),
        "takes longer than it has": _exceed_deadline,
        "offers it twice": _offer_twice,
    }[what]
    context.outcome_seen = _run(context, work)


@behave.then("the outcome for the sender is {outcome}")
def sender_outcome(context, outcome):
    """Compare the outcome that the protocol reported."""
    assert context.outcome_seen == outcome, context.outcome_seen


@behave.when("a body is in transit for {taken:d} ms of {left:d} ms")
def slow_body(context, taken, left):
    """Delay the last part of the body."""

    async def work(nodes):
        sender, connection = await _offer(nodes, 1_000, deadline_ms=left)
        connection.send(_part(b"x" * 500))
        await asyncio.sleep(taken / 1_000)
        connection.send(_part(b"x" * 500, last=True))
        return await sender.receive(messages.CallAnswer)

    answer = _run(context, work)
    assert answer.status == 200, answer


@behave.then("the target gets a deadline of at most {limit:d} ms")
def deadline_given(context, limit):
    """Check the deadline header that the target received."""
    given = [int(fields[b"x-deadline-ms"]) for fields, _ in context.uploads]
    assert len(given) == 1, given
    assert given[0] <= limit, given
