"""Tests the policies by name, and the validation of a published profile."""

from collections.abc import Collection
from pathlib import Path

from dewridge.configuration.model import LatencyTargets, PolicyChoice, Profile
from dewridge.ids import ProfileName
from dewridge.policy import admission, placement, recovery
from dewridge.policy.registry import (
    PolicyKind,
    check_profile,
    list_policies,
    resolve_policy,
)
from dewridge.tests.policy.builders import make_profile


def test_a_valid_profile_has_no_problems() -> None:
    assert check_profile(make_profile()) == []


def test_all_problems_are_reported_at_once_with_the_nearest_name() -> None:
    profile = Profile(
        name=ProfileName("p"),
        placement=PolicyChoice("cost_awere"),
        admission=PolicyChoice("fair", {"queue_second": 3, "background_share": 2}),
        recovery=PolicyChoice("resume", {"attempts": float("nan")}),
        targets=LatencyTargets(first_token=-1),
    )
    problems = check_profile(profile)
    assert [problem.split(":")[0] for problem in problems] == [
        "placement.name",
        "admission.parameters.queue_second",
        "admission.parameters.background_share",
        "recovery.parameters.attempts",
        "targets.first_token",
    ]
    assert "did you mean 'cost_aware'?" in problems[0]
    assert "did you mean 'queue_seconds'?" in problems[1]


def test_each_policy_can_be_made_and_each_kind_has_a_baseline() -> None:
    makers: dict[PolicyKind, Collection[str]] = {
        PolicyKind.PLACEMENT: placement.MAKERS,
        PolicyKind.ADMISSION: admission.MAKERS,
        PolicyKind.RECOVERY: recovery.MAKERS,
    }
    for kind, known in makers.items():
        specs = [spec for spec in list_policies() if spec.kind is kind]
        assert {spec.name for spec in specs} == set(known)
        assert {spec.is_baseline for spec in specs} == {True, False}


def test_the_page_of_policies_lists_each_with_its_parameters() -> None:
    page = (Path(__file__).parents[3] / "docs" / "policies.md").read_text()
    for spec in list_policies():
        assert f"### `{spec.name}`\n\n{spec.description}" in page
        for parameter in spec.parameters:
            unit = f" {parameter.unit}" if parameter.unit else ""
            row = (
                f"| `{parameter.name}` | {parameter.description} "
                f"| {parameter.default:g}{unit} "
                f"| {parameter.low:g} to {parameter.high:g}{unit} |"
            )
            assert row in page, parameter.name


def test_a_policy_of_a_newer_release_does_not_stop_an_older_host() -> None:
    # During a rolling upgrade an operator may publish a policy that hosts still to be
    # upgraded do not know. They continue with the default.
    spec, parameters = resolve_policy(
        PolicyKind.RECOVERY, PolicyChoice("newer", {"attempts": 1e9})
    )
    assert spec.name == "resume"
    assert parameters["attempts"] == 100
