"""The calls by which callers find addresses and the platform asks for readiness."""

import msgspec

from dewridge.platform import names

READY_PATH = names.READY_PATH
RESOLVE_PATH = names.RESOLVE_PATH
MAX_ADDRESSES = 64
"""Addresses that callers take from one answer."""


def encode_addresses(addresses: list[str], ttl: float) -> bytes:
    """Return the body that tells callers which addresses to use for `ttl` seconds."""
    return msgspec.json.encode({"addresses": addresses, "ttl_s": ttl})
