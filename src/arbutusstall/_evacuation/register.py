"""The set of evacuated data centres as of a position in the source."""

from typing import Annotated

import msgspec

from arbutusstall import _values

NO_OFFSET = -1

_Offset = Annotated[int, msgspec.Meta(ge=NO_OFFSET, le=_values.MAX_INT)]


class Register(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Evacuated data centres after all records before ``offset``.

    Of two registers, the one with the higher era and then the higher offset
    has seen all that the other one has. It is encoded as an array, since each
    heartbeat carries it.

    Attributes:
        era: Number of times that the store came back from an older copy.
        offset: Offset of the first record that is not included; -1 if
            nothing was read yet.
        data_centres: Names of the evacuated data centres, sorted.
    """

    era: _values.Number = 0
    offset: _Offset = NO_OFFSET
    data_centres: tuple[_values.Name, ...] = ()

    @property
    def if_known(self) -> "Register | msgspec.UnsetType":
        """The register for a message; unset if nothing was read yet."""
        return msgspec.UNSET if self.offset == NO_OFFSET else self

    def is_newer_than(self, other: "Register") -> bool:
        """Return whether this register includes more than ``other``."""
        return (self.era, self.offset) > (other.era, other.offset)

    def with_change(
        self, data_centre: str, evacuated: bool, offset: int
    ) -> "Register":
        """Return the register after the record at ``offset``."""
        names = set(self.data_centres)
        if evacuated:
            names.add(data_centre)
        else:
            names.discard(data_centre)
        return msgspec.structs.replace(
            self, offset=offset + 1, data_centres=tuple(sorted(names))
        )


OptionalRegister = Register | msgspec.UnsetType
"""A register in a message; nodes that know none do not send it."""
