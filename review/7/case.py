"""Each worker of a service is cut off from the store once, one after the other.

Routes that are added later have to be served like the first ones: all workers serve.
"""

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig.clients import Client  # noqa: E402
from rig.fleet import BROKEN, HELD, NOT_RUN, Fleet, run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WARM_UP = 5.0
CUT_SECONDS = 5.0
REST_SECONDS = 1.5
SETTLE_SECONDS = 3.0
MIN_REQUESTS = 20
KEY = "i9n73hh2b9wu3fexd9dn"
FIRST, OTHER = "wuno96b", "huvo11a"


def make_route(name: str, path: str, service: str) -> dict[str, Any]:
    """Return an idempotent route."""
    return {
        "name": name,
        "hostname": "registro.example",
        "path_prefix": path,
        "route_type": "idempotent",
        "timeout_ms": 600,
        "target_latency_ms": 125,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
    }


def make_config(version: int, *, has_added: bool) -> dict[str, Any]:
    """Return a config of two services, later with one more route."""
    routes = [
        make_route("r-letter", "/cufi504/", FIRST),
        make_route("r-status", "/lohu930/", OTHER),
    ]
    if has_added:
        routes.append(make_route("r-added", "/puxa403/", FIRST))
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_connections": 100}
            for name in (FIRST, OTHER)
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "hule930",
                "api_keys": [KEY],
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 129274,
                "burst": 129274,
            }
        ],
    }


async def play(fleet: Fleet) -> int:
    """Play the case; return the status of the script."""
    cut = fleet.make_workers(FIRST, 4)
    others = fleet.make_workers(OTHER, 4, first=4)
    await fleet.start(make_config(7, has_added=False), 2, [*cut, *others])
    for host in fleet.hosts:
        if not await fleet.wait_until_ready(host, 20):
            return NOT_RUN
    first = [Client(fleet, KEY, 5, path, 1) for path in ("/cufi504/", "/lohu930/")]
    for client in first:
        fleet.start_task(client.run())
    await asyncio.sleep(WARM_UP)
    for worker in cut:
        if HAS_TROUBLE:
            worker.is_cut_off = True
            fleet.record.add(f"worker {worker.name} is cut off from the store")
        await asyncio.sleep(CUT_SECONDS)
        if HAS_TROUBLE:
            worker.is_cut_off = False
            fleet.record.add(f"worker {worker.name} reaches the store again")
        await asyncio.sleep(REST_SECONDS)
    fleet.write_config(make_config(9, has_added=True))
    await asyncio.sleep(SETTLE_SECONDS)
    added = Client(fleet, KEY, 5, "/puxa403/", 2)
    fleet.start_task(added.run())
    measured_from = time.time()
    await asyncio.sleep(10)
    return judge(fleet, first, added, measured_from)


def judge(fleet: Fleet, first: list[Client], added: Client, since: float) -> int:
    """Return whether added routes are served a quarter as often as the first ones."""
    sent, served = added.count_since(since)
    counts = [client.count_since(since) for client in first]
    first_sent = sum(pair[0] for pair in counts)
    first_served = sum(pair[1] for pair in counts)
    fleet.record.add(
        f"{served} of {sent} requests on the added route were served, "
        f"{first_served} of {first_sent} on the first routes"
    )
    for client, (own_sent, own_served) in zip(first, counts, strict=True):
        fleet.record.add(f"{client.path}: {own_served} of {own_sent} were served")
    if sent < MIN_REQUESTS or not first_served:
        return NOT_RUN
    share, first_share = served / sent, first_served / first_sent
    return BROKEN if share < first_share / 4 else HELD


if __name__ == "__main__":
    run_case(FOLDER / "record.txt", play)
