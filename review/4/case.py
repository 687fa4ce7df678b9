"""Two workers of the old version lose the store during a release, then a host ends.

Streams of that version have to go on at the other host: its workers serve again.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig.engines import Engine, StreamClients  # noqa: E402
from rig.fleet import BROKEN, HELD, NOT_RUN, Fleet, run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WARM_UP = 10.0
CUT_SECONDS = 4.5
ENDS_AFTER = 6.0
MIN_STREAMS = 12
KEY = "i9n73hh2b9wu3fexd9dn"
RATE = 12.0
OLD, NEW = 2, 8
CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-auditor-chat",
            "hostname": "registro.example",
            "path_prefix": "/pufi791/",
            "route_type": "streaming",
            "timeout_ms": 30000,
            "target_latency_ms": 600,
            "priority": 0,
            "service": "huvo11a",
            "max_attempts": 2,
            "anonymous": False,
            "session_affinity": True,
            "stream_resume": True,
            "gap_target_ms": 800,
        }
    ],
    "services": [
        {
            "name": "huvo11a",
            "health_path": "/healthz",
            "max_connections": 360,
            "engine": {"slots": 64, "kv_capacity_tokens": 562012},
        }
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
            "rate_per_s": 0,
            "burst": 0,
        }
    ],
}


def make_engines(fleet: Fleet, first: int, count: int, version: str) -> list[Engine]:
    """Return model workers of one software version."""
    return [
        Engine(
            f"i-{number}f3a91c2",
            "huvo11a",
            f"zona-{'ab'[number % 2]}",
            fleet.record,
            version=version,
        )
        for number in range(first, first + count)
    ]


async def play(fleet: Fleet) -> int:
    """Play the case; return the status of the script."""
    old = make_engines(fleet, 0, OLD, "v1")
    await fleet.start(CONFIG, 2, old)
    for host in fleet.hosts:
        if not await fleet.wait_until_ready(host, 20):
            return NOT_RUN
    clients = StreamClients(fleet, KEY, RATE, "/pufi791/")
    fleet.start_task(clients.run())
    await asyncio.sleep(WARM_UP)
    new = make_engines(fleet, OLD, NEW, "v2")
    for worker in new:
        await fleet.add_worker(worker)
    fleet.record.add(f"{NEW} workers of v2 serve beside {OLD} of v1")
    began_at = time.time()
    if HAS_TROUBLE:
        fleet.record.add("the workers of v1 are cut off from the store")
        for worker in old:
            worker.is_cut_off = True
        await asyncio.sleep(CUT_SECONDS)
        for worker in old:
            worker.is_cut_off = False
        fleet.record.add("they reach the store again")
    await asyncio.sleep(began_at + ENDS_AFTER - time.time())
    ended = fleet.hosts[1]
    ended.send_signal(signal.SIGKILL)
    ended.is_removed = True
    clients.hosts = clients.hosts[:1]
    ended_at = time.time()
    fleet.record.add(f"{ended.name}: SIGKILL")
    await asyncio.sleep(10)
    return judge(fleet, clients, ended_at)


def judge(fleet: Fleet, clients: StreamClients, ended_at: float) -> int:
    """Return whether half as many streams go on as new ones begin."""
    taken_up = [
        stream
        for stream in clients.streams
        if stream.resumed_at and ended_at <= stream.resumed_at[0] < ended_at + 3
    ]
    begun = [
        stream
        for stream in clients.streams
        if ended_at + 0.5 <= stream.began_at < ended_at + 6
    ]
    for version in ("v1", "v2"):
        known = [stream for stream in taken_up if version in stream.versions]
        went_on = sum(stream.went_on for stream in known)
        fleet.record.add(f"of {version}, {went_on} of {len(known)} streams went on")
    went_on = sum(stream.went_on for stream in taken_up)
    began = sum(stream.last > 0 for stream in begun)
    fleet.record.add(
        f"{went_on} of {len(taken_up)} streams went on that were taken up again; "
        f"{began} of {len(begun)} new streams began"
    )
    if len(taken_up) < MIN_STREAMS or not begun:
        return NOT_RUN
    share, new_share = went_on / len(taken_up), began / len(begun)
    return BROKEN if share < new_share / 2 else HELD


if __name__ == "__main__":
    run_case(FOLDER / "record.txt", play)
