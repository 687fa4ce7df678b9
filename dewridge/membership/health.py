"""How far this host's own slowness may be why others seem not to answer."""

WORST = 8
"""Most by which timeouts are stretched. A host that is starved of its processor by a
neighbour, a few seconds at worst, must not take 440 healthy members for dead; one
that is slower than this for long is better declared dead itself."""


class LocalHealth:
    """A score that own failures raise and answered probes lower."""

    def __init__(self) -> None:
        self._score = 0

    def record_answered_probe(self) -> None:
        """A probe of this host was answered in time."""
        self._score = max(0, self._score - 1)

    def record_local_fault(self) -> None:
        """A sign that this host or its links are slow.

        Its probe found nobody, not even through relays that all were thought to
        be alive, or others suspected it, or its own timer fired late.
        """
        self._score = min(WORST, self._score + 1)

    @property
    def timeout_multiplier(self) -> int:
        """By how much to multiply timeouts; 1 for a healthy host."""
        return self._score + 1
