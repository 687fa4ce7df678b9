"""Declaration of settings, and the sections that all settings files have.

Separate from the schema of an entry host of the product's own interface, so that a
gateway does not create that schema's classes at each start.
"""

from dataclasses import dataclass, field
from typing import Any


def option(
    description: str,
    *,
    default: Any = None,
    required: bool = False,
    unit: str = "",
    low: float | None = None,
    high: float | None = None,
    choices: tuple[str, ...] = (),
    secret: bool = False,
) -> Any:
    """Declare a setting as a dataclass field.

    Args:
        description: one line for the operators' guide.
        default: value if the file omits the setting.
        required: whether the file must contain it.
        unit: unit of the value, shown in messages and in the guide.
        low: lower bound, inclusive.
        high: upper bound, inclusive.
        choices: the allowed values; empty if all are.
        secret: whether dumps and logs must omit the value.
    """
    metadata = {
        "description": description,
        "required": required,
        "unit": unit,
        "low": low,
        "high": high,
        "choices": choices,
        "secret": secret,
    }
    if isinstance(default, (list, dict, tuple)) or callable(default):
        factory = default if callable(default) else lambda: default
        return field(default_factory=factory, metadata=metadata)
    return field(default=default, metadata=metadata)


@dataclass(frozen=True)
class LogSettings:
    """Format and level of the logs."""

    format: str = option(
        "Form of the lines.", default="plain", choices=("plain", "json")
    )
    level: str = option(
        "Least level written.",
        default="info",
        choices=("debug", "info", "warning", "error"),
    )


@dataclass(frozen=True)
class SupervisionSettings:
    """Restarts of failed tasks, and state dumps."""

    restarts: int = option(
        "Restarts of one task within the window before its parent fails.",
        default=5,
        low=0,
        high=1000,
    )
    window: float = option(
        "The window for restarts.", default=60.0, unit="s", low=1, high=3600
    )
    dump_timeout: float = option(
        "Time that each part has to answer a dump.",
        default=1.0,
        unit="s",
        low=0.05,
        high=60,
    )
