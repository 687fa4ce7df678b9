"""Requests under which backend servers ended, whatever key they come with."""

from collections.abc import Awaitable, Callable

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.digests import make_content_digest
from dewridge.fleet.model import BackendServer, ServerState
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    OperationName,
    RequestDigest,
    ServiceName,
    split_request_id,
)
from dewridge.membership.model import Rumor, Rumors
from dewridge.policy.losses import ConnectResult, LossReason, classify_loss
from dewridge.policy.suspects import (
    MAX_SUSPECTS,
    QUARANTINE_PERIOD,
    End,
    Suspect,
    SuspectLedger,
)
from dewridge.requests.records import Record
from dewridge.requests.shared import Shared
from dewridge.requests.stopping import Attempt
from dewridge.sentinels import Failure

KIND_ENDED = "server_ended"
FIRST_WORD = 1
CLEARED = 2
"""Version of a rumor that an end counts no more; it replaces the first word."""


class EndPayload(msgspec.Struct):
    """Payload of a rumor that a backend server ended under a request.

    Attributes:
        at: seconds since 1970 when it was noticed.
        sent_at: when the request had been sent there.
    """

    account: ClientAccount
    service: ServiceName
    at: float
    sent_at: float


class SuspectRequests:
    """Sets requests aside that end backend servers, on the word of all hosts.

    Each end is a rumor of its own, by request and server, so that ends which several
    hosts tell of are merged by the rumors themselves.
    """

    def __init__(
        self,
        shared: Shared,
        rumors: Rumors,
        look: Callable[[str], Awaitable[ConnectResult]],
    ) -> None:
        self._shared = shared
        self._rumors = rumors
        self._look = look
        self._ledger = SuspectLedger()
        rumors.subscribe_rumors(KIND_ENDED, self._hear)

    def check(
        self,
        account: ClientAccount,
        service: ServiceName,
        operation: OperationName,
        content: str,
    ) -> Failure | None:
        """Refuse a request under which servers ended, before it runs again."""
        if self._ledger.is_empty:
            return None
        digest = name_request(account, service, operation, content)
        left = self._ledger.find_quarantine_left(digest, self._shared.clock())
        if left <= 0:
            return None
        self._shared.metrics.add("requests_set_aside_total", service=service)
        reason = f"servers ended under {digest}"
        return Failure(ResultCode.REQUEST_SET_ASIDE, reason, left)

    def check_record(self, record: Record) -> Failure | None:
        """Refuse another attempt at a request that was accepted before."""
        account, _ = split_request_id(record.request)
        return self.check(account, record.service, record.operation, record.input)

    async def note_lost(
        self, attempt: Attempt, failure: Failure, server: BackendServer | None
    ) -> None:
        """Look whether a server ended that lost an attempt, and tell all hosts."""
        if server is None or failure.code is not ResultCode.CONNECTION_LOST:
            return
        now = self._shared.clock()
        sent_at = now - (trio.current_time() - attempt.dispatched_at)
        reach = await self._look(server.listed.address)
        begun_at = attempt.first_token_at
        verdict = classify_loss(
            LossReason.CUT_OFF,
            reach,
            is_leaving=server.state is not ServerState.LIVE,
            seconds_since_first_event=None if begun_at is None else now - begun_at,
        )
        if verdict.is_request_suspect:
            self._note_end(attempt, End(now, sent_at))

    def _note_end(self, attempt: Attempt, end: End) -> None:
        record = attempt.record
        account, _ = split_request_id(record.request)
        digest = name_request(account, record.service, record.operation, record.input)
        log.bind(
            request=record.request,
            digest=digest,
            account=account,
            operation=record.operation,
            server=attempt.server,
        ).warning("server ended under request")
        is_full = len(self._ledger.list_all()) >= MAX_SUSPECTS
        if is_full and self._ledger.find(digest) is None:
            # Under an attack with many such requests rumors must not grow on.
            return
        payload = EndPayload(account, record.service, end.at, end.sent_at)
        self._spread(digest, attempt.server, FIRST_WORD, payload)

    def note_answered(self, record: Record) -> None:
        """Count the ends so far no more, on all hosts: the request can be answered."""
        if self._ledger.is_empty:
            return
        account, _ = split_request_id(record.request)
        digest = name_request(account, record.service, record.operation, record.input)
        suspect = self._ledger.find(digest)
        if suspect is None:
            return
        for server in suspect.crashes.keys() - suspect.cleared:
            end = suspect.crashes[server]
            payload = EndPayload(account, record.service, end.at, end.sent_at)
            self._spread(digest, server, CLEARED, payload)

    def _spread(
        self,
        digest: RequestDigest,
        server: BackendServerId,
        version: int,
        payload: EndPayload,
    ) -> None:
        subject = f"{digest}/{server}"
        content = msgspec.json.encode(payload)
        self._rumors.spread(
            Rumor(KIND_ENDED, subject, version, content, lifetime=QUARANTINE_PERIOD)
        )

    def _hear(self, rumor: Rumor) -> None:
        try:
            payload = msgspec.json.decode(rumor.payload, type=EndPayload)
        except msgspec.DecodeError as error:
            log.bind(subject=rumor.subject, reason=str(error)).warning(
                "rumor of a server's end can't be read"
            )
            return
        digest, _, name = rumor.subject.partition("/")
        server = BackendServerId(name)
        suspect = Suspect(
            RequestDigest(digest),
            payload.account,
            payload.service,
            {server: End(payload.at, payload.sent_at)},
            {server} if rumor.version >= CLEARED else set(),
        )
        self._take(suspect)

    def _take(self, suspect: Suspect) -> None:
        now = self._shared.clock()
        before = self._ledger.find_quarantine_left(suspect.digest, now)
        self._ledger.drop_expired(now)
        self._ledger.merge(suspect, now)
        left = self._ledger.find_quarantine_left(suspect.digest, now)
        if left > 0 and before <= 0:
            log.bind(
                digest=suspect.digest,
                account=suspect.account,
                service=suspect.service,
                for_seconds=round(left, 1),
            ).warning("request set aside")


def name_request(
    account: ClientAccount,
    service: ServiceName,
    operation: OperationName,
    content: str,
) -> RequestDigest:
    """Return what names a request's content under any key."""
    head = (service.encode(), operation.encode())
    return make_content_digest(account, head, content.encode())
