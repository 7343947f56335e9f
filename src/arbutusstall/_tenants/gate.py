"""Interface between the call path and the quotas of tenants."""

from collections import abc
from typing import Protocol

from arbutusstall._tables import agreed


class QuotaGate(Protocol):
    """Decides whether a request of a tenant is within its quota."""

    def request(
        self, tenant: agreed.Tenant, done: abc.Callable[[int], None]
    ) -> None:
        """Ask for one request of ``tenant``.

        ``done`` is called once: with 0 if the request may proceed, or
        with the milliseconds after which the caller should retry.
        """
        ...
