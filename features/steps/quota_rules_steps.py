"""Steps for single rules of the quotas of tenants."""

import behave

from arbutusstall._tenants import quota
from arbutusstall._tenants import quota_server
from arbutusstall._tenants import quota_share
from arbutusstall._wire import messages

_BOUNDS = quota.Bounds()
_TENANT = "hule930"
_LIMITS = {_TENANT: quota.Limit(rate_per_s=1_000.0, burst=100.0)}
_STEP_S = 0.05


class _Rig:
    """A node and servers whose messages take no time.

    Attributes:
        cut: Servers that the node does not reach.
        waits: Waits of the decided requests.
    """

    def __init__(self):
        self.now_s = 100.0
        self.cut = set()
        self.waits = []
        self.pledges = 0
        self.servers = {
            name: quota_server.QuotaServer(name, 1, _BOUNDS) for name in "ab"
        }
        for server in self.servers.values():
            server.configure(_LIMITS, self.now_s)
        self.start(1)

    def start(self, incarnation):
        """Start the process of the node."""
        self.share = quota_share.QuotaShare(
            "n", incarnation, _BOUNDS, self.now_s, self.now_s + 3.0
        )
        self.share.configure(_LIMITS, self.now_s)
        self.share.set_nodes(1, ("a", "b"))
        self.began_s = self.next_tick_s = self.now_s

    def run(self, seconds):
        """Let time pass; the node ticks each second."""
        end_s = self.now_s + seconds - 1e-9
        while self.now_s < end_s:
            if self.now_s >= self.next_tick_s - 1e-9:
                self.next_tick_s += 1.0
                self.share.tick(self.now_s)
            self.share.advance(self.now_s)
            self.deliver()
            self.now_s += _STEP_S

    def request(self):
        """Return the wait that one request gets."""
        self.waits.clear()
        self.share.request(_TENANT, self.waits.append, self.now_s)
        self.deliver()
        return self.waits[0]

    def deliver(self):
        """Carry all messages, and pass on the decisions."""
        share = self.share
        while share.sends or share.answers:
            answers, share.answers = share.answers, []
            for done, wait_ms in answers:
                done(wait_ms)
            sends, share.sends = share.sends, []
            for name, message in sends:
                is_pledge = isinstance(message, messages.QuotaPledge)
                self.pledges += is_pledge and bool(message.server_incarnation)
                if name in self.cut:
                    continue
                server = self.servers[name]
                if is_pledge:
                    reply = server.on_pledge(message, self.now_s)
                    share.on_pledged(name, reply, self.now_s)
                else:
                    reply = server.on_request(message, self.now_s)
                    share.on_grant(name, reply, self.now_s)

    def granted(self, name):
        """Return the tokens that a server has for the tenant."""
        request = messages.QuotaRequest(number=1, wants=((_TENANT, 1),))
        grant = self.servers[name].on_request(request, self.now_s)
        return grant.grants[0][1]


@behave.given("a node that uses the quota servers a and b")
def node_with_servers(context):
    """Let the node pledge."""
    context.rig = _Rig()
    context.rig.run(4.5)
    context.chosen = quota.pick(_TENANT, ("a", "b"))
    assert context.rig.granted(context.chosen) == 1


@behave.when("a pledge with a stamp of some age arrives")
def old_pledge(context):
    """Send pledges of other nodes."""
    context.ages = [
        (float(row["age"]), row["accepted"] == "yes", float(row["left"]))
        for row in context.table
    ]


@behave.then("it is in force only for the time that is left")
def pledge_left(context):
    """Give each pledge a server of its own."""
    for age_s, accepted, left_s in context.ages:
        server = quota_server.QuotaServer("a", 1, _BOUNDS)
        server.configure(_LIMITS, 0.0)
        pledge = messages.QuotaPledge(
            node="m",
            incarnation=1,
            number=1,
            server_incarnation=1,
            stamp_ms=50_000,
            servers=("a",),
        )
        now_s = 50.0 + age_s
        assert server.on_pledge(pledge, now_s).accepted is accepted, age_s
        empty = messages.QuotaRequest(number=1, wants=())
        server.on_request(empty, now_s + left_s)
        assert server.pledged == accepted, age_s
        server.on_request(empty, now_s + left_s + 0.1)
        assert server.pledged == 0, age_s


@behave.when("it is restarted and no server is reached")
def restart_alone(context):
    """Start a new process whose messages are lost."""
    context.rig.cut = {"a", "b"}
    context.rig.pledges = 0
    context.rig.start(2)


@behave.then("it lets nothing through for 3 s, and its share after that")
def quiet(context):
    """Ask all the time."""
    rig = context.rig
    while rig.now_s < rig.began_s + 3.0 - 1e-6:
        assert rig.request() > 0, rig.now_s - rig.began_s
        rig.run(_STEP_S)
    rig.run(0.1)
    assert rig.request() == 0


@behave.then("it has pledged nothing before")
def no_pledge(context):
    """Check the messages that were lost."""
    assert context.rig.pledges == 0


@behave.when("no server is reached any more")
def lose_servers(context):
    """Lose all messages from here on."""
    rig = context.rig
    rig.cut = {"a", "b"}
    rig.began_s = rig.now_s
    # The tokens that it holds end.
    rig.run(0.35)
    rig.share.request(_TENANT, lambda wait_ms: None, rig.now_s)
    rig.run(0.5)


@behave.then("it lets nothing through for 1.4 s, and its share after 3.1 s")
def waits_for_end(context):
    """The pledge was renewed up to 1 s before, with a stamp 1 s old."""
    rig = context.rig
    while rig.now_s < rig.began_s + 1.4:
        assert rig.request() > 0, rig.now_s - rig.began_s
        rig.run(_STEP_S)
    rig.run(rig.began_s + 3.1 - rig.now_s)
    assert rig.request() == 0


@behave.when("the tenant's server is left out and {state}")
def leave_out(context, state):
    """Change the list of servers; the old one gets messages or not."""
    rig = context.rig
    rig.cut = {context.chosen} if state == "is cut off" else set()
    other = "b" if context.chosen == "a" else "a"
    context.other = other
    rig.share.set_nodes(1, (other,))
    rig.run(0.55)
    rig.began_s = rig.now_s


@behave.then(
    "the other server holds the tenant's share after {seconds:g} s and not"
    " before"
)
def held_by_other(context, seconds):
    """Look for tokens at both servers."""
    rig = context.rig
    rig.run(0.1)
    while rig.now_s < rig.began_s + seconds:
        old = rig.servers[context.chosen]
        old.on_request(messages.QuotaRequest(number=1, wants=()), rig.now_s)
        if old.pledged:
            assert rig.granted(context.other) == 0, rig.now_s - rig.began_s
        rig.run(_STEP_S)
    rig.run(1.1)
    assert rig.granted(context.other) == 1
    assert rig.granted(context.chosen) == 0


@behave.when("it holds tokens ahead for 0.31 s without a request")
def hold_tokens(context):
    """Use enough to prefetch, then wait."""
    rig = context.rig
    for _ in range(200):
        assert rig.request() == 0
        rig.run(_STEP_S / 5)
    assert rig.share._uses[_TENANT].held > 0
    rig.cut = {"a", "b"}
    rig.now_s += 0.31


@behave.then("they are not used")
def not_used(context):
    """A request waits for a grant that does not arrive."""
    context.rig.waits.clear()
    context.rig.share.request(
        _TENANT, context.rig.waits.append, context.rig.now_s
    )
    context.rig.deliver()
    assert context.rig.waits == [], context.rig.waits
