"""Two hosts are restarted in turn, and the store comes back from a copy meanwhile.

The platform must not accept two reports of different counts for one usage window.
"""

import asyncio
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig.clients import Client  # noqa: E402
from rig.fleet import BROKEN, HELD, NOT_RUN, Fleet, Host, run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WINDOW = 5.0
WARM_UP = 12.0
COPY_AGE = 3.0
AWAY_SECONDS = 0.5
KEYS = {"hule930": "i9n73hh2b9wu3fexd9dn", "fida11": "n2ctnfzs989anu6wsjnb"}
CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-cert-letter",
            "hostname": "registro.example",
            "path_prefix": "/cufi504/",
            "route_type": "idempotent",
            "timeout_ms": 600,
            "target_latency_ms": 125,
            "priority": 2,
            "service": "wuno96b",
            "max_attempts": 2,
            "anonymous": False,
        }
    ],
    "services": [
        {"name": "wuno96b", "health_path": "/healthz", "max_connections": 100}
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": name,
            "api_keys": [key],
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": 129274,
            "burst": 129274,
        }
        for name, key in KEYS.items()
    ],
}


def find_holder(fleet: Fleet) -> Host | None:
    """Return the host that reported usage last."""
    calls = [made for made in fleet.duty_calls if made.path == "/usage"]
    names = {host.name: host for host in fleet.hosts}
    return names.get(calls[-1].holder) if calls else None


async def sleep_until(unix_time: float) -> None:
    """Sleep until a time of the wall clock."""
    await asyncio.sleep(max(0.0, unix_time - time.time()))


async def wait_for_report(fleet: Fleet, window: int, seconds: float) -> bool:
    """Wait until the usage of a window is reported; return whether it is in time."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if any(made.body.get("window_id") == window for made in fleet.duty_calls):
            return True
        await asyncio.sleep(0.02)
    return False


async def disturb(fleet: Fleet) -> None:
    """Have the store go away for a moment and come back from a copy."""
    if not HAS_TROUBLE:
        return
    fleet.store.take_down()
    fleet.record.add("store: away")
    await asyncio.sleep(AWAY_SECONDS)
    revision = fleet.store.restore(COPY_AGE)
    fleet.write_config(CONFIG)
    fleet.store.bring_back()
    fleet.record.add(f"store: back from a copy at revision {revision}")


async def play(fleet: Fleet) -> int:
    """Play the case; return the status of the script."""
    workers = fleet.make_workers("wuno96b", 4)
    await fleet.start(CONFIG, 2, workers)
    for host in fleet.hosts:
        if not await fleet.wait_until_ready(host, 20):
            return NOT_RUN
    clients = [
        Client(fleet, key, 2.5, "/cufi504/fi50/", seed)
        for seed, key in enumerate([*KEYS.values()] * 5)
    ]
    for client in clients:
        fleet.start_task(client.run())
    await asyncio.sleep(WARM_UP)
    holder = find_holder(fleet)
    if holder is None:
        return NOT_RUN
    other = next(host for host in fleet.hosts if host is not holder)
    window = int(time.time() // WINDOW) + 1
    ends_at = (window + 1) * WINDOW
    fleet.record.add(
        f"window {window} ends at {fleet.record.find_seconds(ends_at):.3f};"
        f" {holder.name} holds the duties"
    )
    await sleep_until(ends_at - 0.5)
    first_process = other.process
    other.send_signal(signal.SIGTERM)
    fleet.record.add(f"{other.name}: SIGTERM")
    if not await wait_for_report(fleet, window, 6):
        return NOT_RUN
    await sleep_until(ends_at + 2.8)
    await disturb(fleet)
    await fleet.wait_until_restarted(other, first_process)
    if not await fleet.wait_until_ready(other, 10):
        return NOT_RUN
    await asyncio.sleep(0.5)
    holder.send_signal(signal.SIGTERM)
    fleet.record.add(f"{holder.name}: SIGTERM")
    await sleep_until(ends_at + 17)
    statuses = sum((client.statuses for client in clients), Counter[int]())
    fleet.record.add(f"answers by status: {dict(statuses)}")
    return judge(fleet)


def judge(fleet: Fleet) -> int:
    """Return whether each window has one count among the accepted reports."""
    reports: dict[int, list[tuple[str, dict[str, int]]]] = {}
    for made in fleet.duty_calls:
        if made.path == "/usage":
            known = reports.setdefault(made.body["window_id"], [])
            known.append((made.holder, made.body["counts"]))
    status = HELD
    for window, found in sorted(reports.items()):
        if any(counts != found[0][1] for _, counts in found):
            status = BROKEN
            fleet.record.add(f"BROKEN: window {window} was reported as {found}")
    if len({made.holder for made in fleet.duty_calls}) < 2:
        fleet.record.add("the second host never reported")
        return status or NOT_RUN
    return status


if __name__ == "__main__":
    run_case(FOLDER / "record.txt", play)
