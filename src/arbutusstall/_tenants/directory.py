"""Finds the tenant of a request by its API key.

The configuration and this table hold digests of the keys only.
"""

from collections import abc
import dataclasses
import enum
import hashlib

from arbutusstall._tables import agreed

_DIGEST_BYTES = 16


class Refusal(enum.Enum):
    """Why a request is refused; the value is the reason that is reported."""

    NO_KEY = "no API key"
    UNKNOWN_KEY = "unknown API key"
    UNKNOWN_PARENT = "parent request not running here"
    STALE = "API keys not confirmed in time"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Access:
    """Whether a request is served, and for which tenant.

    Attributes:
        tenant: The tenant; None for exempt routes and nested calls.
        refusal: Why it is not served; None if it is.
    """

    tenant: agreed.Tenant | None = None
    refusal: Refusal | None = None


_WITHOUT_TENANT = Access()
_NO_KEY = Access(refusal=Refusal.NO_KEY)
_UNKNOWN_KEY = Access(refusal=Refusal.UNKNOWN_KEY)
_UNKNOWN_PARENT = Access(refusal=Refusal.UNKNOWN_PARENT)
_STALE = Access(refusal=Refusal.STALE)


class Directory:
    """The tenants of one configuration, indexed by their key digests."""

    def __init__(self, tenants: abc.Iterable[agreed.Tenant]) -> None:
        self._access_by_digest = {
            digest: Access(tenant=tenant)
            for tenant in tenants
            for digest in tenant.key_digests
        }

    def check(
        self,
        key: str,
        *,
        is_exempt: bool,
        has_parent: bool,
        is_parent_running: bool,
        is_fresh: bool,
    ) -> Access:
        """Decide about one request.

        Without fresh evidence an unknown key is not reported as unknown,
        since a newer configuration may have added it.

        Args:
            key: API key that the caller sent; empty if none.
            is_exempt: Whether the request's route needs no key.
            has_parent: Whether the request's id extends another one.
            is_parent_running: Whether that request is running here.
            is_fresh: Whether no key can have been removed for too long.
        """
        if is_exempt:
            return _WITHOUT_TENANT
        if not key:
            if not has_parent:
                return _NO_KEY
            return _WITHOUT_TENANT if is_parent_running else _UNKNOWN_PARENT
        if not is_fresh:
            return _STALE
        return self._access_by_digest.get(key_digest(key), _UNKNOWN_KEY)


def key_digest(key: str) -> str:
    """Return the digest under which a key is stored and looked up."""
    return hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def find_shared_key(
    tenants: abc.Iterable[agreed.Tenant],
) -> tuple[str, str] | None:
    """Return the names of two tenants with the same key, if there are any."""
    owners: dict[str, str] = {}
    for tenant in tenants:
        for digest in tenant.key_digests:
            owner = owners.setdefault(digest, tenant.name)
            if owner != tenant.name:
                return owner, tenant.name
    return None
