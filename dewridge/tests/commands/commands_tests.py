"""The command line: exit statuses, one-line errors and JSON output."""

import json
from pathlib import Path
from typing import Any

import pytest
import trio

from dewridge.__main__ import run
from dewridge.codes import ResultCode
from dewridge.commands.options import ExitStatus
from dewridge.ids import Generation
from dewridge.requests.model import AnswerEvent, AnswerSummary, EndedEvent, TokensEvent
from dewridge.sentinels import Failure
from dewridge.tests.frontend.fakes import (
    AUDITOR,
    OPERATOR,
    FakeRequests,
    run_frontend,
)

EXAMPLES = Path(__file__).parents[3] / "examples"
SCRIPT: list[AnswerEvent | float] = [
    TokensEvent(Generation(1), 0, ("Minor", " finding")),
    EndedEvent(ResultCode.OK, summary=AnswerSummary(tokens=2, cost=0.2)),
]


@pytest.fixture
def cli(monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> Any:
    """Return a function that runs a command line.

    It returns the exit status, standard output and standard error.
    """

    def call(*arguments: str, token: str = AUDITOR) -> tuple[int, str, str]:
        monkeypatch.setenv("DEWRIDGE_TOKEN", token)
        monkeypatch.setattr("sys.argv", ["dewridge", *arguments])
        with pytest.raises(SystemExit) as exited:
            run()
        out, err = capsys.readouterr()
        return int(exited.value.code or 0), out, err

    return call


@pytest.mark.parametrize(
    "line",
    [
        "no-such-command",
        "request",
        "request findings draft_finding -a 127.0.0.1:1",
        "request findings draft_finding -a 127.0.0.1:1 -d {",
        "request findings draft_finding -a nowhere -t x",
        "request findings draft_finding -a 127.0.0.1:1 -t x --key 7",
        "request findings draft_finding -a 127.0.0.1:1 -f /no/such/file",
        "profile publish /no/such/file -a 127.0.0.1:1",
        "profile revise x -a 127.0.0.1:1",
        "entry-hosts -a 127.0.0.1:1 --token-file /no/such/file",
        "check-settings /no/such/file",
        "codes 12345",
    ],
)
def test_a_usage_error_prints_one_line(cli: Any, line: str) -> None:
    status, out, err = cli(*line.split())
    assert status == ExitStatus.USAGE
    assert out == ""
    assert len(err.splitlines()) == 1


def test_codes_and_settings_are_printed_as_json(cli: Any) -> None:
    status, out, _ = cli("codes", "201", "--json")
    assert (status, json.loads(out)[0]["name"]) == (0, "QUEUE_FULL")
    status, out, _ = cli("check-settings", str(EXAMPLES / "karoo.json"), "--json")
    assert (status, json.loads(out)) == (0, {"errors": [], "warnings": []})


async def test_a_request_prints_its_answer(cli: Any) -> None:
    async with run_frontend(FakeRequests(SCRIPT)) as frontend:
        line = ["request", "findings", "draft_finding", "-a", frontend.address]
        dossier = str(EXAMPLES / "plant-dossier.txt")

        def call(*more: str) -> tuple[int, str, str]:
            result: tuple[int, str, str] = cli(*line, "--file", dossier, *more)
            return result

        plain = await trio.to_thread.run_sync(call)
        as_json = await trio.to_thread.run_sync(call, "--json")
    assert plain[:2] == (0, "Minor finding\n")
    document = json.loads(as_json[1])
    assert (document["text"], document["outcome"]) == ("Minor finding", "done")
    assert document["summary"]["cost"] == 0.2


async def test_exit_statuses_distinguish_outcomes(cli: Any) -> None:
    requests = FakeRequests(SCRIPT)
    async with run_frontend(requests) as frontend:
        line = ("request", "findings", "draft_finding", "-t", "x")

        async def call(token: str, address: str = frontend.address) -> int:
            def run_line() -> int:
                status: int = cli(
                    *line, "-a", address, "--deadline", "0.5", token=token
                )[0]
                return status

            return await trio.to_thread.run_sync(run_line)

        assert await call("nobody") == ExitStatus.REFUSED
        assert await call(AUDITOR, "127.0.0.1:1") == ExitStatus.UNREACHABLE
        requests.rejection = Failure(ResultCode.QUEUE_FULL, "full", 9.0)
        assert await call(AUDITOR) == ExitStatus.NOT_RUN
        requests.rejection = None
        requests.script = [EndedEvent(ResultCode.OUTCOME_UNKNOWN)]
        assert await call(AUDITOR) == ExitStatus.UNKNOWN
        requests.script = [EndedEvent(ResultCode.ATTEMPTS_EXHAUSTED)]
        assert await call(AUDITOR) == ExitStatus.FAILED


async def test_operators_publish_revise_and_move(cli: Any) -> None:
    # Two operators revise the same profile. The second gets the exit status for a
    # conflict, and can read the new revision and redo the change.
    async with run_frontend(FakeRequests()) as frontend:

        async def call(line: str) -> tuple[int, str, str]:
            words = [*line.split(), "-a", frontend.address]

            def run_line() -> tuple[int, str, str]:
                result: tuple[int, str, str] = cli(*words, token=OPERATOR)
                return result

            return await trio.to_thread.run_sync(run_line)

        profile = EXAMPLES / "profiles" / "drafting.json"
        assert await call(f"profile publish {profile}") == (
            0,
            "drafting is at revision 4\n",
            "",
        )
        assert (await call(f"profile publish {profile}"))[0] == ExitStatus.CONFLICT
        assert (await call(f"profile revise {profile} -r 4"))[0] == 0
        second = await call(f"profile revise {profile} -r 4")
        assert second[0] == ExitStatus.CONFLICT
        assert len(second[2].splitlines()) == 1
        assert "drafting" in (await call("profile list"))[1]
        assert json.loads((await call("profile show drafting"))[1])["name"]
        assert "tokens" in (await call("profile report drafting"))[1]
        assert (await call("service move findings drafting -r 2"))[0] == 0
        assert "findings" in (await call("service list"))[1]
        portal = EXAMPLES / "services" / "portal.json"
        assert (await call(f"service publish {portal}"))[0] == 0
        assert (await call("profile retire drafting -r 5"))[0] == 0
        dump = json.loads((await call("dump"))[1])
        assert dump[frontend.address]["missing"] == {}
