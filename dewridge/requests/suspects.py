"""Quarantine of requests that crash backend servers, identified by their content."""

import random
from collections.abc import Awaitable, Callable
from typing import Annotated

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.decoding import MAX_NAME, Amount, decode_json
from dewridge.digests import compute_content_digest
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
    Crash,
    Suspect,
    SuspectLedger,
)
from dewridge.requests.records import Record
from dewridge.requests.shared import Shared
from dewridge.requests.stopping import Attempt
from dewridge.sentinels import Failure

NAME_LENGTH = msgspec.Meta(max_length=MAX_NAME)
KIND_CRASH = "server_ended"
MAX_PROBED_SERVERS = 16
"""Other servers that are probed after a server seems to have crashed."""
VERSION_REPORTED = 1
"""Version of a rumor that reports a crash."""
VERSION_CLEARED = 2
"""Version of a rumor that a crash no longer counts; it replaces the report."""


class CrashPayload(msgspec.Struct):
    """Payload of a rumor that a backend server crashed while it ran a request.

    Attributes:
        at: when the crash was detected, in seconds since 1970.
        sent_at: when the request had been sent to the server.
    """

    account: Annotated[ClientAccount, NAME_LENGTH]
    service: Annotated[ServiceName, NAME_LENGTH]
    at: Amount
    sent_at: Amount


class SuspectRequests:
    """Quarantines requests that crash backend servers, as reported by all hosts.

    Each crash is a separate rumor, identified by request and server, so that the rumor
    protocol merges the reports of several hosts about the same crash.
    """

    def __init__(
        self,
        shared: Shared,
        rumors: Rumors,
        probe_server: Callable[[str], Awaitable[ConnectResult]],
        list_servers: Callable[[ServiceName], list[BackendServer]],
    ) -> None:
        self._shared = shared
        self._list_servers = list_servers
        self._rng = random.Random()
        self._rumors = rumors
        self._probe_server = probe_server
        self._ledger = SuspectLedger()
        rumors.subscribe_rumors(KIND_CRASH, self._receive_rumor)

    def check(
        self,
        account: ClientAccount,
        service: ServiceName,
        operation: OperationName,
        content: str,
    ) -> Failure | None:
        """Refuse a request that is quarantined for crashing servers."""
        if self._ledger.is_empty:
            return None
        digest = make_request_digest(account, service, operation, content)
        seconds_left = self._ledger.compute_quarantine_left(
            digest, self._shared.clock()
        )
        if seconds_left <= 0:
            return None
        self._shared.metrics.add("requests_set_aside_total", service=service)
        reason = f"servers ended under {digest}"
        return Failure(ResultCode.REQUEST_SET_ASIDE, reason, seconds_left)

    def check_record(self, record: Record) -> Failure | None:
        """Refuse another attempt at an accepted request that is now quarantined."""
        account, _ = split_request_id(record.request)
        return self.check(account, record.service, record.operation, record.input)

    async def handle_lost_attempt(
        self, attempt: Attempt, failure: Failure, server: BackendServer | None
    ) -> None:
        """Probe the server of a lost attempt; report to all hosts if it crashed."""
        if server is None or failure.code is not ResultCode.CONNECTION_LOST:
            return
        now = self._shared.clock()
        sent_at = now - (trio.current_time() - attempt.dispatched_at)
        reach = await self._probe_server(server.listed.address)
        if reach is ConnectResult.REFUSED and not await self._reaches_others(
            attempt.record.service, server
        ):
            # A request ends one server, a partition cuts this host from all.
            return
        first_token_at = attempt.first_token_at
        verdict = classify_loss(
            LossReason.CUT_OFF,
            reach,
            is_leaving=server.state is not ServerState.LIVE,
            seconds_since_first_event=None
            if first_token_at is None
            else now - first_token_at,
        )
        if verdict.is_request_suspect:
            self._report_crash(attempt, Crash(now, sent_at))

    async def _reaches_others(self, service: ServiceName, lost: BackendServer) -> bool:
        """Whether other servers of a service accept connections, if it has any."""
        others = [
            server
            for server in self._list_servers(service)
            if server.id != lost.id and server.state is ServerState.LIVE
        ]
        # Servers that the request crashed before are still listed, maybe first.
        drawn = self._rng.sample(others, min(len(others), MAX_PROBED_SERVERS))
        for server in drawn:
            if (
                await self._probe_server(server.listed.address)
                is ConnectResult.ACCEPTED
            ):
                return True
        return not others

    def _report_crash(self, attempt: Attempt, crash: Crash) -> None:
        record = attempt.record
        account, _ = split_request_id(record.request)
        digest = make_request_digest(
            account, record.service, record.operation, record.input
        )
        log.bind(
            request=record.request,
            digest=digest,
            account=account,
            operation=record.operation,
            server=attempt.server,
        ).warning("server ended under request")
        is_full = len(self._ledger.list_all()) >= MAX_SUSPECTS
        if is_full and self._ledger.find(digest) is None:
            # Bounds the number of rumors under an attack with many such requests.
            return
        payload = CrashPayload(account, record.service, crash.crashed_at, crash.sent_at)
        self._broadcast(digest, attempt.server, VERSION_REPORTED, payload)

    def record_answered(self, record: Record) -> None:
        """Clear a request's crashes on all hosts, since it was answered in full."""
        if self._ledger.is_empty:
            return
        account, _ = split_request_id(record.request)
        digest = make_request_digest(
            account, record.service, record.operation, record.input
        )
        suspect = self._ledger.find(digest)
        if suspect is None:
            return
        for server in suspect.crashes.keys() - suspect.cleared:
            crash = suspect.crashes[server]
            payload = CrashPayload(
                account, record.service, crash.crashed_at, crash.sent_at
            )
            self._broadcast(digest, server, VERSION_CLEARED, payload)

    def _broadcast(
        self,
        digest: RequestDigest,
        server: BackendServerId,
        version: int,
        payload: CrashPayload,
    ) -> None:
        subject = f"{digest}/{server}"
        content = msgspec.json.encode(payload)
        self._rumors.spread(
            Rumor(KIND_CRASH, subject, version, content, lifetime=QUARANTINE_PERIOD)
        )

    def _receive_rumor(self, rumor: Rumor) -> None:
        payload = decode_json(rumor.payload, CrashPayload)
        if isinstance(payload, Failure):
            log.bind(subject=rumor.subject, reason=payload.reason).warning(
                "undecodable rumor of a server crash"
            )
            return
        # The clock of the host that reports may be ahead. A crash in the far future
        # would never be too old to count.
        now = self._shared.clock()
        digest, _, server_name = rumor.subject.partition("/")
        server = BackendServerId(server_name)
        suspect = Suspect(
            RequestDigest(digest),
            payload.account,
            payload.service,
            {server: Crash(min(payload.at, now), min(payload.sent_at, now))},
            {server} if rumor.version >= VERSION_CLEARED else set(),
        )
        self._apply(suspect)

    def _apply(self, suspect: Suspect) -> None:
        now = self._shared.clock()
        seconds_left_before = self._ledger.compute_quarantine_left(suspect.digest, now)
        self._ledger.drop_expired(now)
        self._ledger.merge(suspect, now)
        seconds_left = self._ledger.compute_quarantine_left(suspect.digest, now)
        if seconds_left > 0 and seconds_left_before <= 0:
            log.bind(
                digest=suspect.digest,
                account=suspect.account,
                service=suspect.service,
                for_seconds=round(seconds_left, 1),
            ).warning("request set aside")


def make_request_digest(
    account: ClientAccount,
    service: ServiceName,
    operation: OperationName,
    content: str,
) -> RequestDigest:
    """Return a digest of a request's content, independent of its key."""
    head = (service.encode(), operation.encode())
    return compute_content_digest(account, head, content.encode())
