"""Client that completes calls although entry hosts fail."""

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

from dewridge.bodies import IDENTITY_HEADERS, read_bounded
from dewridge.client.addresses import AddressBook
from dewridge.client.frames import (
    AcceptedEvent,
    FrameError,
    ListedHosts,
    StreamItem,
    decode_entry_list,
    decode_problem,
    decode_result,
    read_events,
)
from dewridge.client.model import Answer, Call, ClientLimits, OnEvent
from dewridge.client.progress import Progress, Step
from dewridge.codes import ResultCode
from dewridge.decoding import decode_json
from dewridge.ids import Generation, RequestKey
from dewridge.requests.model import AnswerSummary, MovedEvent, TokensEvent
from dewridge.sentinels import Failure

MAX_DOCUMENT_BYTES = 64_000_000
"""Bytes of a document, such as the answer of a plain service in a status document."""
MAX_CONNECTIONS = 1000
"""Connections of one client; each followed answer occupies one."""
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
"""Errors that guarantee that the host has not received the request."""


@dataclass
class _CallState:
    """State of one call in progress.

    Attributes:
        call: None to follow a request that was submitted before.
        deadline: on trio's clock.
        hosts: the address of each connection, in order.
        failures: consecutive failures, from which the backoff follows.
        host_index: position in the address list of the next host.
    """

    call: Call | None
    key: RequestKey
    deadline: float
    on_event: OnEvent | None
    progress: Progress
    hosts: list[str] = field(default_factory=list)
    failures: int = 0
    host_index: int = 0


class Client:
    """Sends calls to a deployment and returns complete answers.

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
            headers={"Authorization": f"Bearer {token}", **IDENTITY_HEADERS},
            # Reads are bounded by separate timeouts.
            timeout=httpx.Timeout(None, connect=self._limits.connect_timeout),
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            trust_env=False,
            verify=False,  # hosts are reached by IP number, without TLS
        )
        self._addresses = AddressBook(addresses, self._fetch_entry_list)

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
        self._addresses.prefer(addresses)

    async def list_entry_hosts(self) -> ListedHosts | Failure:
        """Return the entry list of the first host that responds."""
        return await self._try_hosts(self._fetch_entry_list)

    async def request(self, call: Call, on_event: OnEvent | None = None) -> Answer:
        """Execute a call and return its complete answer or the reason for its failure.

        Retries under the same key until the deadline or a final error. Retries
        do not execute the call twice.
        """
        key = RequestKey(call.key.lower() or str(uuid7()))
        progress = Progress(self._limits.max_submissions)
        expires_at = trio.current_time() + call.deadline
        state = _CallState(call, key, expires_at, on_event, progress)
        return await self._run_to_end(state)

    async def follow(
        self, key: str, deadline: float, on_event: OnEvent | None = None
    ) -> Answer:
        """Return the answer of a call that was submitted before."""
        expires_at = trio.current_time() + deadline
        state = _CallState(
            None, RequestKey(key.lower()), expires_at, on_event, Progress(1)
        )
        state.progress.submissions = 1
        state.progress.accepted = True
        return await self._run_to_end(state)

    async def _run_to_end(self, state: _CallState) -> Answer:
        with trio.move_on_at(state.deadline + self._limits.grace):
            while await self._make_attempt(state):
                pass
        return self._make_answer(state)

    async def look_up(self, key: str) -> Any | Failure:
        """Return the status document of a request."""
        return await self._try_hosts(lambda host: self._call_request("GET", host, key))

    async def cancel(self, key: str) -> Any | Failure:
        """Cancel a request and return its status document."""
        return await self._try_hosts(
            lambda host: self._call_request("DELETE", host, key)
        )

    async def _make_attempt(self, state: _CallState) -> bool:
        progress = state.progress
        max_submissions = self._limits.max_submissions
        if not progress.accepted and 0 < max_submissions <= progress.submissions:
            return False
        address = await self._choose_address(state)
        if address is None:
            state.failures += 1
            return await self._pause(state)
        try:
            step = await self._exchange(state, address)
        except NOT_SENT_ERRORS:
            state.progress.undo_submission()
            step = self._handle_host_failure(state, address)
        except (httpx.HTTPError, FrameError, trio.TooSlowError):
            step = self._handle_host_failure(state, address)
        if step is Step.FINISH or (state.call is None and not state.progress.accepted):
            return False
        return await self._pause(state)

    def _handle_host_failure(self, state: _CallState, address: str) -> Step:
        self._addresses.mark_failed(address)
        state.failures += 1
        return Step.RECONNECT

    async def _choose_address(self, state: _CallState) -> str | None:
        addresses = await self._addresses.list_addresses()
        if not addresses:
            return None
        address = addresses[state.host_index % len(addresses)]
        state.hosts.append(address)
        return address

    async def _exchange(self, state: _CallState, address: str) -> Step:
        if state.call is None or state.progress.accepted:
            request = self._build_follow(state, address)
        else:
            request = self._build_submit(state, state.call, address)
        timeout = self._compute_timeout(state, self._limits.accept_timeout)
        with trio.fail_after(timeout):
            response = await self._http.send(request, stream=True)
        async with AsyncExitStack() as stack:
            stack.push_async_callback(response.aclose)
            if response.status_code != httpx.codes.OK:
                return await self._read_rejection(state, response)
            return await self._read_events(state, response)

    def _compute_timeout(self, state: _CallState, limit: float) -> float:
        # A hanging host must not use up the deadline of a short call. Switching
        # hosts too early costs little: the key attaches to the existing request.
        left = state.deadline - trio.current_time()
        share = left * self._limits.host_time_share
        return min(limit, max(self._limits.min_host_timeout, share))

    def _build_submit(
        self, state: _CallState, call: Call, address: str
    ) -> httpx.Request:
        number = state.progress.begin_submission()
        body = {
            "key": state.key,
            "submission": number,
            "operation": call.operation,
            "input": call.input,
            "deadline_seconds": max(0.001, state.deadline - trio.current_time()),
            "max_tokens": call.max_tokens,
            "stream": True,
        }
        return self._http.build_request(
            "POST",
            f"http://{address}/v1/services/{call.service}/requests",
            content=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
        )

    def _build_follow(self, state: _CallState, address: str) -> httpx.Request:
        progress = state.progress
        query = {
            "generation": str(progress.generation),
            "offset": str(len(progress.tokens)),
            "stream": "true",
        }
        url = f"http://{address}/v1/requests/{state.key}"
        return self._http.build_request("GET", url, params=query)

    async def _read_rejection(
        self, state: _CallState, response: httpx.Response
    ) -> Step:
        content = await read_bounded(response.aiter_raw(), MAX_DOCUMENT_BYTES) or b""
        header = response.headers.get("Retry-After")
        rejection = decode_problem(content, response.status_code, header)
        state.failures += 1
        state.host_index += 1
        return state.progress.handle_rejection(rejection.failure, rejection.is_not_run)

    async def _read_events(self, state: _CallState, response: httpx.Response) -> Step:
        async with aclosing(read_events(response.aiter_raw())) as items:
            while True:
                # Hosts send heartbeats while there are no other events. A network
                # hop that has lost the connection raises no error; only missing
                # heartbeats reveal it.
                with trio.fail_after(
                    self._compute_timeout(state, self._limits.silence_timeout)
                ):
                    item = await anext(items, None)
                step = self._handle_item(state, item)
                if step is not Step.CONTINUE:
                    return step

    def _handle_item(self, state: _CallState, item: StreamItem | None) -> Step:
        progress = state.progress
        if item is None:
            state.failures += 1
            return Step.RECONNECT
        if isinstance(item, AcceptedEvent):
            progress.record_accepted(item.generation)
            state.failures = 0
            return Step.CONTINUE
        if isinstance(item, MovedEvent):
            self._addresses.prefer(item.addresses)
            state.failures += 1
            state.host_index = 0
        before = progress.generation, len(progress.tokens)
        step = progress.handle_event(item)
        if isinstance(item, TokensEvent):
            state.failures = 0
            _report_tokens(state, *before)
        elif state.on_event is not None:
            state.on_event(item)
        return step

    async def _pause(self, state: _CallState) -> bool:
        """Wait before the next attempt; False if the deadline comes first."""
        limits = self._limits
        backoff = 0.0
        if state.failures > 1:  # after one failure the next host is tried immediately
            max_delay = limits.initial_backoff * 2.0 ** min(state.failures - 2, 10)
            backoff = self._random.uniform(0.5, 1) * min(limits.max_backoff, max_delay)
        # Jitter spreads callers that were rejected at the same time with the same
        # delay; retrying together, they would all be rejected again.
        requested_delay = state.progress.retry_after * self._random.uniform(1, 1.25)
        state.progress.retry_after = 0.0
        pause = max(backoff, requested_delay)
        if trio.current_time() + pause >= state.deadline:
            has_final_result = state.progress.ended is not None
            if has_final_result or not state.progress.accepted:
                return False
            return await self._wait_for_outcome(state)
        await trio.sleep(pause)
        return True

    async def _wait_for_outcome(self, state: _CallState) -> bool:
        # An accepted request gets its final result at about its deadline, so it is
        # queried until the grace period has passed.
        await trio.sleep(min(self._limits.max_backoff, self._limits.grace / 4))
        return True

    def _make_answer(self, state: _CallState) -> Answer:
        progress = state.progress
        failure, ended = progress.last_failure, progress.ended
        if failure is None:
            reason = "no entry host could be reached"
            failure = Failure(ResultCode.PEER_UNREACHABLE, reason)
        if ended is None and (progress.is_outcome_uncertain or progress.accepted):
            reason = "no final answer came"
            if failure.reason:
                reason = f"{reason}; last: {failure.reason}"
            failure = Failure(ResultCode.OUTCOME_UNKNOWN, reason)
        is_complete = ended is not None and ended.code is ResultCode.OK
        return Answer(
            key=state.key,
            code=failure.code,
            reason=failure.reason,
            retry_after=failure.retry_after,
            text="".join(progress.tokens),
            tokens=tuple(progress.tokens),
            result=decode_result(ended.body) if ended and is_complete else None,
            summary=ended.summary if ended else AnswerSummary(),
            submissions=progress.submissions,
            connections=len(state.hosts),
            restarts=progress.restarts,
            hosts=tuple(dict.fromkeys(state.hosts)),
        )

    async def _try_hosts(
        self, call_host: Callable[[str], Awaitable[Any | Failure]]
    ) -> Any | Failure:
        result: Any = Failure(ResultCode.PEER_UNREACHABLE, "no address is known")
        for address in await self._addresses.list_addresses():
            result = await call_host(address)
            if not _is_unreachable(result):
                return result
            self._addresses.mark_failed(address)
        return result

    async def _call_request(self, method: str, address: str, key: str) -> Any | Failure:
        path = f"/v1/requests/{key}"
        content = await self._fetch(method, address, path)
        if isinstance(content, Failure):
            return content
        return _name_address(address, decode_json(content, object, ResultCode.INTERNAL))

    async def _fetch_entry_list(self, address: str) -> ListedHosts | Failure:
        content = await self._fetch("GET", address, "/v1/entry-hosts")
        if isinstance(content, Failure):
            return content
        entry_list = _name_address(address, decode_entry_list(content))
        assert isinstance(entry_list, ListedHosts | Failure)
        return entry_list

    async def _fetch(self, method: str, address: str, path: str) -> bytes | Failure:
        """Return the body of a successful answer."""
        content: bytes | None = None
        try:
            async with self._http.stream(
                method, f"http://{address}{path}", timeout=self._limits.list_timeout
            ) as response:
                with trio.move_on_after(self._limits.list_timeout):
                    chunks = response.aiter_raw()
                    content = await read_bounded(chunks, MAX_DOCUMENT_BYTES)
        except httpx.HTTPError as error:
            reason = f"{address}: {type(error).__name__}"
            return Failure(ResultCode.PEER_UNREACHABLE, reason)
        if content is None:
            reason = f"{address}: the answer has no end"
            return Failure(ResultCode.PEER_UNREACHABLE, reason)
        if not response.is_success:
            header = response.headers.get("Retry-After")
            status = response.status_code
            return decode_problem(content, status, header).failure
        return content


def _name_address(address: str, result: Any | Failure) -> Any | Failure:
    """Return a result; a failure to decode it names the host that sent it."""
    if isinstance(result, Failure):
        return Failure(result.code, f"{address}: {result.reason}")
    return result


def _is_unreachable(result: Any) -> bool:
    codes = (ResultCode.PEER_UNREACHABLE, ResultCode.INTERNAL)
    return isinstance(result, Failure) and result.code in codes


def _report_tokens(state: _CallState, generation: int, known: int) -> None:
    """Pass the tokens received after the first `known` ones to the callback."""
    progress = state.progress
    if progress.generation != generation:
        known = 0
    tokens = tuple(progress.tokens[known:])
    if state.on_event is not None and tokens:
        state.on_event(TokensEvent(Generation(progress.generation), known, tokens))
