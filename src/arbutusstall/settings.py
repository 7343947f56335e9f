"""Public settings of a node and the functions that read them."""

from arbutusstall._settings import AddressSettings
from arbutusstall._settings import CallSettings
from arbutusstall._settings import CheckpointSettings
from arbutusstall._settings import LeaseSettings
from arbutusstall._settings import LogSettings
from arbutusstall._settings import NodeSettings
from arbutusstall._settings import ReadSettings
from arbutusstall._settings import RelaySettings
from arbutusstall._settings import RolloutSettings
from arbutusstall._settings_files import decode
from arbutusstall._settings_files import load

__all__ = [
    "AddressSettings",
    "CallSettings",
    "CheckpointSettings",
    "LeaseSettings",
    "LogSettings",
    "NodeSettings",
    "ReadSettings",
    "RelaySettings",
    "RolloutSettings",
    "decode",
    "load",
]
