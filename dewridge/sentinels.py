"""The value that functions return on an expected failure, with its reason."""

from dataclasses import dataclass

from dewridge.codes import CODE_TABLE, Outcome, ResultCode


@dataclass(frozen=True, slots=True)
class Failure:
    """A failed operation, returned instead of a result; detected with `isinstance`.

    Attributes:
        code: the numbered result code.
        reason: one human-readable line, without tokens, prompts or answers.
        retry_after: seconds after which a retry makes sense, if known.
    """

    code: ResultCode
    reason: str = ""
    retry_after: float | None = None

    @property
    def outcome(self) -> Outcome:
        """What the code states about the caller's request."""
        return CODE_TABLE[self.code].outcome

    @property
    def is_not_run(self) -> bool:
        """Whether no backend server has processed or will process the request."""
        return self.outcome is Outcome.NOT_RUN
