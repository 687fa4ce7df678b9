"""Tests of whom a process gives up when clients make it hold too much."""

from dewridge.policy.memorybudget import (
    INPUT_SHARE,
    LARGE_INPUT_SHARE,
    PROGRESS_BYTES,
    SMALL_BYTES,
    ConnectionPlaces,
    ConnectionStage,
    ConnectionUse,
    MemoryBudget,
    Room,
)

LIMIT = 100_000_000
MEGABYTE = 1_000_000


def make_use(
    closed: list[str],
    name: str,
    stage: ConnectionStage = ConnectionStage.READING,
    at: float = 0.0,
    *,
    may_close: bool = True,
) -> ConnectionUse:
    """Return a connection that notes its name when it is closed."""

    def close() -> bool:
        if may_close:
            closed.append(name)
        return may_close

    return ConnectionUse(close, stage=stage, advanced_at=at)


def test_what_holds_most_and_moves_least_is_closed_first() -> None:
    """Guards against uploads that are cut for bodies that have stopped."""
    closed: list[str] = []
    budget = MemoryBudget(LIMIT)
    uses = {
        "moving": make_use(closed, "moving", at=9.9),
        "small": make_use(closed, "small"),
        "large": make_use(closed, "large"),
        "later": make_use(closed, "later", at=9.0),
    }
    for name, megabytes in {"moving": 20, "small": 2, "large": 10, "later": 10}.items():
        assert budget.reserve(uses[name], megabytes * MEGABYTE, 10.0)
    assert budget.reserve(make_use(closed, "new"), 10 * MEGABYTE, 10.0)
    assert closed == ["large"]
    assert budget.used == 42 * MEGABYTE


def test_nothing_that_moves_is_closed() -> None:
    """Guards against uploads that cut each other, so that none completes."""
    closed: list[str] = []
    budget = MemoryBudget(LIMIT)
    for number in range(4):
        use = make_use(closed, str(number), at=10.0)
        assert budget.reserve(use, 11 * MEGABYTE, 10.0)
    assert not budget.reserve(make_use(closed, "new", at=10.0), 2 * MEGABYTE, 10.1)
    assert closed == []
    assert budget.refused == 1


def test_a_request_that_is_served_is_never_closed() -> None:
    """Guards against a request that is cut although a server may run it."""
    closed: list[str] = []
    budget = MemoryBudget(LIMIT)
    use = make_use(closed, "served", ConnectionStage.SERVING)
    assert budget.reserve(use, 45 * MEGABYTE, 0.0)
    assert not budget.reserve(make_use(closed, "new"), MEGABYTE, 60.0)
    assert closed == []


def test_small_requests_keep_a_reserve() -> None:
    """Guards against large bodies that leave nothing for small requests."""
    budget = MemoryBudget(LIMIT)
    large = make_use([], "large", ConnectionStage.SERVING)
    assert budget.reserve(large, round(LIMIT * LARGE_INPUT_SHARE), 0.0)
    assert not budget.reserve(make_use([], "large too"), SMALL_BYTES + 1, 0.0)
    small = round(LIMIT * (INPUT_SHARE - LARGE_INPUT_SHARE)) // SMALL_BYTES
    for _ in range(small):
        use = make_use([], "small", ConnectionStage.SERVING)
        assert budget.reserve(use, SMALL_BYTES, 0.0)
    assert not budget.reserve(make_use([], "small too"), SMALL_BYTES, 0.0)
    assert budget.used <= LIMIT - budget.answer_limit


def test_what_is_given_back_can_be_used_again() -> None:
    """Guards against a budget that shrinks with each connection."""
    budget = MemoryBudget(LIMIT)
    for _ in range(1_000):
        use = make_use([], "one")
        assert budget.reserve(use, 10 * MEGABYTE, 0.0)
        budget.release(use, 4 * MEGABYTE)
        assert budget.reserve(use, MEGABYTE, 0.0)
        budget.remove(use)
    assert budget.used == 0


def test_single_bytes_are_no_progress() -> None:
    """Guards against a client that keeps its place by a byte now and then."""
    use = make_use([], "slow", at=0.0)
    for tenth in range(100):
        use.advance(1, tenth / 10)
    assert use.is_stalled(10.0)
    use.advance(PROGRESS_BYTES, 10.0)
    assert not use.is_stalled(10.0)


def test_unfinished_requests_lose_their_places_before_idle_connections() -> None:
    """Guards against kept connections that are closed for those of a crowd."""
    closed: list[str] = []
    places = ConnectionPlaces("callers", 4)
    for stage in (
        ConnectionStage.SERVING,
        ConnectionStage.IDLE,
        ConnectionStage.NEW,
        ConnectionStage.READING,
    ):
        places.add(make_use(closed, stage.value, stage))
    for _ in range(3):
        assert places.make_room(10.0) is Room.FREE
        places.add(make_use(closed, "served", ConnectionStage.SERVING))
    assert closed == ["reading", "new", "idle"]
    assert places.make_room(20.0) is Room.FULL
    assert places.closed == 3


def test_a_new_connection_waits_until_another_has_stalled() -> None:
    """Guards against connections that are closed before their request can come."""
    closed: list[str] = []
    places = ConnectionPlaces("callers", 1)
    places.add(make_use(closed, "new", ConnectionStage.NEW, at=10.0))
    assert places.make_room(10.1) is Room.SOON
    assert closed == []
    assert places.make_room(10.6) is Room.FREE
    assert closed == ["new"]


def test_a_connection_with_unread_input_keeps_its_place() -> None:
    """Guards against a request that is lost since the process was too busy to read."""
    closed: list[str] = []
    places = ConnectionPlaces("callers", 2)
    busy = make_use(closed, "busy", ConnectionStage.IDLE, may_close=False)
    places.add(busy)
    places.add(make_use(closed, "served", ConnectionStage.SERVING))
    assert places.make_room(10.0) is Room.SOON
    assert len(places) == 2


def test_a_small_listener_gives_up_stalled_connections_sooner() -> None:
    """Guards against operators who wait behind a crowd that sends nothing."""
    closed: list[str] = []
    places = ConnectionPlaces("operations", 1, patience=0.2)
    places.add(make_use(closed, "new", ConnectionStage.NEW, at=10.0))
    assert places.make_room(10.05) is Room.SOON
    assert places.make_room(10.11) is Room.FREE
    assert closed == ["new"]
