"""The node program as the platform starts it."""

import asyncio
import os
import pathlib
import signal
import sys

from arbutusstall import errors
from arbutusstall._bounds import allocator
from arbutusstall._proxy import event_loop
from arbutusstall._proxy import http_server
from arbutusstall._proxy import log_output
from arbutusstall._proxy import node as nodes
from arbutusstall.platform import dialect
from arbutusstall.platform import endpoints
from arbutusstall.platform import health
from arbutusstall.platform import log
from arbutusstall.platform import operator
from arbutusstall.platform import reloading
from arbutusstall.platform import roster
from arbutusstall.platform import settings as platform_settings
from arbutusstall.platform import store as stores

_EXIT_INVALID_SETTINGS = 1
_STDOUT_FD = 1


def main() -> int:
    """Run a node until SIGTERM or SIGINT.

    Returns the exit code if the settings file is invalid. Otherwise the
    process exits with 0 without returning.
    """
    name = os.environ.get(platform_settings.FILE_VARIABLE, "")
    try:
        settings = platform_settings.load(pathlib.Path(name))
    except errors.InvalidFile as exc:
        print(f"{exc.peer}: {exc.reason}", file=sys.stderr)
        return _EXIT_INVALID_SETTINGS
    allocator.return_large_blocks()
    with asyncio.Runner(loop_factory=event_loop.SteadyEventLoop) as runner:
        runner.run(_run(settings, pathlib.Path(name)))
    return 0


async def _run(
    settings: platform_settings.PlatformSettings, path: pathlib.Path
) -> None:
    output = log_output.configure(settings.node.log_level, _STDOUT_FD)
    store = stores.Store(settings.node.log)
    source = operator.OperatorSource(store)
    node = nodes.Node(
        settings.node,
        nodes.Environment(
            dialect=dialect.PlatformDialect(settings.service),
            log=log.StoreLog(store),
            source=source,
            roster=roster.StoreRoster(store),
            notice_s=settings.notice_s,
            grace_s=settings.grace_s,
            target_silent_s=settings.target_silent_s,
            health=health.TargetHealthCheck(source),
            first_process=settings.first_process,
        ),
    )
    heartbeat_server = http_server.HttpServer(
        settings.control_address,
        endpoints.HeartbeatHandler(node, settings.service),
        bounds=node.bounds.control(),
    )
    ready_server = http_server.HttpServer(
        settings.ready_address,
        endpoints.ReadinessHandler(node),
        bounds=node.bounds.control(),
    )
    settings_watch = reloading.SettingsWatch(path, settings, node.log)
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP, settings_watch.reload
    )
    settings_watch.start()
    await heartbeat_server.start()
    await ready_server.start()
    await node.run()
    heartbeat_server.close()
    ready_server.close()
    output.flush()
    # Skips joining the threads that still wait for the store, which would
    # delay the exit.
    os._exit(0)
