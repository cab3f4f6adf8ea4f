"""What an experiment does, as a file of JSON with comments."""

import hashlib
import typing

import pydantic

from cardamomkeel.settings import process


class CallKind(process.Strict):
    """One kind of call.

    Attributes:
        service: The service to call.
        share: How many calls of all are of this kind, relative to others.
        method: The HTTP method.
        path: The path at the backend server.
        once: Whether each call gets an idempotency key of its own.
        deadline_ms: The deadline of each call.
        body_bytes: The size of the body.
    """

    service: str
    share: float = pydantic.Field(1.0, gt=0)
    method: typing.Literal["GET", "POST", "PUT", "DELETE"] = "GET"
    path: str = pydantic.Field("/", pattern="^/")
    once: bool = False
    deadline_ms: int = pydantic.Field(2000, ge=1)
    body_bytes: int = pydantic.Field(0, ge=0)


class Change(process.Strict):
    """Something that an operator does on the way; a new phase begins.

    Attributes:
        at_s: When, in seconds from the start.
        take_out: A data centre to take out.
        bring_back: A data centre to bring back.
        rate: Calls a second from then on.
    """

    at_s: float = pydantic.Field(gt=0)
    take_out: str = ""
    bring_back: str = ""
    rate: float | None = pydantic.Field(None, gt=0)

    @pydantic.model_validator(mode="after")
    def _check_one(self) -> "Change":
        values = [self.take_out, self.bring_back, self.rate]
        if sum(bool(value) for value in values) != 1:
            raise ValueError(
                "a change does one thing; name one of take_out, bring_back "
                "and rate"
            )
        return self

    def describe(self) -> str:
        """Returns the change in words."""
        if self.rate is not None:
            return f"{self.rate:g} calls/s"
        if self.take_out:
            return f"{self.take_out} out"
        return f"{self.bring_back} back"


class Plan(process.Strict):
    """A whole experiment.

    Attributes:
        name: What it is called in tables.
        seconds: How long it runs.
        rate: Calls a second at the start; they come whatever answers do.
        seed: Decides when which call is made.
        calls: The kinds of call.
        changes: What is done on the way.
    """

    name: str
    seconds: float = pydantic.Field(gt=0)
    rate: float = pydantic.Field(gt=0)
    seed: int = 1
    calls: tuple[CallKind, ...] = pydantic.Field(min_length=1)
    changes: tuple[Change, ...] = ()

    @pydantic.model_validator(mode="after")
    def _check_times(self) -> "Plan":
        times = [change.at_s for change in self.changes]
        if times != sorted(times):
            raise ValueError("changes are out of order; sort them by at_s")
        if times and times[-1] >= self.seconds:
            raise ValueError(
                f"a change comes at {times[-1]:g} s, after the end; raise "
                "seconds"
            )
        return self

    def digest(self) -> str:
        """Returns a hash that tells one plan from another."""
        return hashlib.sha256(self.model_dump_json().encode()).hexdigest()[:16]
