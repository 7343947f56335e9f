"""Health checks of targets by the path that the operator names."""

import logging
from typing import Protocol

from arbutusstall import _effects
from arbutusstall import errors
from arbutusstall._proxy import target_health
from arbutusstall._shell import http
from arbutusstall.platform import durations

LOG = logging.getLogger(__name__)

_TIMEOUT_S = 1.0
_ANSWER_BYTES = 64 * 1024
_OK = 200
_INSTANCE = "x-instance-id"
_NOT_EXECUTED = "x-not-executed"
_LEAVING = "server-leaving"
_COLD_MS = "x-cold-ms"
_UNKNOWN = target_health.HealthAnswer(
    health=target_health.TargetHealth.UNKNOWN
)


class HealthPaths(Protocol):
    """Knows the path of the health check of each service."""

    def health_path(self, service: str) -> str:
        """Return the path; empty if the service has no health check.

        Raises:
            LogUnavailable: It is not known yet.
        """
        ...


class TargetHealthCheck:
    """Implements `target_health.HealthCheck` over HTTP."""

    def __init__(self, paths: HealthPaths) -> None:
        self._paths = paths

    def check(self, target: _effects.Announced) -> target_health.HealthAnswer:
        """Ask a target for its health; failures are logged as unknown."""
        try:
            path = self._paths.health_path(target.service)
            if not path:
                return _UNKNOWN
            response = http.send(
                http.Request(
                    method="GET",
                    url=f"http://{target.address}{path}",
                    timeout_s=_TIMEOUT_S,
                    fresh=True,
                    answer_bytes=_ANSWER_BYTES,
                )
            )
        except errors.ArbutusstallError as exc:
            LOG.warning(
                {
                    "event": "health-unknown",
                    "target": target.instance,
                    "reason": str(exc),
                }
            )
            return _UNKNOWN
        return _read(target, response)


def _read(
    target: _effects.Announced, response: http.Response
) -> target_health.HealthAnswer:
    headers = {name.lower(): value for name, value in response.headers}
    if _NOT_EXECUTED in headers:
        return _UNKNOWN
    is_target = headers.get(_INSTANCE, target.instance) == target.instance
    is_leaving = headers.get(_LEAVING, "").strip() == "1"
    if response.status == _OK and is_target and not is_leaving:
        return target_health.HealthAnswer(
            health=target_health.TargetHealth.SERVING,
            cold_s=_read_cold_s(target, headers.get(_COLD_MS)),
        )
    return target_health.HealthAnswer(
        health=target_health.TargetHealth.NOT_SERVING
    )


def _read_cold_s(target: _effects.Announced, text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return durations.seconds(f"{text.strip()}ms")
    except ValueError as exc:
        LOG.warning(
            {
                "event": "cold-time-ignored",
                "target": target.instance,
                "reason": str(exc),
            }
        )
        return None
