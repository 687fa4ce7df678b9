"""Registers this host's address and finds addresses to join the membership."""

import msgspec
import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.decoding import MAX_NAME, Name, decode_json, is_address
from dewridge.membership.model import Member
from dewridge.providers.model import Entry, KeyValue
from dewridge.sentinels import Failure

REGISTRATION_RETRY_DELAY = 2.0
"""Seconds between attempts to write this host's address to the key-value service.
Only starting hosts read it, so it may be delayed by an outage."""

REMOVAL_TIMEOUT = 0.5
"""Maximum seconds that a departing host spends on removing its address. An address
left in place costs a starting host one refused connection."""


class Address(msgspec.Struct, frozen=True):
    """An entry host's peer address, as stored in the key-value service."""

    host: Name
    address: Name


class Registration:
    """Registers this host's address in the key-value service, for starting hosts.

    After a day of host replacements, it may be that no seed in the settings still
    exists; the key-value service lists hosts that do.
    """

    def __init__(
        self,
        key_value: KeyValue,
        prefix: str,
        seeds: tuple[str, ...],
        local_member: Member,
    ) -> None:
        self._key_value = key_value
        self._prefix = f"{prefix}hosts/"
        self._seeds = seeds
        self._local_member = local_member
        self._has_logged = False

    @property
    def _key(self) -> str:
        return f"{self._prefix}{self._local_member.host}"

    async def run(self) -> None:
        """Write the address, retrying until it is stored."""
        value = msgspec.json.encode(
            Address(self._local_member.host, self._local_member.address)
        )
        while True:
            entry = await self._key_value.get(self._key)
            if isinstance(entry, Entry) and entry.value == value:
                return
            if isinstance(entry, Entry):
                revision = entry.revision
                written = await self._key_value.compare_and_swap(
                    self._key, value, revision
                )
                if isinstance(written, Entry):
                    return
            await trio.sleep(REGISTRATION_RETRY_DELAY)

    async def remove(self) -> None:
        """Remove the address, if that succeeds within REMOVAL_TIMEOUT."""
        with trio.move_on_after(REMOVAL_TIMEOUT):
            entry = await self._key_value.get(self._key)
            if isinstance(entry, Entry) and not entry.is_absent:
                await self._key_value.delete(self._key, entry.revision)

    async def find_seeds(self) -> list[str]:
        """Return peer addresses to join: first the settings', then the service's."""
        seeds = list(self._seeds)
        entries = await self._key_value.list_entries(self._prefix)
        if not isinstance(entries, Failure):
            for entry in entries:
                address = decode_address(entry.value)
                if isinstance(address, Failure):
                    self._log_once(entry, address)
                    continue
                seeds.append(address.address)
        return [
            seed for seed in dict.fromkeys(seeds) if seed != self._local_member.address
        ]

    def _log_once(self, entry: Entry, failure: Failure) -> None:
        """Log the first entry that can't be read; a starting host reads them often."""
        if not self._has_logged:
            self._has_logged = True
            log.bind(key=entry.key[:MAX_NAME], reason=failure.reason).warning(
                "a host's registered address can't be read"
            )


def decode_address(value: bytes) -> Address | Failure:
    """Decode a registered address, which hosts connect to."""
    address = decode_json(value, Address)
    if not isinstance(address, Failure) and not is_address(address.address):
        reason = "`address` is not an IP number and port"
        return Failure(ResultCode.PLATFORM_MALFORMED, reason)
    return address
