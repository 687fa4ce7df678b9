"""Data types of backend servers and attempts."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from enum import Enum

from dewridge.ids import (
    AttemptId,
    BackendServerId,
    ClientAccount,
    OperationName,
    RequestKey,
    ServiceName,
)
from dewridge.providers.model import ListedServer
from dewridge.sentinels import Failure


class ServerState(Enum):
    """Availability of a backend server."""

    LIVE = "live"
    LEAVING = "leaving"
    """Gets no new work; the same id never becomes LIVE again."""
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server and its state as known to this host.

    Attributes:
        listed: its latest record in the host list.
        leaving_at: Unix time in seconds when it leaves, if it is leaving.
        load: queued and running requests as last reported; may be outdated.
        load_at: Unix time in seconds of that report.
    """

    listed: ListedServer
    state: ServerState
    leaving_at: float | None = None
    load: float = 0.0
    load_at: float = 0.0

    @property
    def id(self) -> BackendServerId:
        """Return the backend server's id."""
        return self.listed.backend_server


class Priority(Enum):
    """Request priority as engines define it."""

    INTERACTIVE = 0
    BACKGROUND = 1


@dataclass(frozen=True, slots=True)
class AttemptOrder:
    """Parameters of one attempt on a backend server.

    Attributes:
        input: a prompt for an engine, a JSON document for a plain service.
        tokens_done: tokens retained from earlier attempts. The engine continues
            after them, with a prefill or an imported KV cache.
        first_sequence: sequence number of the first new token;
            `len(tokens_done)`.
        timeout: seconds without any byte after which the server counts as
            silent.
        cache_handle: handle of an exported KV cache to import, if any.
    """

    attempt: AttemptId
    service: ServiceName
    operation: OperationName
    account: ClientAccount
    key: RequestKey
    input: str
    max_tokens: int
    priority: Priority
    timeout: float
    tokens_done: tuple[str, ...] = ()
    cache_handle: str | None = None
    cache_salt: str = ""

    @property
    def first_sequence(self) -> int:
        """Return the sequence number of the first token to generate."""
        return len(self.tokens_done)


@dataclass(frozen=True, slots=True)
class AttemptTokens:
    """Tokens of an attempt, in order and without a gap.

    Attributes:
        sequence: position of the first of them within the answer.
    """

    sequence: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """End of an attempt whose answer is complete.

    Attributes:
        body: a plain service's answer as JSON text; empty for an engine.
        recomputed: tokens that the engine had to compute again.
        cached: prompt tokens found in the engine's prefix cache.
        usage: token counts by the name that the engine gives them.
    """

    body: str = ""
    recomputed: int = 0
    cached: int = 0
    usage: dict[str, int] = field(default_factory=dict)


AttemptEvent = AttemptTokens | AttemptEnd | Failure
"""One event of an attempt; the last one is an AttemptEnd or a Failure.

The codes NOT_STARTED, BACKEND_SERVER_LEAVING and BACKEND_SERVER_REJECTED (invalid
input) prove that nothing ran. With CONNECTION_LOST, BACKEND_SERVER_SILENT,
BACKEND_SERVER_FAILED and ANSWER_MISMATCHED it is unknown whether anything ran."""

AttemptStream = AbstractAsyncContextManager[AsyncIterator[AttemptEvent]]

Dispatch = Callable[[BackendServer, AttemptOrder], AttemptStream]
"""Sends one attempt; exiting the context early closes the connection."""
