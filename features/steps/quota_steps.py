"""Steps for the quotas of tenants in virtual time, without a network."""

import dataclasses

import behave
import quota_model

# Until then all nodes have pledged their shares.
_SETTLE_S = 5.0
_LOST_FREEZE_S = 2.2


@behave.given(
    "{nodes:d} nodes that share the limits of {tenants:d} tenants, seed"
    " {seed:d}"
)
def make_seeded_nodes(context, nodes, tenants, seed):
    """Start the nodes and let them pledge."""
    limits = quota_model.make_limits(tenants)
    context.model = quota_model.QuotaModel(nodes, limits, seed=seed)
    context.sending = list(limits)[:6]
    context.model.run(_SETTLE_S, [])
    context.from_s = context.model.now_s


@behave.given("{nodes:d} nodes that share the limits of {tenants:d} tenants")
def make_nodes(context, nodes, tenants):
    """Use the first seed."""
    make_seeded_nodes(context, nodes, tenants, 1)


def _loads(context, nodes, factor=2.0):
    limits = context.model.limits
    return [
        (tenant, factor * limits[tenant].rate_per_s, nodes)
        for tenant in context.sending
    ]


def _zone(model, *zones):
    return [node for node in model.nodes if node.zone in zones]


@behave.when("the tenants send twice their limits for {seconds:d} s {place}")
def send_at(context, seconds, place):
    """Send from one node, from all, or from one data centre, then another."""
    model = context.model
    if place == "on one node":
        parts = [model.nodes[:1]]
    elif place == "on all nodes":
        parts = [model.nodes]
    else:
        parts = [_zone(model, 0), _zone(model, 1)]
    for nodes in parts:
        model.run(seconds / len(parts), _loads(context, nodes))


@behave.when(
    "two of five data centres are partitioned for {seconds:d} s under load"
)
def partition(context, seconds):
    """Lose all messages between the parts; measure after the pledges end."""
    model = context.model
    model.run(2, _loads(context, model.nodes))
    model.allowed = lambda one, other: (one.zone < 2) == (other.zone < 2)
    model.run(5, _loads(context, model.nodes))
    context.from_s = model.now_s
    model.run(seconds - 5, _loads(context, model.nodes))


@behave.when("the partition ends and the load goes on for {seconds:d} s")
def heal(context, seconds):
    """Measure once all servers are in use again."""
    model = context.model
    model.allowed = lambda one, other: True
    model.run(5, _loads(context, model.nodes))
    context.from_s = model.now_s
    model.run(seconds - 5, _loads(context, model.nodes))


@behave.when("all tenants send their limits divided by 1.6 for {seconds:d} s")
def send_normal(context, seconds):
    """Count messages from here on."""
    model = context.model
    for node in model.nodes:
        node.number = node.bytes = 0
    context.seconds = seconds
    context.sending = list(model.limits)
    model.run(seconds, _loads(context, model.nodes, 1 / 1.6))
    # The last requests still wait for their tokens.
    model.run(0.1, [])


@behave.when(
    "{count:d} nodes {event} every {pause:d} ms for {seconds:d} s under load"
)
def disturb(context, count, event, pause, seconds):
    """Restart or freeze random nodes, quota servers included."""
    model = context.model
    for _ in range(int(seconds * 1_000 / pause)):
        for node in model.rng.sample(model.nodes, count):
            if event == "restart":
                model.start(node)
            else:
                node.frozen_until_s = model.now_s + _LOST_FREEZE_S
        model.run(pause / 1_000, _loads(context, model.nodes))


@behave.when(
    "each node knows another nine in ten of them, changed {times:d} times,"
    " under load"
)
def disagree(context, times):
    """Give each node its own members; the count stays that of the mesh."""
    model = context.model
    for _ in range(times):
        for node in model.nodes:
            known = model.rng.sample(model.nodes, len(model.nodes) * 9 // 10)
            model.set_members([node], known)
        model.run(3, _loads(context, model.nodes))


@behave.when("all quota servers end and the load goes on for {seconds:d} s")
def end_servers(context, seconds):
    """End the servers; the others keep them as members."""
    model = context.model
    names = model.servers
    for node in model.nodes:
        node.alive = node.name not in names
    context.rest = [node for node in model.nodes if node.alive]
    context.from_s = model.now_s + 4.0
    model.run(seconds, _loads(context, context.rest))


@behave.when("the limits are divided by {factor:d} within 2.5 s under load")
def lower(context, factor):
    """Put the lower limits in force at one node after the other."""
    model = context.model
    model.run(5, _loads(context, model.nodes))
    context.lower = {
        tenant: dataclasses.replace(
            limit, rate_per_s=limit.rate_per_s / factor
        )
        for tenant, limit in model.limits.items()
    }
    for node in model.nodes:
        model.configure(node, context.lower)
        model.run(2.5 / len(model.nodes), _loads(context, model.nodes))
    context.from_s = model.now_s + quota_model.WINDOW_S
    model.run(15, _loads(context, model.nodes))


@behave.then("no tenant gets more than its limit in any window")
def within(context):
    """Compare the busiest window of each tenant with the bound."""
    model = context.model
    for tenant in context.sending:
        most = model.most_in_window(tenant)
        bound = quota_model.allowed(model.limits[tenant])
        assert most <= bound, (tenant, most, bound)


@behave.then("each tenant can use at least {share:d} percent of its limit")
def usable(context, share):
    """Compare what was let through with the limit."""
    model = context.model
    for tenant in context.sending:
        used = model.used(tenant, context.from_s, model.now_s)
        assert used >= share / 100, (tenant, used)


@behave.then(
    "the tenants can use at least {share:d} percent of their limits together"
)
def usable_together(context, share):
    """Compare sums; one tenant's quota server may be hit more often."""
    model = context.model
    rates = [model.limits[item].rate_per_s for item in context.sending]
    used = sum(
        model.used(tenant, context.from_s, model.now_s) * rate
        for tenant, rate in zip(context.sending, rates, strict=True)
    )
    assert used >= share / 100 * sum(rates), used / sum(rates)


@behave.then("at least 99 of 100 of their requests are let through")
def let_through(context):
    """Compare with what was sent, over all tenants."""
    model = context.model
    count = sum(len(times) for times in model.times.values())
    assert count >= 0.99 * sum(model.offered.values())


@behave.then(
    "a node sends and gets at most {most:d} messages a second on average"
)
def few_messages(context, most):
    """Count both directions; the quota servers' part is included."""
    nodes = context.model.nodes
    total = sum(node.number for node in nodes)
    average = total / len(nodes) / context.seconds
    assert average <= most, average


@behave.then("90 of 100 requests wait for at most {most:d} ms")
def brief_waits(context, most):
    """Check the time until a request is let through."""
    waits = sorted(context.model.waits_s)
    wait_s = waits[len(waits) * 9 // 10]
    assert wait_s * 1_000 <= most, wait_s


@behave.then("an isolated node lets through its own share")
def own_share(context):
    """The shares of the servers are lost; the others' stay in use.

    The limits of the smaller tenants are less than a token for each node.
    """
    model = context.model
    share = len(context.rest) / len(model.nodes)
    for tenant in context.sending[:2]:
        used = model.used(tenant, context.from_s, model.now_s)
        assert used >= 0.9 * share, (tenant, used, share)


@behave.then("the lower limits hold one window later")
def lower_holds(context):
    """Check the windows that begin later than that."""
    model = context.model
    for tenant in context.sending:
        times = [at for at in model.times[tenant] if at >= context.from_s]
        model.times[tenant] = times
        most = model.most_in_window(tenant)
        bound = quota_model.allowed(context.lower[tenant])
        assert most <= bound, (tenant, most, bound)
