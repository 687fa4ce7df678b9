"""A client that survives the loss of any entry host."""

import random
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, aclosing
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self

import httpx
import msgspec
import trio
from uuid6 import uuid7

from dewridge.client.addresses import AddressBook
from dewridge.client.frames import (
    AcceptedEvent,
    FrameError,
    ListedHosts,
    StreamItem,
    decode_problem,
    decode_result,
    read_events,
)
from dewridge.client.model import Answer, Call, ClientLimits, OnEvent
from dewridge.client.progress import Progress, Step
from dewridge.codes import ResultCode
from dewridge.ids import Generation, RequestKey
from dewridge.requests.model import AnswerSummary, MovedEvent, TokensEvent
from dewridge.sentinels import Failure

MAX_CONNECTIONS = 1000
"""Connections of one client; each answer that is followed holds one."""
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
"""Errors after which the host has not seen the request."""


@dataclass
class _Run:
    """One call under way."""

    call: Call | None
    key: RequestKey
    deadline: float
    on_event: OnEvent | None
    progress: Progress
    hosts: list[str] = field(default_factory=list)
    failures: int = 0
    turn: int = 0


class Client:
    """Sends calls to a deployment and brings back whole answers.

    Use it as an async context manager; it owns its connections.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        token: str,
        *,
        limits: ClientLimits | None = None,
        seed: int | None = None,
    ) -> None:
        self._limits = limits or ClientLimits()
        self._random = random.Random(seed)
        self._stack = AsyncExitStack()
        self._http = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {token}"},
            # Waits for answers have deadlines of their own.
            timeout=httpx.Timeout(None, connect=self._limits.connect_timeout),
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            trust_env=False,
            verify=False,  # hosts are reached by IP number, without TLS
        )
        self._book = AddressBook(addresses, self._fetch_list)

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self._http)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        await self._stack.__aexit__(exc_type, exc_value, tb)

    def prefer(self, addresses: Sequence[str]) -> None:
        """Use these addresses first, until they fail."""
        self._book.prefer(addresses)

    async def list_entry_hosts(self) -> ListedHosts | Failure:
        """Return the entry list, from the first host that answers."""
        return await self._try_hosts(self._fetch_list)

    async def request(self, call: Call, on_event: OnEvent | None = None) -> Answer:
        """Have a call done and return its whole answer, or why there is none.

        It sends the call again, under the same key, as long as that may help
        and the deadline allows; the call does not run twice by it.
        """
        key = RequestKey(call.key.lower() or str(uuid7()))
        progress = Progress(self._limits.max_submissions)
        ends = trio.current_time() + call.deadline
        run = _Run(call, key, ends, on_event, progress)
        return await self._finish(run)

    async def follow(
        self, key: str, deadline: float, on_event: OnEvent | None = None
    ) -> Answer:
        """Bring back the answer of a call that was sent before."""
        ends = trio.current_time() + deadline
        run = _Run(None, RequestKey(key.lower()), ends, on_event, Progress(1))
        run.progress.submissions = 1
        run.progress.accepted = True
        return await self._finish(run)

    async def _finish(self, run: _Run) -> Answer:
        with trio.move_on_at(run.deadline + self._limits.grace):
            while await self._take_turn(run):
                pass
        return self._make_answer(run)

    async def look_up(self, key: str) -> Any | Failure:
        """Return how far a request has come, as the host's document."""
        return await self._try_hosts(lambda host: self._ask("GET", host, key))

    async def cancel(self, key: str) -> Any | Failure:
        """End a request as soon as may be; the host's document says how."""
        return await self._try_hosts(lambda host: self._ask("DELETE", host, key))

    async def _take_turn(self, run: _Run) -> bool:
        progress = run.progress
        bound = self._limits.max_submissions
        if not progress.accepted and 0 < bound <= progress.submissions:
            return False
        address = await self._choose_address(run)
        if address is None:
            run.failures += 1
            return await self._pause(run)
        try:
            step = await self._exchange(run, address)
        except NOT_SENT_ERRORS:
            run.progress.undo_submission()
            step = self._note_broken(run, address)
        except (httpx.HTTPError, FrameError, trio.TooSlowError):
            step = self._note_broken(run, address)
        if step is Step.FINISH or (run.call is None and not run.progress.accepted):
            return False
        return await self._pause(run)

    def _note_broken(self, run: _Run, address: str) -> Step:
        self._book.mark_failed(address)
        run.failures += 1
        return Step.RECONNECT

    async def _choose_address(self, run: _Run) -> str | None:
        addresses = await self._book.list_addresses()
        if not addresses:
            return None
        address = addresses[run.turn % len(addresses)]
        run.hosts.append(address)
        return address

    async def _exchange(self, run: _Run, address: str) -> Step:
        if run.call is None or run.progress.accepted:
            request = self._build_follow(run, address)
        else:
            request = self._build_submit(run, run.call, address)
        patience = self._find_patience(run, self._limits.accept_timeout)
        with trio.fail_after(patience):
            response = await self._http.send(request, stream=True)
        async with AsyncExitStack() as stack:
            stack.push_async_callback(response.aclose)
            if response.status_code != httpx.codes.OK:
                return await self._read_refusal(run, response)
            return await self._read_stream(run, response)

    def _find_patience(self, run: _Run, limit: float) -> float:
        # A host that hangs must not use up the deadline of a short call. Going
        # to another host too early costs little: the key joins what runs.
        left = run.deadline - trio.current_time()
        share = left * self._limits.host_time_share
        return min(limit, max(self._limits.min_host_timeout, share))

    def _build_submit(self, run: _Run, call: Call, address: str) -> httpx.Request:
        number = run.progress.begin_submission()
        body = {
            "key": run.key,
            "submission": number,
            "operation": call.operation,
            "input": call.input,
            "deadline_seconds": max(0.001, run.deadline - trio.current_time()),
            "max_tokens": call.max_tokens,
            "stream": True,
        }
        return self._http.build_request(
            "POST",
            f"http://{address}/v1/services/{call.service}/requests",
            content=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
        )

    def _build_follow(self, run: _Run, address: str) -> httpx.Request:
        progress = run.progress
        query = {
            "generation": str(progress.generation),
            "offset": str(len(progress.tokens)),
            "stream": "true",
        }
        url = f"http://{address}/v1/requests/{run.key}"
        return self._http.build_request("GET", url, params=query)

    async def _read_refusal(self, run: _Run, response: httpx.Response) -> Step:
        content = await response.aread()
        header = response.headers.get("Retry-After")
        refusal = decode_problem(content, response.status_code, header)
        run.failures += 1
        run.turn += 1
        return run.progress.handle_rejection(refusal.failure, refusal.is_not_run)

    async def _read_stream(self, run: _Run, response: httpx.Response) -> Step:
        async with aclosing(read_events(response.aiter_lines())) as items:
            while True:
                # Heartbeats come while there is nothing new. A hop that has lost
                # the connection raises no error; only their absence shows it.
                with trio.fail_after(
                    self._find_patience(run, self._limits.silence_timeout)
                ):
                    item = await anext(items, None)
                step = self._take_item(run, item)
                if step is not Step.CONTINUE:
                    return step

    def _take_item(self, run: _Run, item: StreamItem | None) -> Step:
        progress = run.progress
        if item is None:
            run.failures += 1
            return Step.RECONNECT
        if isinstance(item, AcceptedEvent):
            progress.record_accepted(item.generation)
            run.failures = 0
            return Step.CONTINUE
        if isinstance(item, MovedEvent):
            self._book.prefer(item.addresses)
            run.failures += 1
            run.turn = 0
        before = progress.generation, len(progress.tokens)
        step = progress.handle_event(item)
        if isinstance(item, TokensEvent):
            run.failures = 0
            _report_tokens(run, *before)
        elif run.on_event is not None:
            run.on_event(item)
        return step

    async def _pause(self, run: _Run) -> bool:
        """Wait before the next turn; False if the deadline comes first."""
        limits = self._limits
        backoff = 0.0
        if run.failures > 1:  # the first failure is met by another host at once
            longest = limits.initial_backoff * 2.0 ** min(run.failures - 2, 10)
            backoff = self._random.uniform(0.5, 1) * min(limits.max_backoff, longest)
        # Callers that were refused together are told the same time; coming back
        # together they would be refused together again.
        wanted = run.progress.retry_after * self._random.uniform(1, 1.25)
        run.progress.retry_after = 0.0
        pause = max(backoff, wanted)
        if trio.current_time() + pause >= run.deadline:
            has_final_word = run.progress.ended is not None
            if has_final_word or not run.progress.accepted:
                return False
            return await self._wait_out(run)
        await trio.sleep(pause)
        return True

    async def _wait_out(self, run: _Run) -> bool:
        # An accepted request gets its final word about its deadline; ask for it
        # until the grace has passed.
        await trio.sleep(min(self._limits.max_backoff, self._limits.grace / 4))
        return True

    def _make_answer(self, run: _Run) -> Answer:
        progress = run.progress
        failure, ended = progress.last_failure, progress.ended
        if failure is None:
            reason = "no entry host could be reached"
            failure = Failure(ResultCode.PEER_UNREACHABLE, reason)
        if ended is None and (progress.is_outcome_uncertain or progress.accepted):
            reason = "no final answer came before the deadline"
            failure = Failure(ResultCode.OUTCOME_UNKNOWN, reason)
        is_whole = ended is not None and ended.code is ResultCode.OK
        return Answer(
            key=run.key,
            code=failure.code,
            reason=failure.reason,
            retry_after=failure.retry_after,
            text="".join(progress.tokens),
            tokens=tuple(progress.tokens),
            result=decode_result(ended.body) if ended and is_whole else None,
            summary=ended.summary if ended else AnswerSummary(),
            submissions=progress.submissions,
            connections=len(run.hosts),
            restarts=progress.restarts,
            hosts=tuple(dict.fromkeys(run.hosts)),
        )

    async def _try_hosts(
        self, ask: Callable[[str], Awaitable[Any | Failure]]
    ) -> Any | Failure:
        result: Any = Failure(ResultCode.PEER_UNREACHABLE, "no address is known")
        for address in await self._book.list_addresses():
            result = await ask(address)
            if not _is_unreachable(result):
                return result
            self._book.mark_failed(address)
        return result

    async def _ask(self, method: str, address: str, key: str) -> Any | Failure:
        return await self._fetch(method, address, f"/v1/requests/{key}", Any)

    async def _fetch_list(self, address: str) -> ListedHosts | Failure:
        found = await self._fetch("GET", address, "/v1/entry-hosts", ListedHosts)
        assert isinstance(found, ListedHosts | Failure)
        return found

    async def _fetch(
        self, method: str, address: str, path: str, kind: Any
    ) -> Any | Failure:
        try:
            response = await self._http.request(
                method, f"http://{address}{path}", timeout=self._limits.list_timeout
            )
        except httpx.HTTPError as error:
            reason = f"{address}: {type(error).__name__}"
            return Failure(ResultCode.PEER_UNREACHABLE, reason)
        if not response.is_success:
            header = response.headers.get("Retry-After")
            content, status = response.content, response.status_code
            return decode_problem(content, status, header).failure
        try:
            return msgspec.json.decode(response.content, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Failure(ResultCode.INTERNAL, f"{address}: {error}")


def _is_unreachable(result: Any) -> bool:
    codes = (ResultCode.PEER_UNREACHABLE, ResultCode.INTERNAL)
    return isinstance(result, Failure) and result.code in codes


def _report_tokens(run: _Run, generation: int, known: int) -> None:
    """Tell the caller of the tokens that came since it knew `known` of them."""
    progress = run.progress
    if progress.generation != generation:
        known = 0
    tokens = tuple(progress.tokens[known:])
    if run.on_event is not None and tokens:
        run.on_event(TokensEvent(Generation(progress.generation), known, tokens))
