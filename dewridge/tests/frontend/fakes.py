"""Fakes of the interfaces that the frontend uses, and a frontend to test against."""

import hashlib
import zlib
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import trio
from quart_trio import QuartTrio
from uuid6 import uuid7

from dewridge.codes import ResultCode
from dewridge.configuration.model import (
    Configuration,
    Operation,
    PolicyChoice,
    Profile,
    Service,
)
from dewridge.frontend.app import build_app
from dewridge.frontend.server import serve
from dewridge.ids import (
    ClientAccount,
    FailureDomain,
    Generation,
    HostId,
    Incarnation,
    OperationName,
    ProfileName,
    RequestKey,
    ServiceName,
    make_request_id,
)
from dewridge.membership.model import Member, MemberState
from dewridge.metrics.registry import Metrics
from dewridge.policy.memorybudget import MemoryBudget
from dewridge.requests.model import (
    Accepted,
    AnswerEvent,
    EndedEvent,
    RequestState,
    RequestStatus,
    Submission,
)
from dewridge.sentinels import Failure
from dewridge.settings.schema import (
    AccountSettings,
    FrontendSettings,
    HostSettings,
    OperatorSettings,
    PlatformSettings,
    Settings,
)
from dewridge.supervision.dumps import DumpCollector

AUDITOR = "auditor-token"
RIVAL = "rival-token"
OPERATOR = "operator-token"


def make_key() -> str:
    return str(uuid7())


def hash_token(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def make_settings(**frontend: Any) -> Settings:
    return Settings(
        host=HostSettings(id="host-1", region="r", failure_domain="zona-a"),
        platform=PlatformSettings(
            key_value="http://127.0.0.1:1",
            host_list="http://127.0.0.1:1",
            cloud="http://127.0.0.1:1",
        ),
        frontend=FrontendSettings(**{"port": 0, **frontend}),
        accounts=(
            AccountSettings("auditor", hash_token(AUDITOR)),
            AccountSettings("rival", hash_token(RIVAL)),
        ),
        operators=(OperatorSettings("olga", hash_token(OPERATOR)),),
    )


def make_member(
    name: str, domain: str, state: MemberState = MemberState.ALIVE
) -> Member:
    return Member(
        host=HostId(name),
        incarnation=Incarnation(1),
        failure_domain=FailureDomain(domain),
        address="127.0.0.1:1",
        frontend_address=f"127.0.0.1:{1 + zlib.crc32(name.encode()) % 1000}",
        state=state,
    )


class FakeMembership:
    def __init__(self, members: Sequence[Member]) -> None:
        self._members = list(members)

    @property
    def local_member(self) -> Member:
        return self._members[0]

    def members(self) -> Sequence[Member]:
        return self._members

    def find(self, host: HostId) -> Member | None:
        return next((member for member in self._members if member.host == host), None)

    def subscribe(self, listener: Any) -> None:
        pass

    def set_address(self, address: str) -> None:
        self._members[0] = replace(self._members[0], frontend_address=address)


@dataclass
class FakeRequests:
    """Answers each request with a script of events and of pauses in seconds."""

    script: Sequence[AnswerEvent | float] = field(default_factory=list)
    rejection: Failure | None = None
    submissions: list[Submission] = field(default_factory=list)
    open_streams: int = 0

    async def submit(self, submission: Submission) -> Accepted | Failure:
        self.submissions.append(submission)
        if self.rejection is not None:
            return self.rejection
        request = make_request_id(submission.account, submission.key)
        return Accepted(request, Generation(1))

    @asynccontextmanager
    async def follow(
        self,
        account: ClientAccount,
        key: RequestKey,
        generation: Generation,
        offset: int,
    ) -> AsyncIterator[trio.MemoryReceiveChannel[AnswerEvent]]:
        send, receive = trio.open_memory_channel[AnswerEvent](4)
        self.open_streams += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_script, send, tuple(self.script))
                yield receive
                nursery.cancel_scope.cancel()
        finally:
            self.open_streams -= 1

    async def _send_script(
        self,
        send: trio.MemorySendChannel[AnswerEvent],
        script: Sequence[AnswerEvent | float],
    ) -> None:
        async with send:
            for item in script:
                if isinstance(item, float):
                    await trio.sleep(item)
                else:
                    await send.send(item)

    def _is_known(self, account: ClientAccount, key: RequestKey) -> bool:
        return any(
            submission.account == account and submission.key == key
            for submission in self.submissions
        )

    async def look_up(
        self, account: ClientAccount, key: RequestKey
    ) -> RequestStatus | Failure:
        if not self._is_known(account, key):
            return Failure(ResultCode.UNKNOWN_REQUEST)
        last_item = self.script[-1] if self.script else None
        ended = last_item if isinstance(last_item, EndedEvent) else None
        return RequestStatus(
            make_request_id(account, key),
            RequestState.DONE if ended else RequestState.RUNNING,
            Generation(1),
            0,
            ended,
        )

    async def cancel(
        self, account: ClientAccount, key: RequestKey
    ) -> RequestStatus | Failure:
        return await self.look_up(account, key)


class FakeConfiguration:
    """Stores profiles and services with their revisions in memory."""

    def __init__(self) -> None:
        operation = OperationName("draft_finding")
        self.revision = 3
        self.profiles = {"cheap": make_profile("cheap")}
        self.services = {
            "findings": Service(
                ServiceName("findings"),
                "model",
                ProfileName("cheap"),
                (Operation(operation),),
            ),
            "registry": Service(
                ServiceName("registry"),
                "plain",
                ProfileName("cheap"),
                (Operation(OperationName("check_status")),),
            ),
        }
        self.versions = {
            "profile/cheap": 1,
            "service/findings": 2,
            "service/registry": 3,
        }

    def current(self) -> Configuration:
        return Configuration(
            self.revision, dict(self.profiles), dict(self.services), dict(self.versions)
        )

    def _accept(self, name: str, expected: int | None) -> int | Failure:
        if expected != self.versions.get(name, 0):
            return Failure(ResultCode.REVISION_CONFLICT)
        self.revision += 1
        self.versions[name] = self.revision
        return self.revision

    async def publish_profile(
        self, profile: Profile, expected: int | None, operator: Any
    ) -> int | Failure:
        accepted = self._accept(f"profile/{profile.name}", expected)
        if not isinstance(accepted, Failure):
            self.profiles[profile.name] = profile
        return accepted

    async def publish_service(
        self, service: Service, expected: int | None, operator: Any
    ) -> int | Failure:
        accepted = self._accept(f"service/{service.name}", expected)
        if not isinstance(accepted, Failure):
            self.services[service.name] = service
        return accepted

    async def retire_profile(
        self, name: ProfileName, expected: int | None, operator: Any
    ) -> int | Failure:
        return self._accept(f"profile/{name}", expected)

    async def move_service(
        self,
        name: ServiceName,
        profile: ProfileName,
        expected: int | None,
        operator: Any,
    ) -> int | Failure:
        return self._accept(f"service/{name}", expected)


def make_profile(name: str) -> Profile:
    return Profile(
        ProfileName(name),
        PolicyChoice("any"),
        PolicyChoice("any"),
        PolicyChoice("any"),
    )


async def read_usage(profile: ProfileName) -> dict[str, float]:
    return {"tokens": 12.0, "cost": 0.5}


def make_app(
    requests: FakeRequests,
    settings: Settings | None = None,
    membership: FakeMembership | None = None,
    *,
    is_leaving: bool = False,
) -> QuartTrio:
    return build_app(
        settings=settings or make_settings(),
        requests=requests,
        configuration=FakeConfiguration(),
        membership=membership or FakeMembership([make_member("host-1", "zona-a")]),
        usage=read_usage,
        dumps=DumpCollector(0.2),
        metrics=Metrics(),
        is_leaving=lambda: is_leaving,
    )


@dataclass
class RunningFrontend:
    """A frontend that serves on its own port."""

    address: str
    shutdown: trio.Event
    ended: trio.Event


@asynccontextmanager
async def run_frontend(
    requests: FakeRequests, memory: MemoryBudget | None = None, **frontend: Any
) -> AsyncIterator[RunningFrontend]:
    settings = make_settings(**frontend)
    membership = FakeMembership([make_member("host-1", "zona-a")])
    app = make_app(requests, settings, membership)
    send, receive = trio.open_memory_channel[str](1)
    shutdown, ended = trio.Event(), trio.Event()

    async def run() -> None:
        await serve(app, settings.frontend, shutdown, send.send_nowait, memory=memory)
        ended.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        address = await receive.receive()
        membership.set_address(address)
        yield RunningFrontend(address, shutdown, ended)
        shutdown.set()
        with trio.move_on_after(5):
            await ended.wait()
        nursery.cancel_scope.cancel()


def authorize(token: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {token}"}


def make_body(**changes: Any) -> dict[str, Any]:
    body = {"key": make_key(), "operation": "draft_finding", "input": "Dossier"}
    return {**body, **changes}


async def wait_until(condition: Callable[[], bool], timeout: float = 5) -> None:
    for _ in range(round(timeout / 0.01)):
        if condition():
            return
        await trio.sleep(0.01)
    raise AssertionError("the condition was not met in time")
