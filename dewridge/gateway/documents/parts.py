"""A configuration document in parts, of which most stay the same between versions."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DocumentParts:
    """A document of the operator, split but not decoded.

    Attributes:
        version: version of the configuration.
        head: all but the lists below, in the operator's format.
        routes: each route in the operator's format.
        accounts: each account in the operator's format; None if there are none at all
            and requests need no key.
    """

    version: int
    head: bytes
    routes: tuple[bytes, ...]
    accounts: tuple[bytes, ...] | None

    @property
    def size(self) -> int:
        """Bytes of all parts."""
        parts = (*self.routes, *(self.accounts or ()))
        return len(self.head) + sum(map(len, parts))
