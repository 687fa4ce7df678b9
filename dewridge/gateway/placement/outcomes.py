"""Figures learned from the answers to prompts placed by expected time."""

from dewridge.gateway.jobs import Job
from dewridge.gateway.placement.probing import record_sent_prompt
from dewridge.gateway.state import GatewayState


def record_placement(state: GatewayState, job: Job) -> None:
    """Count an attempt whose server was chosen by expected time."""
    if job.expected is not None:
        choice = "holder" if job.expected.load.is_holder else "other"
        state.metrics.add("placements_total", service=job.service, choice=choice)
        record_sent_prompt(state, job, job.expected)


def record_first_event(state: GatewayState, job: Job, now: float) -> None:
    """Record the time to the first event of an attempt.

    Attempts that were expected to wait for a slot show the run times of other requests,
    and are left out of the speed of the service.
    """
    expected = job.expected
    if expected is None:
        return
    seconds = now - job.sent_at
    if expected.slot_wait <= 0:
        speed = state.placement.get_figures(job.service).speed
        speed.add_first_event(expected.queued_tokens, seconds)
    meter = state.placement.get_pace(expected.load.id)
    if not meter.add(seconds, expected.usual_seconds, now):
        state.metrics.add("pace_samples_ignored_total", service=job.service)


def record_complete_run(state: GatewayState, job: Job, now: float) -> None:
    """Record how long a complete attempt occupied a slot."""
    expected = job.expected
    if expected is not None and expected.slot_wait <= 0:
        speed = state.placement.get_figures(job.service).speed
        speed.add_run(now - job.sent_at, job.request.sizes.tokens)


def describe_choice(job: Job) -> dict[str, float | str]:
    """Return the log fields that say why the server of the last attempt was chosen."""
    expected = job.expected
    if expected is None:
        return {}
    return {
        "placed_at": "holder" if expected.load.is_holder else "other",
        "expected_ms": round(expected.seconds * 1000, 1),
        "expected_tokens": round(expected.queued_tokens),
        "expected_slot_wait_ms": round(expected.slot_wait * 1000, 1),
        "server_requests": expected.load.requests,
        "server_pace": round(expected.load.pace, 2),
        **({"probed": job.probed} if job.probed else {}),
    }
