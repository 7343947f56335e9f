"""Messages between a node and the quota servers of tenants.

They are sent several times a second by every node, so they are structs
encoded as arrays. A new field is appended and has a default.
"""

import msgspec


class QuotaPledge(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Hands the sender's share of some tenants to a quota server.

    The pledge covers a tenant if rendezvous hashing chooses the receiver
    for it both among ``servers`` and, unless empty, among ``previous``.

    Attributes:
        node: Id of the sender.
        incarnation: Incarnation of the sender.
        number: Number of the pledge; a higher one replaces it.
        server_incarnation: Incarnation of the receiver that ``stamp_ms``
            is from; 0 if the sender only asks for a stamp.
        stamp_ms: Newest stamp that the sender has from the receiver; the
            pledge ends at a fixed time after it, on the receiver's clock.
        nodes: Number of nodes that share each limit.
        lists: Number of the first pledge with the present ``servers`` and
            ``previous``. These are left out once the receiver has accepted
            a pledge with them.
        servers: Quota servers that the sender uses.
        previous: Servers it used before, while it changes them.
    """

    node: str
    incarnation: int
    number: int
    server_incarnation: int = 0
    stamp_ms: int = 0
    nodes: int = 1
    lists: int = 0
    servers: tuple[str, ...] = ()
    previous: tuple[str, ...] = ()


class QuotaPledged(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Answer to a pledge.

    Attributes:
        node: Id of the quota server.
        incarnation: Incarnation of the quota server.
        number: Number of the pledge that is answered.
        stamp_ms: The server's clock when it answered.
        nodes: Number of nodes that the server knows.
        accepted: Whether the pledge is held now.
    """

    node: str
    incarnation: int
    number: int
    stamp_ms: int
    nodes: int
    accepted: bool = False


class QuotaRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Asks a quota server for tokens.

    Attributes:
        number: Number of the request.
        wants: Pairs of tenant and number of tokens.
    """

    number: int
    wants: tuple[tuple[str, int], ...]


class QuotaGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Answer to a request for tokens.

    Attributes:
        node: Id of the quota server.
        number: Number of the request that is answered.
        grants: Tenant, number of tokens, and, if these are fewer than
            wanted, milliseconds until it is worth to ask again.
    """

    node: str
    number: int
    grants: tuple[tuple[str, int, int], ...]
