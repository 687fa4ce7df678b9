"""Tests of a gateway beside crowds of clients that don't keep to the protocol."""

from collections.abc import Iterator
from pathlib import Path

import pytest
import trio

from dewridge.tests.crowds.clients import (
    Crowd,
    Script,
    ask_in_turn,
    ask_once,
    make_chunks,
    make_head,
    make_pieces,
)
from dewridge.tests.crowds.stage import (
    BODY_LIMIT,
    HOLDING_PATH,
    LARGE_PATH,
    ORDINARY_PATH,
    CrowdStage,
    open_stage,
)

pytestmark = pytest.mark.timeout(180)

ORDINARY_REQUESTS = 6
"""Requests that are sent once each while a crowd comes back again and again."""
FEW_DESCRIPTORS = 1_024
LISTENERS = ("callers", "readiness", "directory", "operations", "peers")
MANY_HEADERS = [f"{chr(97 + number % 26)}:" for number in range(3_200)]
"""Headers of four bytes each, which nearly fill a head of 16 KiB."""


def stop_short(number: int) -> Iterator[bytes]:
    """Send a body of the limit but for its last byte."""
    yield make_head(HOLDING_PATH, number, f"Content-Length: {BODY_LIMIT}")
    yield from make_pieces(BODY_LIMIT - 1)


def stop_short_in_chunks(number: int) -> Iterator[bytes]:
    """Send a body of almost the limit in large chunks, without its end."""
    yield make_head(HOLDING_PATH, number, "Transfer-Encoding: chunked")
    yield from make_chunks(BODY_LIMIT - 1, 60_000)


def announce_too_much(number: int) -> Iterator[bytes]:
    """Announce sixteen times the limit, and send it."""
    yield make_head(HOLDING_PATH, number, f"Content-Length: {16 * BODY_LIMIT}")
    yield from make_pieces(16 * BODY_LIMIT)


def send_too_much(number: int) -> Iterator[bytes]:
    """Send sixteen times the limit in one chunk that says nothing about it."""
    yield make_head(HOLDING_PATH, number, "Transfer-Encoding: chunked")
    yield from make_chunks(16 * BODY_LIMIT, 60_000)


def send_whole(number: int) -> Iterator[bytes]:
    """Send a whole request of the limit, whose answer takes its time."""
    yield make_head(HOLDING_PATH, number, f"Content-Length: {BODY_LIMIT}")
    yield from make_pieces(BODY_LIMIT)


def send_tiny_headers(number: int) -> Iterator[bytes]:
    """Send a head of tiny headers, and no body."""
    yield make_head(HOLDING_PATH, number, "Content-Length: 1", *MANY_HEADERS)


def send_half_head(number: int) -> Iterator[bytes]:
    """Send a head that stops in the middle."""
    yield make_head(ORDINARY_PATH, number)[:-10]


def send_nothing(number: int) -> Iterator[bytes]:
    """Send nothing."""
    yield b""


def send_tiny_chunks(number: int) -> Iterator[bytes]:
    """Send a body of the limit in chunks of two bytes."""
    yield make_head(ORDINARY_PATH, number, "Transfer-Encoding: chunked")
    yield from make_chunks(BODY_LIMIT, 2)


def ignore_answer(number: int) -> Iterator[bytes]:
    """Ask for a large answer that is not read."""
    yield make_head(LARGE_PATH, number)


def pipeline(number: int) -> Iterator[bytes]:
    """Send further requests while the first one waits for its answer."""
    yield make_head(HOLDING_PATH, number)
    yield make_head(HOLDING_PATH, number) * 400


async def face_crowd(stage: CrowdStage, crowd: Crowd) -> None:
    """Check the gateway while a crowd is there, and after it has left."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(crowd.run)
        await crowd.wait_settled()
        if crowd.comes_back:
            await ask_in_turn(
                stage.get_address("callers"), ORDINARY_PATH, ORDINARY_REQUESTS
            )
        await stage.check_service()
        await stage.check_other_listeners()
        stage.check()
        nursery.cancel_scope.cancel()
    await stage.check_service()
    await stage.check_other_listeners()
    stage.check()


@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize("script", [stop_short, stop_short_in_chunks])
async def test_bodies_without_an_end_end_no_process(
    tmp_path: Path, listener: str, script: Script
) -> None:
    """Guards against memory for many bodies that stop just short of their end."""
    async with open_stage(tmp_path) as stage:
        await face_crowd(stage, Crowd(stage.get_address(listener), script, 120))


@pytest.mark.parametrize("script", [announce_too_much, send_too_much])
async def test_bodies_far_over_the_limit_end_no_process(
    tmp_path: Path, script: Script
) -> None:
    """Guards against memory for bodies that are refused anyway."""
    async with open_stage(tmp_path) as stage:
        await face_crowd(stage, Crowd(stage.get_address("callers"), script, 120))


async def test_whole_bodies_that_wait_end_no_process(tmp_path: Path) -> None:
    """Guards against memory for many requests inside the limit at once."""
    async with open_stage(tmp_path) as stage:
        await face_crowd(stage, Crowd(stage.get_address("callers"), send_whole, 150))


@pytest.mark.parametrize("listener", LISTENERS)
async def test_heads_of_tiny_headers_end_no_process(
    tmp_path: Path, listener: str
) -> None:
    """Guards against heads that take many times their size in memory."""
    async with open_stage(tmp_path) as stage:
        await face_crowd(
            stage, Crowd(stage.get_address(listener), send_tiny_headers, 700)
        )


@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize("script", [send_half_head, send_nothing])
async def test_connections_without_a_request_shut_nobody_out(
    tmp_path: Path, listener: str, script: Script
) -> None:
    """Guards against a crowd that takes all connections and asks for nothing."""
    async with open_stage(tmp_path, FEW_DESCRIPTORS) as stage:
        address = stage.get_address(listener)
        await face_crowd(stage, Crowd(address, script, 700, comes_back=True))


async def test_tiny_chunks_keep_nobody_waiting(tmp_path: Path) -> None:
    """Guards against a process that only parses chunks of two bytes."""
    async with open_stage(tmp_path) as stage:
        address = stage.get_address("callers")
        await face_crowd(stage, Crowd(address, send_tiny_chunks, 40, comes_back=True))


async def test_answers_that_are_not_read_end_no_process(tmp_path: Path) -> None:
    """Guards against memory for answers whose callers do not read."""
    async with open_stage(tmp_path) as stage:
        address = stage.get_address("callers")
        await face_crowd(stage, Crowd(address, ignore_answer, 120, pause=0.04))


async def test_bodies_of_peers_with_the_key_end_no_process(tmp_path: Path) -> None:
    """Guards against memory for the bodies of many relayed requests."""
    async with open_stage(tmp_path) as stage:
        key = stage.find_relay_key()

        def send(number: int) -> Iterator[bytes]:
            fields = (
                f"dewridge-key: {key}",
                "dewridge-sender: host-9",
                "dewridge-server: s-1",
                "dewridge-call: request",
                f"Content-Length: {BODY_LIMIT}",
            )
            yield make_head(HOLDING_PATH, number, *fields)
            yield from make_pieces(BODY_LIMIT - number % 2)

        await face_crowd(stage, Crowd(stage.get_address("peers"), send, 120))


async def test_crowds_of_all_kinds_together_end_no_process(tmp_path: Path) -> None:
    """Guards against bounds that each hold and together exceed the machine."""
    async with open_stage(tmp_path) as stage, trio.open_nursery() as nursery:
        callers = stage.get_address("callers")
        crowds = [
            Crowd(callers, ignore_answer, 40, pause=0.04),
            Crowd(callers, send_whole, 40),
            Crowd(callers, stop_short_in_chunks, 60),
            Crowd(callers, send_tiny_headers, 200),
            Crowd(callers, pipeline, 100),
            Crowd(callers, send_half_head, 400, comes_back=True),
            Crowd(callers, send_tiny_chunks, 10, comes_back=True),
            *(Crowd(stage.get_address(name), stop_short, 60) for name in LISTENERS[1:]),
        ]
        for crowd in crowds:
            nursery.start_soon(crowd.run)
        for crowd in crowds:
            await crowd.wait_settled()
        await stage.check_service()
        await stage.check_other_listeners()
        stage.check()
        nursery.cancel_scope.cancel()


async def test_pipelined_input_ends_no_process(tmp_path: Path) -> None:
    """Guards against memory for requests that are sent before their turn."""
    async with open_stage(tmp_path) as stage:
        await face_crowd(stage, Crowd(stage.get_address("callers"), pipeline, 250))


async def test_a_request_at_the_limit_is_served_in_calm(tmp_path: Path) -> None:
    """Guards against limits that a client inside the configured ones meets."""
    async with open_stage(tmp_path) as stage:
        address = stage.get_address("callers")
        answer = await ask_once(address, ORDINARY_PATH, bytes(BODY_LIMIT), "largest")
        assert answer is not None
        assert answer.status == 200
        answer = await ask_once(address, ORDINARY_PATH, bytes(BODY_LIMIT + 1), "over")
        assert answer is None or answer.status in (0, 413)
        stage.check()
