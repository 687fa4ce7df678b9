"""Sentinel values that stand for a failure and carry its reason."""

from dataclasses import dataclass

from dewridge.codes import CODE_TABLE, Outcome, ResultCode


@dataclass(frozen=True, slots=True)
class Failure:
    """A result that could not be had; told apart by `isinstance`.

    Attributes:
        code: the numbered result code.
        reason: one plain line for people, without tokens, prompts or answers.
        retry_after: seconds until it makes sense to come back, if known.
    """

    code: ResultCode
    reason: str = ""
    retry_after: float | None = None

    @property
    def outcome(self) -> Outcome:
        """What the code says about the caller's request."""
        return CODE_TABLE[self.code].outcome

    @property
    def is_not_run(self) -> bool:
        """Whether this promises that no backend server worked on the request."""
        return self.outcome is Outcome.NOT_RUN
