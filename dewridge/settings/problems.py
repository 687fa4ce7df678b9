"""Problems found in a settings file."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """An error or a warning about a value in the settings file.

    Attributes:
        path: location in the file, such as `accounts[1].name`; `$` is the document.
        text: one line that never contains the value of a secret.
    """

    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.path}: {self.text}"
