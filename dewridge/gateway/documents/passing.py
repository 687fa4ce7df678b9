"""Passes the configuration on to peers, and takes it from them.

Peers use the port on which they relay requests, and the key of the host that they ask.
"""

import hmac
from collections import deque
from dataclasses import dataclass
from enum import Enum

import trio
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.gateway.documents.parts import DocumentParts
from dewridge.gateway.documents.transfer import (
    DocumentTransfer,
    decode_transfer,
    encode_transfer,
    make_transfer,
    restore_parts,
)
from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.ingress import RequestHandler, send_failure
from dewridge.gateway.model import CallerRequest
from dewridge.gateway.responder import CallerDisconnectedError, Responder
from dewridge.http1.calls import Response, ServiceClient
from dewridge.policy.documentsources import PEER_TIME
from dewridge.sentinels import Failure

DOCUMENT_PATH = "/configuration"
KEY = b"dewridge-key"
BASE = b"dewridge-base"
"""Version of the document that the peer has."""
NEWER_THAN = b"dewridge-newer-than"
"""Version that the peer has; it needs no answer with the same or an older one."""
MAX_PASSED = 4
"""Transfers to peers at the same time. More would each be slower, and the peers that
have it first pass it on."""
RETAINED_VERSIONS = 4
"""Versions retained as bases. Their unchanged parts share memory."""
CALL_TIMEOUT = PEER_TIME
"""Seconds until a peer's answer begins, and for its progress. A busy host takes tenths
of a second to compress a large document; one that has ended refuses at once."""
MAX_PASSING_TIME = 5.0
"""Seconds for one transfer to a peer, which would have taken it from elsewhere by
then."""
STATUS_OK = 200
STATUS_BUSY = 503
BUSY = Failure(ResultCode.CONFIGURATION_STALE, "too many transfers", 0.1)
NOT_NEWER = Failure(ResultCode.UNKNOWN_OPERATION, "no newer version")


class FetchFailure(Enum):
    """Why a peer passed on no document."""

    BUSY = "busy"
    """It sends the document to others."""
    NONE = "none"
    """It has no newer one, or does not answer."""


@dataclass(frozen=True, slots=True)
class PassedDocument:
    """A document that a peer passed on.

    Attributes:
        parts: the document.
        revision: the store's revision of the document.
        era: era of the store to which the revision belongs.
        received: bytes received for it.
    """

    parts: DocumentParts
    revision: int
    era: int
    received: int


class DocumentLibrary:
    """The document in force and the versions before it, for peers that have those."""

    def __init__(self) -> None:
        self._versions: deque[DocumentParts] = deque(maxlen=RETAINED_VERSIONS)
        self._revision = 0
        self._era = 0
        self._encoded: dict[int, bytes] = {}
        self._encoding = trio.Lock()
        self._passed = 0

    @property
    def newest(self) -> DocumentParts | None:
        """The document in force; None before the first one."""
        return self._versions[-1] if self._versions else None

    def add(self, parts: DocumentParts, revision: int, era: int) -> None:
        """Add the document that came into force."""
        if self.newest is not None:
            parts = share_unchanged(parts, self.newest)
        self._versions.append(parts)
        self._revision, self._era = revision, era
        self._encoded.clear()

    async def serve(self, request: CallerRequest, responder: Responder) -> None:
        """Send the document to a peer that has an older one or none."""
        newest = self.newest
        newer_than = find_number(request, NEWER_THAN)
        if newest is None or newest.version <= newer_than:
            await send_failure(responder, NOT_NEWER)
            return
        if self._passed >= MAX_PASSED:
            await send_failure(responder, BUSY)
            return
        self._passed += 1
        try:
            body = await self._encode(newest, find_number(request, BASE))
            with trio.move_on_after(MAX_PASSING_TIME):
                await responder.send_complete(200, [], body)
        finally:
            self._passed -= 1
        if not responder.is_finished:
            raise CallerDisconnectedError

    async def _encode(self, newest: DocumentParts, base_version: int) -> bytes:
        versions = {parts.version: parts for parts in self._versions}
        base = versions.get(base_version)
        key = base.version if base else 0
        async with self._encoding:
            if key not in self._encoded:
                transfer = make_transfer(newest, base, self._revision, self._era)
                body = await encode_transfer(transfer)
                if newest is not self.newest:
                    return body
                self._encoded[key] = body
            return self._encoded[key]


def share_unchanged(parts: DocumentParts, known: DocumentParts) -> DocumentParts:
    """Return a document that shares the unchanged parts of another one in memory."""
    shared = {part: part for part in (*known.routes, *(known.accounts or ()))}
    accounts = parts.accounts
    if accounts is not None:
        accounts = tuple(shared.get(part, part) for part in accounts)
    routes = tuple(shared.get(part, part) for part in parts.routes)
    return DocumentParts(parts.version, parts.head, routes, accounts)


def serve_peers(
    library: DocumentLibrary, key: str, relay: RequestHandler
) -> RequestHandler:
    """Return a handler that serves the document, and lets a relay serve the rest."""

    async def serve(request: CallerRequest, responder: Responder) -> None:
        if request.path != DOCUMENT_PATH:
            await relay(request, responder)
            return
        given = dict(request.headers).get(KEY, b"")
        if not hmac.compare_digest(given, key.encode()):
            log.bind(reason="no valid key").warning("request for document rejected")
            failure = Failure(ResultCode.UNAUTHENTICATED, "not a host of this fleet")
            await send_failure(responder, failure)
            return
        await library.serve(request, responder)

    return serve


def find_number(request: CallerRequest, name: bytes) -> int:
    """Return the number in a header; 0 without a valid one."""
    value = dict(request.headers).get(name, b"")
    return int(value) if value.isdigit() and len(value) < 20 else 0


async def fetch_document(
    peer: HostEntry, base: DocumentParts | None
) -> PassedDocument | FetchFailure:
    """Ask a peer for a document that is newer than the one that this host has."""
    client = ServiceClient(f"peer {peer.id}", peer.peers, CALL_TIMEOUT)
    version = str(base.version if base else 0).encode()
    headers = [(KEY, peer.relay_key.encode()), (BASE, version), (NEWER_THAN, version)]
    try:
        response = await client.call("GET", DOCUMENT_PATH, headers=headers)
    finally:
        client.close_idle()
    if isinstance(response, Response) and response.status == STATUS_BUSY:
        return FetchFailure.BUSY
    if not isinstance(response, Response) or response.status != STATUS_OK:
        return FetchFailure.NONE
    transfer = await decode_transfer(response.body)
    if not isinstance(transfer, DocumentTransfer):
        log.bind(peer=peer.id).error("document of a peer can't be read")
        return FetchFailure.NONE
    parts = restore_parts(transfer, base)
    if parts is None:
        log.bind(peer=peer.id, base=transfer.base).error("document of a peer differs")
        return FetchFailure.NONE
    received = len(response.body)
    return PassedDocument(parts, transfer.revision, transfer.era, received)
