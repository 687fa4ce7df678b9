"""What can be wrong in a settings file."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """Something wrong at a place in the settings file.

    Attributes:
        path: place in the file, such as `accounts[1].name`; `$` is the whole.
        text: one plain line; never the value of a secret.
    """

    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.path}: {self.text}"
