"""Authentication of client accounts and operators by bearer tokens."""

import hashlib
import hmac
from collections.abc import Iterable

from dewridge.codes import ResultCode
from dewridge.ids import ClientAccount, OperatorName
from dewridge.sentinels import Failure
from dewridge.settings.schema import AccountSettings, OperatorSettings

SCHEME = "bearer"
MAX_TOKEN_CHARS = 512
"""Maximum characters of a token; longer ones are rejected before hashing."""

Digests = list[tuple[bytes, str]]


class TokenAuthenticator:
    """Finds the client account or operator that an Authorization header identifies."""

    def __init__(
        self,
        accounts: Iterable[AccountSettings],
        operators: Iterable[OperatorSettings],
    ) -> None:
        self._accounts = _list_digests(accounts)
        self._operators = _list_digests(operators)

    def find_account(self, header: str | None) -> ClientAccount | Failure:
        """Return the client account of a token."""
        digest = _digest_header(header)
        account = _find_identity(self._accounts, digest)
        if account is not None:
            return ClientAccount(account)
        return self._make_rejection(digest, self._operators, "a client account's")

    def find_operator(self, header: str | None) -> OperatorName | Failure:
        """Return the operator of a token."""
        digest = _digest_header(header)
        operator = _find_identity(self._operators, digest)
        if operator is not None:
            return OperatorName(operator)
        return self._make_rejection(digest, self._accounts, "an operator's")

    def _make_rejection(
        self, digest: bytes | None, other_digests: Digests, required: str
    ) -> Failure:
        if _find_identity(other_digests, digest) is not None:
            return Failure(ResultCode.FORBIDDEN, f"this needs {required} token")
        return Failure(ResultCode.UNAUTHENTICATED, f"this needs {required} token")


def _list_digests(
    identities: Iterable[AccountSettings] | Iterable[OperatorSettings],
) -> Digests:
    return [
        (bytes.fromhex(identity.token_sha256), identity.name) for identity in identities
    ]


def _digest_header(header: str | None) -> bytes | None:
    scheme, _, token = (header or "").partition(" ")
    token = token.strip()
    if scheme.lower() != SCHEME or not 0 < len(token) <= MAX_TOKEN_CHARS:
        return None
    return hashlib.sha256(token.encode()).digest()


def _find_identity(digests: Digests, wanted: bytes | None) -> str | None:
    # Compares all digests, each in constant time, so that the response time does
    # not reveal how close a guess is or whose token it resembles.
    if wanted is None:
        return None
    matching_name = None
    for digest, name in digests:
        if hmac.compare_digest(digest, wanted):
            matching_name = name
    return matching_name
