"""Estimates how much this host's own slowness delays answers to its probes."""

MAX_SCORE = 8
"""Maximum score, at which timeouts are multiplied by 9. A host that gets no CPU time
for up to a few seconds, because of another process on its machine, must not declare
440 healthy members dead. A host that stays slower than this should be declared dead
itself."""


class LocalHealth:
    """A score that signs of a local fault increase and answered probes decrease."""

    def __init__(self) -> None:
        self._score = 0

    def record_answered_probe(self) -> None:
        """Lower the score after a probe by this host was answered in time."""
        self._score = max(0, self._score - 1)

    def record_local_fault(self) -> None:
        """Raise the score after a sign that this host or its links are slow.

        The signs are: neither the target of its probe nor any of the relays
        answered, although all were believed to be alive; other members suspected
        it; or one of its timers fired late.
        """
        self._score = min(MAX_SCORE, self._score + 1)

    @property
    def timeout_multiplier(self) -> int:
        """Factor for timeouts; 1 for a healthy host."""
        return self._score + 1
