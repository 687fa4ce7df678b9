"""Builds a configuration from the parts of its document.

Requests go on meanwhile: the event loop gets its turn after each slice of the work.
"""

from collections.abc import AsyncIterator

import trio

from dewridge.codes import ResultCode
from dewridge.gateway.documents.parts import DocumentParts
from dewridge.gateway.model import (
    Account,
    AccountKey,
    Configuration,
    HostRoutes,
    Route,
    RouteName,
)
from dewridge.platform.configuration import (
    AccountEntry,
    ConfigurationHead,
    decode_account,
    decode_head,
    decode_route,
)
from dewridge.sentinels import Failure

SLICE_PARTS = 64
"""Routes or accounts that are decoded before other tasks get a turn: some 2 ms."""


class ConfigurationBuilder:
    """Builds configurations; reuses what did not change since the last one."""

    def __init__(self) -> None:
        self._routes: dict[bytes, Route] = {}
        self._accounts: dict[bytes, AccountEntry] = {}

    async def build(self, parts: DocumentParts) -> Configuration | Failure:
        """Build a configuration; a `Failure` if the document is not valid."""
        head = decode_head(parts.head)
        if isinstance(head, Failure):
            return head
        routes: dict[bytes, Route] = {}
        by_hostname: dict[str, HostRoutes] = {}
        names: set[RouteName] = set()
        async for raws in iterate_slices(parts.routes):
            for raw in raws:
                route = self._routes.get(raw) or decode_route(raw)
                if isinstance(route, Failure):
                    return route
                fault = check_route(route, head, names, by_hostname)
                if fault is not None:
                    return fault
                routes[raw] = route
        accounts: dict[bytes, AccountEntry] = {}
        by_key: dict[AccountKey, Account] = {}
        async for raws in iterate_slices(parts.accounts or ()):
            for raw in raws:
                entry = self._accounts.get(raw) or decode_account(raw)
                if isinstance(entry, Failure):
                    return entry
                accounts[raw] = entry
                by_key.update(dict.fromkeys(entry.keys, entry.account))
        self._routes, self._accounts = routes, accounts
        return Configuration(
            version=head.version,
            routes=tuple(routes.values()),
            services=head.services,
            accounts=by_key,
            limits=head.limits,
            has_accounts=parts.accounts is not None,
            by_hostname=by_hostname,
        )


async def iterate_slices(
    parts: tuple[bytes, ...],
) -> AsyncIterator[tuple[bytes, ...]]:
    """Yield parts in slices; other tasks get a turn before each of them."""
    for start in range(0, len(parts), SLICE_PARTS):
        await trio.lowlevel.checkpoint()
        yield parts[start : start + SLICE_PARTS]


def check_route(
    route: Route,
    head: ConfigurationHead,
    names: set[RouteName],
    by_hostname: dict[str, HostRoutes],
) -> Failure | None:
    """Add a route to the names and the index; return why it is not valid, if so."""
    reason = ""
    if route.name in names:
        reason = "is defined twice"
    elif any(share.service not in head.services for share in route.shares):
        reason = "has a service that is missing"
    elif not by_hostname.setdefault(route.hostname, HostRoutes()).add(route):
        reason = "has the prefix of another route"
    names.add(route.name)
    if not reason:
        return None
    return Failure(
        ResultCode.PLATFORM_MALFORMED, f"configuration: route {route.name!r} {reason}"
    )
