"""Validation of the keys by which callers identify their requests."""

import re

from dewridge.codes import ResultCode
from dewridge.ids import RequestKey
from dewridge.sentinels import Failure

KEY_PATTERN = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
"""A UUIDv7 in canonical form."""


def parse_key(text: str) -> RequestKey | Failure:
    """Validate a key and return it in canonical form."""
    key = text.lower()
    if not KEY_PATTERN.fullmatch(key):
        reason = "a key is a UUIDv7 such as 01890a5d-ac96-774b-bcce-b302099a8057"
        return Failure(ResultCode.MALFORMED_KEY, reason)
    return RequestKey(key)
