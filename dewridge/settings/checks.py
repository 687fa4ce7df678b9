"""Validates settings beyond their schema: formats and relations between them."""

import hashlib
import re
from collections.abc import Iterable, Sequence
from ipaddress import ip_address
from urllib.parse import urlsplit

from dewridge.policy.memorybudget import LARGE_INPUT_SHARE
from dewridge.settings.problems import Problem
from dewridge.settings.schema import AccountSettings, OperatorSettings, Settings

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
DIGEST_PATTERN = re.compile(r"[0-9a-fA-F]{64}")
EMPTY_TOKEN_DIGEST = hashlib.sha256(b"").hexdigest()
WILDCARD_ADDRESSES = ("0.0.0.0", "::")

BODY_COPIES = 4
"""Memory of a body for each byte, as the frontend counts it."""
FRAME_COPIES = 2
"""Memory of a frame for each byte, as connections to peers count it."""

Identity = AccountSettings | OperatorSettings


def check_settings(settings: Settings) -> tuple[list[Problem], list[Problem]]:
    """Return the errors and the warnings of settings that fit the schema."""
    errors = [
        *_check_names(settings),
        *_check_identities(settings),
        *_check_addresses(settings),
        *_check_urls(settings),
        *_check_durations(settings),
    ]
    return errors, list(_find_warnings(settings))


def _check_names(settings: Settings) -> Iterable[Problem]:
    host = settings.host
    names_by_path = {
        "host.id": host.id,
        "host.deployment": host.deployment,
        "host.region": host.region,
        "host.failure_domain": host.failure_domain,
    }
    for path, name in names_by_path.items():
        if not NAME_PATTERN.fullmatch(name):
            yield Problem(path, "must be 1 to 64 of A-Z a-z 0-9 . _ -")


def _check_identities(settings: Settings) -> Iterable[Problem]:
    # Two identities with the same token could not be distinguished, and one account
    # could read the other's answers. The check spans accounts and operators.
    digests: dict[str, str] = {}
    for section, identities in _list_identities(settings):
        names: set[str] = set()
        for index, identity in enumerate(identities):
            path = f"{section}[{index}]"
            digest = identity.token_sha256.lower()
            if not NAME_PATTERN.fullmatch(identity.name):
                yield Problem(f"{path}.name", "must be 1 to 64 of A-Z a-z 0-9 . _ -")
            if identity.name in names:
                yield Problem(f"{path}.name", f"`{identity.name}` is there twice")
            if not DIGEST_PATTERN.fullmatch(digest):
                yield Problem(f"{path}.token_sha256", "must be 64 hexadecimal digits")
            elif digest == EMPTY_TOKEN_DIGEST:
                yield Problem(f"{path}.token_sha256", "is the digest of no token")
            elif digest in digests:
                text = f"is the same token as that of {digests[digest]}"
                yield Problem(f"{path}.token_sha256", text)
            names.add(identity.name)
            digests.setdefault(digest, path)


def _list_identities(settings: Settings) -> Iterable[tuple[str, Sequence[Identity]]]:
    yield "accounts", settings.accounts
    yield "operators", settings.operators


def _check_addresses(settings: Settings) -> Iterable[Problem]:
    frontend, peers = settings.frontend, settings.peers
    for section, part in (("frontend", frontend), ("peers", peers)):
        if not _is_ip_address(part.address):
            yield Problem(f"{section}.address", "must be an IP number")
        elif part.address in WILDCARD_ADDRESSES and not part.advertised:
            text = "is needed, since others can't connect to the address listened on"
            yield Problem(f"{section}.advertised", text)
        if part.advertised and not is_address(part.advertised):
            yield Problem(f"{section}.advertised", "must be IP number and port")
    for index, seed in enumerate(peers.seeds):
        if not is_address(seed):
            yield Problem(f"peers.seeds[{index}]", "must be IP number and port")
    if frontend.port == peers.port != 0 and frontend.address == peers.address:
        yield Problem("peers.port", "is the port of the frontend, too")


def is_address(text: str) -> bool:
    """Return whether a text is an IP address with a port, such as `a.b.c.d:n`."""
    host, _, port = text.rpartition(":")
    if not _is_ip_address(host.removeprefix("[").removesuffix("]")):
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65536


def _is_ip_address(text: str) -> bool:
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def _check_urls(settings: Settings) -> Iterable[Problem]:
    platform = settings.platform
    urls = {
        "platform.key_value": platform.key_value,
        "platform.host_list": platform.host_list,
        "platform.cloud": platform.cloud,
    }
    for path, url in urls.items():
        if not _is_url(url):
            yield Problem(path, "must be a URL such as http://10.0.0.1:2379")


def _is_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        return parts.scheme in ("http", "https") and bool(parts.hostname)
    except ValueError:
        return False


def _check_durations(settings: Settings) -> Iterable[Problem]:
    membership, requests = settings.membership, settings.requests
    frontend, peers = settings.frontend, settings.peers
    if membership.probe_timeout > membership.probe_period:
        yield Problem("membership.probe_timeout", "is longer than `probe_period`")
    if peers.idle_timeout <= membership.probe_period:
        text = "is not longer than `membership.probe_period`; every connection would go"
        yield Problem("peers.idle_timeout", text)
    if frontend.default_deadline > frontend.deadline_limit:
        yield Problem("frontend.default_deadline", "is longer than `deadline_limit`")
    # If a key is removed before its request's deadline, a retry would run the request
    # a second time.
    if frontend.deadline_limit > requests.retention:
        text = "is longer than `requests.retention`, for which a key is remembered"
        yield Problem("frontend.deadline_limit", text)
    if requests.claim_window > requests.retention:
        yield Problem("requests.claim_window", "is longer than `retention`")
    if requests.claim_batch > requests.claim_timeout:
        yield Problem("requests.claim_batch", "is longer than `claim_timeout`")


def _find_memory_warnings(settings: Settings) -> Iterable[Problem]:
    memory = settings.host.memory_mb * 1_000_000 * settings.host.intake_share
    if settings.frontend.body_limit * BODY_COPIES > memory * LARGE_INPUT_SHARE:
        text = "does not fit into the part of `host.memory_mb` for large requests"
        yield Problem("frontend.body_limit", text)
    if settings.peers.frame_limit * FRAME_COPIES > memory * LARGE_INPUT_SHARE:
        text = "does not fit into the part of `host.memory_mb` for large requests"
        yield Problem("peers.frame_limit", text)


def _find_warnings(settings: Settings) -> Iterable[Problem]:
    if not settings.accounts:
        yield Problem("accounts", "is empty: no caller can send a request")
    if not settings.operators:
        yield Problem("operators", "is empty: nobody can publish a profile")
    if not settings.peers.seeds:
        text = "is empty: with the key-value service down, this host finds no peers"
        yield Problem("peers.seeds", text)
    yield from _find_memory_warnings(settings)
    if settings.requests.replicas < 2:
        text = "one copy: a reclaim of two failure domains at once loses requests"
        yield Problem("requests.replicas", text)
    if settings.frontend.drain_seconds < settings.frontend.heartbeat:
        text = "is shorter than a heartbeat: a shutdown may cut off streams"
        yield Problem("frontend.drain_seconds", text)
    if settings.platform.stale_limit <= settings.platform.watch_timeout / 2:
        text = "is under half of `watch_timeout`: a quiet watch may stop admission"
        yield Problem("platform.stale_limit", text)
