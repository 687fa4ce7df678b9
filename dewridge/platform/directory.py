"""Paths and bodies of address lookup by callers and of the readiness check."""

import msgspec

from dewridge.platform import names

READY_PATH = names.READY_PATH
RESOLVE_PATH = names.RESOLVE_PATH
MAX_ADDRESSES = 64
"""Maximum number of addresses in one response; callers use no more than this."""


def encode_addresses(addresses: list[str], ttl: float) -> bytes:
    """Return the response body with the addresses to use for `ttl` seconds."""
    return msgspec.json.encode({"addresses": addresses, "ttl_s": ttl})
