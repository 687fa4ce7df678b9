"""HTTP client of the platform's key-value service."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from urllib.parse import quote

import msgspec

from dewridge.codes import ResultCode
from dewridge.decoding import decode_json
from dewridge.metrics.registry import Metrics
from dewridge.providers.channel import Answer, CallFailure, Channel, open_channel
from dewridge.providers.listings import decode_listing
from dewridge.providers.model import Entry, KeyValue
from dewridge.sentinels import Failure

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the service stores."""
STATUS_OK = 200
STATUS_NO_CHANGE = 204
STATUS_CONFLICT = 409


class _Swap(msgspec.Struct):
    value: bytes
    expected_revision: int


class HttpKeyValue:
    """Implements `dewridge.providers.model.KeyValue`."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    async def get(self, key: str) -> Entry | Failure:
        """Read a key."""
        return self._decode_read(
            "get", await self._channel.call("get", "GET", make_key_path(key))
        )

    async def list_entries(self, prefix: str) -> list[Entry] | Failure:
        """Read all keys with a prefix, without entries that cannot be decoded."""
        answer = await self._channel.call(
            "list", "GET", "/v1/keys", params={"prefix": prefix}
        )
        failure = find_read_failure(answer)
        if failure is not None:
            return failure
        assert isinstance(answer, Answer)
        entries = decode_listing(answer.content, "entries", Entry, self._channel)
        return self._fail_malformed("list") if isinstance(entries, Failure) else entries

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int
    ) -> Entry | Failure:
        """Write a key if its revision is still the expected one."""
        if len(value) > MAX_VALUE_BYTES:
            reason = f"a value of {len(value)} bytes is over the service's limit"
            return Failure(ResultCode.KEY_VALUE_DOWN, reason)
        body = msgspec.json.encode(_Swap(value, expected_revision))
        answer = await self._channel.call(
            "swap", "PUT", make_key_path(key), content=body
        )
        return self._decode_write("swap", answer)

    async def delete(self, key: str, expected_revision: int) -> Entry | Failure:
        """Delete a key if its revision is the expected one."""
        params = {"expected_revision": expected_revision}
        answer = await self._channel.call(
            "delete", "DELETE", make_key_path(key), params=params
        )
        return self._decode_write("delete", answer)

    async def watch(
        self, key: str, after_revision: int, timeout: float
    ) -> Entry | Failure:
        """Wait until the key's revision differs from `after_revision`."""
        params = {"after": after_revision, "timeout": timeout}
        path = f"/v1/watches/{quote(key)}"
        answer = await self._channel.call(
            "watch", "GET", path, params=params, wait=timeout
        )
        if isinstance(answer, Answer) and answer.status == STATUS_NO_CHANGE:
            return Failure(ResultCode.KEY_VALUE_TIMEOUT, "no change")
        return self._decode_read("watch", answer)

    def _decode_read(self, kind: str, answer: Answer | CallFailure) -> Entry | Failure:
        failure = find_read_failure(answer)
        if failure is not None:
            return failure
        assert isinstance(answer, Answer)
        entry = decode_entry(answer)
        return self._fail_malformed(kind) if entry is None else entry

    def _decode_write(self, kind: str, answer: Answer | CallFailure) -> Entry | Failure:
        # A write that took effect but whose answer was lost looks like a failed one.
        # Reporting it as failed could run a claimed call twice or give an operator a
        # wrong result. Only a write that was certainly not sent counts as not written;
        # any other outcome is unknown, and the caller has to read the key again.
        if answer is CallFailure.NOT_SENT:
            return Failure(ResultCode.KEY_VALUE_DOWN, "could not connect")
        if isinstance(answer, CallFailure):
            return Failure(ResultCode.KEY_VALUE_UNKNOWN, "the answer was lost")
        if answer.status == STATUS_CONFLICT:
            return Failure(ResultCode.KEY_VALUE_CONFLICT, "the revision has moved on")
        if answer.status != STATUS_OK:
            reason = f"status {answer.status}"
            return Failure(ResultCode.KEY_VALUE_UNKNOWN, reason)
        entry = decode_entry(answer)
        if entry is None:
            self._channel.record_malformed(kind)
            return Failure(ResultCode.KEY_VALUE_UNKNOWN, "the answer is malformed")
        return entry

    def _fail_malformed(self, kind: str) -> Failure:
        self._channel.record_malformed(kind)
        return Failure(ResultCode.PLATFORM_MALFORMED, f"answer to {kind} is malformed")


def make_key_path(key: str) -> str:
    """Return the URL path of a key."""
    return f"/v1/keys/{quote(key)}"


def decode_entry(answer: Answer) -> Entry | None:
    """Decode the entry in an answer; None if it is malformed."""
    entry = decode_json(answer.content, Entry)
    return None if isinstance(entry, Failure) else entry


def find_read_failure(answer: Answer | CallFailure) -> Failure | None:
    """Return the failure of a read that got no answer or an error; None otherwise."""
    if isinstance(answer, CallFailure):
        reason = f"the call was {answer.value.replace('_', ' ')}"
        return Failure(ResultCode.KEY_VALUE_DOWN, reason)
    if answer.status != STATUS_OK:
        return Failure(ResultCode.KEY_VALUE_DOWN, f"status {answer.status}")
    return None


@asynccontextmanager
async def make_key_value(
    url: str, *, timeout: float, metrics: Metrics
) -> AsyncIterator[KeyValue]:
    """Open a client of the key-value service at a URL."""
    async with open_channel("key_value", url, timeout, metrics) as channel:
        yield HttpKeyValue(channel)
