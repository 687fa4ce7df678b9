"""The committed documentation pages equal those generated from the code."""

import pytest

from dewridge.commands.options import STATUSES_HELP, ExitStatus
from dewridge.commands.pages import DOCS, PAGES, STATUS_MEANINGS


@pytest.mark.parametrize("name", list(PAGES))
def test_a_page_is_up_to_date(name: str) -> None:
    assert (DOCS / name).read_text() == PAGES[name]()


def test_every_exit_status_is_explained() -> None:
    assert set(STATUS_MEANINGS) == set(ExitStatus)
    assert all(f"{int(status)} " in STATUSES_HELP for status in ExitStatus)
