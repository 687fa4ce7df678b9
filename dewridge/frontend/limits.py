"""Limit on the open streams of one client account on this host."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from dewridge.codes import ResultCode
from dewridge.ids import ClientAccount
from dewridge.sentinels import Failure

RETRY_AFTER = 1.0
"""Seconds after which a caller over its limit may retry. It is short, since streams
end frequently."""


class StreamLimiter:
    """Limits the answers that each client account follows on this host.

    An account may open streams without bound, by a fault or on purpose. Without a
    limit per account it would exhaust the host's memory and other accounts would be
    rejected; with the limit only the account itself is.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: Counter[ClientAccount] = Counter()

    def check(self, account: ClientAccount) -> Failure | None:
        """Return a failure if the account has reached its limit."""
        if self._open[account] < self._limit:
            return None
        reason = f"this account follows {self._limit} answers on this host already"
        return Failure(ResultCode.TOO_MANY_CONNECTIONS, reason, RETRY_AFTER)

    @contextmanager
    def track_stream(self, account: ClientAccount) -> Iterator[None]:
        """Count a stream while the context is open."""
        self._open[account] += 1
        try:
            yield
        finally:
            self._open[account] -= 1
            if not self._open[account]:
                del self._open[account]

    def describe(self) -> dict[str, int]:
        """Return the open streams by account, for a dump."""
        return {str(account): count for account, count in self._open.items()}
