"""Client for operators: reads and changes profiles and services."""

from collections.abc import Sequence
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any, Self

import httpx
import msgspec

from dewridge.client.frames import decode_problem
from dewridge.codes import ResultCode
from dewridge.sentinels import Failure

CONNECT_TIMEOUT = 1.0
CALL_TIMEOUT = 15.0
"""Seconds for one call. A change waits for the key-value service, which can take
seconds to respond."""
MUST_BE_NEW = 0
"""Expected revision of an object that must not exist yet."""


class OperatorClient:
    """Sends each call to the given entry hosts in order until one responds."""

    def __init__(self, addresses: Sequence[str], token: str) -> None:
        self._addresses = list(addresses)
        self._stack = AsyncExitStack()
        self._http = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {token}"},
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
            response = await self._http.get(f"http://{address}{path}")
        except httpx.HTTPError as error:
            return _describe_unreachable(address, error)
        return _decode(response)

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
                response = await self._http.request(
                    method,
                    f"http://{address}{path}",
                    content=msgspec.json.encode(body) if body is not None else None,
                    headers=_make_precondition(expected),
                )
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                failure = _describe_unreachable(address, error)
            except httpx.HTTPError as error:
                reason = f"{address} did not answer ({type(error).__name__})"
                return Failure(ResultCode.CHANGE_UNKNOWN, reason)
            else:
                return _decode_change(response)
        return failure


def _make_precondition(expected: int) -> dict[str, str]:
    if expected == MUST_BE_NEW:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected}"'}


def _decode_change(response: httpx.Response) -> Any | Failure:
    """Decode the answer to a change; a failure within a host says nothing about it."""
    result = _decode(response)
    is_internal = isinstance(result, Failure) and result.code is ResultCode.INTERNAL
    if is_internal and not response.is_client_error:
        return Failure(ResultCode.CHANGE_UNKNOWN, result.reason)
    return result


def _decode(response: httpx.Response) -> Any | Failure:
    if not response.is_success:
        header = response.headers.get("Retry-After")
        return decode_problem(response.content, response.status_code, header).failure
    try:
        return msgspec.json.decode(response.content)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(ResultCode.INTERNAL, f"the answer is malformed: {error}")


def _describe_unreachable(address: str, error: Exception) -> Failure:
    reason = f"{address} ({type(error).__name__})"
    return Failure(ResultCode.PEER_UNREACHABLE, reason)


def _is_unreachable(result: Any) -> bool:
    return isinstance(result, Failure) and result.code is ResultCode.PEER_UNREACHABLE
