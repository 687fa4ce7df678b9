"""What operators ask a gateway: its counters, all that it believes, and one change."""

from typing import Any

import msgspec
import trio

from dewridge.codes import ResultCode
from dewridge.gateway.ingress import send_failure
from dewridge.gateway.measures import update_gauges
from dewridge.gateway.model import CallerRequest
from dewridge.gateway.reports import RolloutProgress
from dewridge.gateway.responder import Responder
from dewridge.gateway.rollouts import describe_evidence, find_elapsed
from dewridge.gateway.state import GatewayState
from dewridge.gateway.suspects import clear_suspect
from dewridge.ids import RequestDigest
from dewridge.policy.suspects import Suspect
from dewridge.sentinels import Failure

METRICS_PATH = "/metrics"
DUMP_PATH = "/dump"
LET_THROUGH_PATH = "/suspects/"
"""Before the digest of a request that is to be sent to servers again."""


class Operations:
    """Answers operators."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, request: CallerRequest, out: Responder) -> None:
        """Answer one question."""
        if request.path == METRICS_PATH:
            await self._send_metrics(out)
        elif request.path == DUMP_PATH:
            body = msgspec.json.encode(describe(self._state), enc_hook=str)
            await out.send_whole(200, [(b"content-type", b"application/json")], body)
        elif is_let_through(request):
            await self._let_through(request, out)
        else:
            failure = Failure(ResultCode.UNKNOWN_OPERATION, "no such page")
            await send_failure(out, failure)

    async def _let_through(self, request: CallerRequest, out: Responder) -> None:
        digest = RequestDigest(request.path.removeprefix(LET_THROUGH_PATH))
        if clear_suspect(self._state, digest, "operator"):
            await out.send_whole(200, [], b"")
            return
        failure = Failure(ResultCode.UNKNOWN_REQUEST, "no such suspect")
        await send_failure(out, failure)

    async def _send_metrics(self, out: Responder) -> None:
        # The library takes 12 MB: loaded in the processes that are asked only.
        from dewridge.metrics.exposition import CONTENT_TYPE, format_metrics  # noqa: PLC0415

        update_gauges(self._state)
        headers = [(b"content-type", CONTENT_TYPE.encode())]
        await out.send_whole(200, headers, format_metrics(self._state.metrics))


def is_let_through(request: CallerRequest) -> bool:
    """Whether an operator asks that a request be let through again."""
    return request.method == b"DELETE" and request.path.startswith(LET_THROUGH_PATH)


def describe(state: GatewayState) -> dict[str, Any]:
    """Return what this process believes, without keys, prompts or answers."""
    now = trio.current_time()
    return {
        "host": {
            "id": state.host,
            "boot": state.boot,
            "is_ready": state.is_ready,
            "is_leaving": state.ingress.is_leaving,
        },
        "configuration": {
            "version": state.configuration.version,
            "age_seconds": round(state.configuration.age, 3),
            "is_trusted": state.configuration.is_trusted,
        },
        "servers": [_describe_server(state, one.id, now) for one in _sort(state)],
        "hosts": [
            {
                "id": entry.id,
                "boot": entry.boot,
                "is_ready": entry.is_ready,
                "is_silent": state.sharing.is_silent(entry.id, now),
            }
            for entry in state.hosts.list_peers()
        ],
        "reports": {
            "period_seconds": round(state.sharing.period, 3),
            "heard": state.sharing.reports_received,
            "missed": state.sharing.reports_missed,
            "datagrams_sent": state.metrics.read("datagrams_sent"),
            "datagram_bytes_sent": state.metrics.read("datagram_bytes_sent"),
            "datagrams_outdated": state.metrics.read("datagrams_outdated"),
            "holder": state.sharing.holder[1],
        },
        "suspects": [_describe_suspect(one, now) for one in state.suspects.list_all()],
        "rollouts": [
            _describe_rollout(state, one) for one in state.rollouts.list_progress()
        ],
        "quotas": state.ledger.describe(),
        "connections": {
            "callers": state.ingress.connections,
            "requests": state.ingress.requests,
            "opened_to_servers": state.pool.opened,
            "reused_to_servers": state.pool.reused,
        },
        "duties": state.describe_duties(),
        "dependencies": {
            caller.name: {"is_up": caller.is_up, "calls": caller.calls}
            for caller in state.dependencies
        },
    }


def _sort(state: GatewayState) -> list[Any]:
    return sorted(state.servers.list_all(), key=lambda one: (one.service, one.id))


def _describe_suspect(suspect: Suspect, now: float) -> dict[str, Any]:
    return {
        "digest": suspect.digest,
        "account": suspect.account,
        "service": suspect.service,
        "set_aside_for_seconds": round(suspect.find_quarantine_left(now), 1),
        "ends_counted": len(suspect.list_crash_times(now)),
        "seconds_since_ends": {
            server: round(now - end.at, 1) for server, end in suspect.crashes.items()
        },
        "cleared": sorted(suspect.cleared),
    }


def _describe_rollout(state: GatewayState, progress: RolloutProgress) -> dict[str, Any]:
    stage = state.rollouts.find_stage(progress.service)
    return {
        "service": progress.service,
        "target": progress.target,
        "stage": progress.stage.value,
        "stage_here": stage.value if stage else "",
        "share": progress.share,
        "elapsed_seconds": round(find_elapsed(progress), 1),
        "duration_seconds": progress.duration,
        **describe_evidence(state.rollouts.find_evidence(progress.order)),
    }


def _describe_server(state: GatewayState, server: Any, now: float) -> dict[str, Any]:
    record = state.servers.find(server)
    health = state.find_health(server)
    return {
        "id": server,
        "service": record.service if record else "",
        "failure_domain": record.failure_domain if record else "",
        "is_reclaimable": bool(record and record.is_reclaimable),
        "in_flight": state.work.requests.get(server, 0),
        "failure_share": round(health.failure_share, 3),
        "rests_for_seconds": round(max(0.0, health.cooldown_until - now), 3),
        "full_for_seconds": round(max(0.0, health.full_until - now), 3),
    }
