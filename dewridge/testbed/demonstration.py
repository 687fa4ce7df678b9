"""Demonstration: three requests, end to end, through a deployment on loopback."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from dewridge.client.client import Client
from dewridge.client.model import Answer, Call
from dewridge.sentinels import Failure
from dewridge.standins.tokens import digest_prompt, is_expected_answer
from dewridge.testbed.deployment import Deployment, DeploymentOptions, open_deployment
from dewridge.testbed.places import SELLO_VERDE

DOSSIER = Path("examples/plant-dossier.txt")
FINDING_TOKENS = 120
CERTIFICATE = "GT-2026-0417"

OPTIONS = DeploymentOptions(
    hosts=3,
    counts={"findings": (1, 1, 1, 0), "registry": (1, 1, 0, 0)},
)

ProgressReporter = Callable[[str], None]
"""Prints a line of progress."""


@dataclass(frozen=True)
class Step:
    """One request of the demonstration, with the check of its answer."""

    title: str
    call: Call
    is_expected: Callable[[Answer], bool]


async def run_demonstration(report_progress: ProgressReporter) -> bool:
    """Run all steps and report progress.

    Returns:
        Whether every answer was complete and the expected one.
    """
    start = time.monotonic()
    async with open_deployment(SELLO_VERDE, OPTIONS, report_progress) as deployment:
        report_progress(f"up after {time.monotonic() - start:.1f} s")
        await _move_service(deployment, report_progress)
        succeeded = await _run_steps(deployment, report_progress)
        for host in deployment.hosts:
            megabytes = host.process.read_resident_memory() / 1e6
            report_progress(
                f"{host.name} in {host.failure_domain}: {megabytes:.0f} MB resident"
            )
    report_progress(
        f"{'done' if succeeded else 'FAILED'} after {time.monotonic() - start:.1f} s"
    )
    return succeeded


async def _move_service(
    deployment: Deployment, report_progress: ProgressReporter
) -> None:
    """Publish another profile and assign the findings service to it."""
    base = SELLO_VERDE.profiles[0]
    profile = {**base, "name": "demo", "placement": {"name": "balanced"}}
    await deployment.put("/v1/profiles/demo", profile)
    report_progress("published profile demo")
    etag = await deployment.read_etag("/v1/services/findings")
    await deployment.put("/v1/services/findings/profile", {"profile": "demo"}, etag)
    report_progress("moved service findings under it")


def _list_steps() -> list[Step]:
    dossier = DOSSIER.read_text(encoding="utf-8")
    status = {"certificate": CERTIFICATE}
    letter = {"certificate": CERTIFICATE, "importer": "Al Noor Foods"}
    return [
        Step(
            "draft a finding from a plant dossier",
            Call("findings", "draft_finding", dossier, 30, FINDING_TOKENS),
            lambda answer: is_expected_answer(dossier, FINDING_TOKENS, answer.tokens),
        ),
        Step(
            "check a certificate's status",
            Call("registry", "check_status", status, 10),
            lambda answer: _is_result_for(answer, status),
        ),
        Step(
            "pull a stamped letter",
            Call("registry", "issue_letter", letter, 10),
            lambda answer: _is_result_for(answer, letter) and "serial" in answer.result,
        ),
    ]


def _is_result_for(answer: Answer, input_value: dict[str, str]) -> bool:
    encoded = msgspec.json.encode(input_value).decode()
    result = answer.result
    return isinstance(result, dict) and (
        result.get("reference") == f"{digest_prompt(encoded):016x}"
    )


async def _run_steps(deployment: Deployment, report_progress: ProgressReporter) -> bool:
    account = SELLO_VERDE.accounts[0]
    seeds = deployment.list_frontends()[:1]
    succeeded = True
    async with Client(seeds, deployment.tokens[account]) as client:
        entry_list = await client.list_entry_hosts()
        if not isinstance(entry_list, Failure):
            shown = (
                f"{each.address} ({each.failure_domain})" for each in entry_list.hosts
            )
            report_progress(f"entry list for {account}: {', '.join(shown)}")
        for step in _list_steps():
            answer = await client.request(step.call)
            is_good = answer.is_complete and step.is_expected(answer)
            succeeded = succeeded and is_good
            _report_answer(step, answer, is_good, report_progress)
    return succeeded


def _report_answer(
    step: Step, answer: Answer, is_good: bool, report_progress: ProgressReporter
) -> None:
    report_progress(f"{step.title}: {'whole, its own' if is_good else 'NOT WHOLE'}")
    if not answer.is_complete:
        report_progress(f"  {answer.code.name}: {answer.reason}")
        return
    shown = answer.text or msgspec.json.encode(answer.result).decode()
    report_progress(f"  {' '.join(shown.split())[:160]}")
    summary = answer.summary
    report_progress(
        f"  ran on {summary.backend_server} in {summary.failure_domain} under "
        f"{summary.profile}, {summary.tokens} tokens, cost {summary.cost:.2g}"
    )
