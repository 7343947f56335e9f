"""Release files: the changes that operators publish.

`load` reads and validates a file; the data classes describe its content.
"""

from arbutusstall._notes import check_times
from arbutusstall._notes import decode
from arbutusstall._notes import digest
from arbutusstall._notes import Items
from arbutusstall._notes import load
from arbutusstall._notes import ReleaseNote
from arbutusstall._notes import RouteItem
from arbutusstall._notes import ServiceItem
from arbutusstall._notes import ShareItem
from arbutusstall._notes import Withdrawals

__all__ = [
    "Items",
    "ReleaseNote",
    "RouteItem",
    "ServiceItem",
    "ShareItem",
    "Withdrawals",
    "check_times",
    "decode",
    "digest",
    "load",
]
