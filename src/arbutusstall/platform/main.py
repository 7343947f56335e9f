"""The node program as the platform starts it."""

import asyncio
import os
import pathlib
import signal
import sys

from arbutusstall import errors
from arbutusstall._proxy import event_loop
from arbutusstall._proxy import http_server
from arbutusstall._proxy import log_output
from arbutusstall._proxy import node as nodes
from arbutusstall.platform import dialect
from arbutusstall.platform import endpoints
from arbutusstall.platform import log
from arbutusstall.platform import operator
from arbutusstall.platform import reloading
from arbutusstall.platform import roster
from arbutusstall.platform import settings as platform_settings
from arbutusstall.platform import store as stores

_EXIT_INVALID = 1
_STDOUT = 1


def main() -> int:
    """Run a node until it is told to stop; return the exit code."""
    name = os.environ.get(platform_settings.VARIABLE, "")
    try:
        settings = platform_settings.load(pathlib.Path(name))
    except errors.InvalidFile as exc:
        print(f"{exc.peer}: {exc.reason}", file=sys.stderr)
        return _EXIT_INVALID
    with asyncio.Runner(loop_factory=event_loop.SteadyEventLoop) as runner:
        runner.run(_run(settings, pathlib.Path(name)))
    return 0


async def _run(
    settings: platform_settings.PlatformSettings, path: pathlib.Path
) -> None:
    output = log_output.configure(settings.node.log_level, _STDOUT)
    store = stores.Store(settings.node.log)
    node = nodes.Node(
        settings.node,
        nodes.Environment(
            dialect=dialect.PlatformDialect(settings.service),
            log=log.StoreLog(store),
            source=operator.OperatorSource(store),
            roster=roster.StoreRoster(store),
            notice_s=settings.notice_s,
            grace_s=settings.grace_s,
            target_silent_s=settings.target_silent_s,
        ),
    )
    heartbeats = http_server.HttpServer(
        settings.control, endpoints.HeartbeatHandler(node)
    )
    ready = http_server.HttpServer(
        settings.ready, endpoints.ReadinessHandler(node)
    )
    watch = reloading.SettingsWatch(path, settings, node.log)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, watch.reload)
    watch.start()
    await heartbeats.start()
    await ready.start()
    await node.run()
    heartbeats.close()
    ready.close()
    output.flush()
    # Threads that wait for the store must not delay the end.
    os._exit(0)
