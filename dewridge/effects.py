"""Effects of calls that change something at their receiver."""

from enum import Enum


class Effect(Enum):
    """Whether a call was carried out.

    A call without a usable reply is neither carried out nor refused: its receiver may
    have carried it out, or may do so later.
    """

    DONE = "done"
    REFUSED = "refused"
    """The receiver has not carried it out and never will, or it was not sent."""
    UNKNOWN = "unknown"
