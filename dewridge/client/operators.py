"""Client for operators: reads and changes profiles and services."""

from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Self

import httpx
import msgspec
import trio

from dewridge.bodies import IDENTITY_HEADERS, read_bounded
from dewridge.client.frames import decode_problem
from dewridge.codes import ResultCode
from dewridge.decoding import decode_json
from dewridge.sentinels import Failure

CONNECT_TIMEOUT = 1.0
CALL_TIMEOUT = 15.0
"""Seconds for one call. A change waits for the key-value service, which can take
seconds to respond."""
MAX_CALL_SECONDS = 60.0
"""Seconds after which a call is given up although bytes arrive. The timeout above
counts from the last byte, and a host in trouble may send bytes without end."""
MAX_ANSWER_BYTES = 32_000_000
"""Bytes of an answer, which is held in memory: thousands of objects."""
MUST_BE_NEW = 0
"""Expected revision of an object that must not exist yet."""


class OperatorClient:
    """Sends each call to the given entry hosts in order until one responds."""

    def __init__(self, addresses: Sequence[str], token: str) -> None:
        self._addresses = list(addresses)
        self._stack = AsyncExitStack()
        self._http = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {token}", **IDENTITY_HEADERS},
            timeout=httpx.Timeout(CALL_TIMEOUT, connect=CONNECT_TIMEOUT),
            trust_env=False,
            verify=False,  # hosts are reached by IP number, without TLS
        )

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

    async def read(self, path: str) -> Any | Failure:
        """Read a document from the first host that responds."""
        result: Any = Failure(ResultCode.PEER_UNREACHABLE, "no address was given")
        for address in self._addresses:
            result = await self.read_at(address, path)
            if not _is_unreachable(result):
                break
        return result

    async def read_at(self, address: str, path: str) -> Any | Failure:
        """Read a document from one host."""
        try:
            return _decode(await self._send("GET", f"http://{address}{path}"))
        except (httpx.HTTPError, _EndlessAnswerError) as error:
            return _describe_unreachable(address, error)

    async def change(
        self, method: str, path: str, expected: int, body: Any = None
    ) -> Any | Failure:
        """Change an object at the expected revision, at the first reachable host.

        A host that was reached but did not respond may have applied the change,
        so no other host is tried: it would report a revision conflict and hide
        that the change took effect.
        """
        failure = Failure(ResultCode.PEER_UNREACHABLE, "no address was given")
        for address in self._addresses:
            try:
                answer = await self._send(
                    method,
                    f"http://{address}{path}",
                    content=msgspec.json.encode(body) if body is not None else None,
                    headers=_make_precondition(expected),
                )
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                failure = _describe_unreachable(address, error)
            except (httpx.HTTPError, _EndlessAnswerError) as error:
                reason = f"{address} did not answer ({type(error).__name__})"
                return Failure(ResultCode.CHANGE_UNKNOWN, reason)
            else:
                return _decode_change(answer)
        return failure

    async def _send(
        self,
        method: str,
        url: str,
        *,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> "_Answer":
        """Make one call.

        Raises:
            httpx.HTTPError: there was no answer.
            _EndlessAnswerError: the answer did not end.
        """
        with trio.move_on_after(MAX_CALL_SECONDS):
            async with self._http.stream(
                method, url, content=content, headers=headers
            ) as response:
                body = await read_bounded(response.aiter_raw(), MAX_ANSWER_BYTES)
            if body is not None:
                return _Answer(response, body)
        raise _EndlessAnswerError


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer that was read to its end."""

    head: httpx.Response
    body: bytes


class _EndlessAnswerError(Exception):
    """An answer is too long, or took too much time."""


def _make_precondition(expected: int) -> dict[str, str]:
    if expected == MUST_BE_NEW:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected}"'}


def _decode_change(answer: _Answer) -> Any | Failure:
    """Decode the answer to a change; a failure within a host says nothing about it."""
    result = _decode(answer)
    is_internal = isinstance(result, Failure) and result.code is ResultCode.INTERNAL
    if is_internal and not answer.head.is_client_error:
        return Failure(ResultCode.CHANGE_UNKNOWN, result.reason)
    return result


def _decode(answer: _Answer) -> Any | Failure:
    if not answer.head.is_success:
        header = answer.head.headers.get("Retry-After")
        return decode_problem(answer.body, answer.head.status_code, header).failure
    result = decode_json(answer.body, object, ResultCode.INTERNAL)
    if isinstance(result, Failure):
        return Failure(result.code, f"the answer is malformed: {result.reason}")
    return result


def _describe_unreachable(address: str, error: Exception) -> Failure:
    reason = f"{address} ({type(error).__name__})"
    return Failure(ResultCode.PEER_UNREACHABLE, reason)


def _is_unreachable(result: Any) -> bool:
    return isinstance(result, Failure) and result.code is ResultCode.PEER_UNREACHABLE
