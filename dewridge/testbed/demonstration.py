"""The main job from end to end: three calls through a deployment on loopback."""

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


@dataclass(frozen=True)
class Step:
    """One call of the demonstration, and how its answer is checked."""

    title: str
    call: Call
    is_expected: Callable[[Answer], bool]


async def run_demonstration(tell: ProgressReporter) -> bool:
    """Run the main job and tell what happens; True if every answer was whole."""
    began = time.monotonic()
    async with open_deployment(SELLO_VERDE, OPTIONS, tell) as deployment:
        tell(f"up after {time.monotonic() - began:.1f} s")
        await _move_service(deployment, tell)
        good = await _make_calls(deployment, tell)
        for host in deployment.hosts:
            megabytes = host.process.read_resident_memory() / 1e6
            tell(f"{host.name} in {host.failure_domain}: {megabytes:.0f} MB resident")
    tell(f"{'done' if good else 'FAILED'} after {time.monotonic() - began:.1f} s")
    return good


async def _move_service(deployment: Deployment, tell: ProgressReporter) -> None:
    """Publish one more profile and move the findings under it."""
    base = SELLO_VERDE.profiles[0]
    profile = {**base, "name": "demo", "placement": {"name": "balanced"}}
    await deployment.put("/v1/profiles/demo", profile)
    tell("published profile demo")
    etag = await deployment.read_etag("/v1/services/findings")
    await deployment.put("/v1/services/findings/profile", {"profile": "demo"}, etag)
    tell("moved service findings under it")


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
            lambda answer: _refers_to(answer, status),
        ),
        Step(
            "pull a stamped letter",
            Call("registry", "issue_letter", letter, 10),
            lambda answer: _refers_to(answer, letter) and "serial" in answer.result,
        ),
    ]


def _refers_to(answer: Answer, asked: dict[str, str]) -> bool:
    sent = msgspec.json.encode(asked).decode()
    result = answer.result
    return isinstance(result, dict) and (
        result.get("reference") == f"{digest_prompt(sent):016x}"
    )


async def _make_calls(deployment: Deployment, tell: ProgressReporter) -> bool:
    account = SELLO_VERDE.accounts[0]
    seeds = deployment.list_frontends()[:1]
    good = True
    async with Client(seeds, deployment.tokens[account]) as client:
        listed = await client.list_entry_hosts()
        if not isinstance(listed, Failure):
            shown = (f"{each.address} ({each.failure_domain})" for each in listed.hosts)
            tell(f"entry list for {account}: {', '.join(shown)}")
        for step in _list_steps():
            answer = await client.request(step.call)
            is_good = answer.is_whole and step.is_expected(answer)
            good = good and is_good
            _tell_answer(step, answer, is_good, tell)
    return good


def _tell_answer(
    step: Step, answer: Answer, is_good: bool, tell: ProgressReporter
) -> None:
    tell(f"{step.title}: {'whole, its own' if is_good else 'NOT WHOLE'}")
    if not answer.is_whole:
        tell(f"  {answer.code.name}: {answer.reason}")
        return
    shown = answer.text or msgspec.json.encode(answer.result).decode()
    tell(f"  {' '.join(shown.split())[:160]}")
    summary = answer.summary
    tell(
        f"  ran on {summary.backend_server} in {summary.failure_domain} under "
        f"{summary.profile}, {summary.tokens} tokens, cost {summary.cost:.2g}"
    )
