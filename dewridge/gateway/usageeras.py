"""First usage window that may be summed in an era of the store.

A restore can lose the sum of a window that was reported. To a host that has not seen
that sum, the restored store looks as if the window had never been summed. So the holder
of the duties stores, for each era, the first window that no host can have reported
before. A host that starts later reads it there.
"""

from collections.abc import Callable
from typing import Annotated

import msgspec
from loguru import logger as log

from dewridge.codes import ResultCode
from dewridge.decoding import MAX_COUNT, Count, decode_json
from dewridge.gateway.hosts import SYSTEM_PREFIX
from dewridge.platform.store import Item, Store, Write
from dewridge.sentinels import Failure

USAGE_ERA_KEY = SYSTEM_PREFIX + "usage-era"
NO_ERA = 0
"""The era of a store that names none, and so is never restored from a copy."""


class UsageEra(msgspec.Struct, frozen=True):
    """Entry that says which windows may be summed in an era.

    Attributes:
        era: era of the store in which the entry was written. An entry of an earlier era
            was restored, and says nothing of what was reported since it was written.
        first_window: first window that was not summed in an earlier era.
    """

    era: Count
    first_window: Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]


async def settle_era(
    store: Store, find_first_window: Callable[[], int]
) -> UsageEra | None:
    """Store the first window of the current era, unless another host has done so.

    Args:
        store: the store.
        find_first_window: returns the first window that was not reported in an earlier
            era, as far as this host can tell.

    Returns:
        The entry of the current era; None if it is not known yet.
    """
    item = await store.read(USAGE_ERA_KEY)
    if isinstance(item, Failure):
        return None
    era = store.era.number
    if era == NO_ERA:
        return UsageEra(NO_ERA, -MAX_COUNT)
    known = None if item is None else decode_json(item.value, UsageEra)
    if isinstance(known, UsageEra) and known.era == era:
        return known
    first_window = find_first_window()
    entry = UsageEra(era, first_window)
    result = await store.change(
        expected={USAGE_ERA_KEY: item.revision if isinstance(item, Item) else 0},
        writes=(Write(USAGE_ERA_KEY, msgspec.json.encode(entry)),),
    )
    if not isinstance(result, int):
        if result.code is not ResultCode.KEY_VALUE_CONFLICT:
            log.bind(era=era, reason=result.reason).info("usage era not stored")
        return None
    if store.era.number != era:
        # The entry names an earlier era than the one in which it was written.
        return None
    log.bind(era=era, first_window=first_window).info("usage era stored")
    return entry
