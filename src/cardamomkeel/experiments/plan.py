"""The plan of an experiment, read from a file of JSON with comments."""

import hashlib
import typing

import pydantic

from cardamomkeel.settings import process


class CallKind(process.Strict):
    """One kind of call.

    Attributes:
        service: The service to call.
        share: The relative frequency of this kind among all calls.
        method: The HTTP method.
        path: The path at the backend server.
        once: Whether each call has its own idempotency key.
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
    """A change during the run, which begins a new phase.

    Exactly one of `take_out`, `bring_back` and `rate` is set.

    Attributes:
        at_s: Time of the change, in seconds from the start.
        take_out: A data centre to take out.
        bring_back: A data centre to bring back.
        rate: The new rate, in calls per second.
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
        """Returns a short description of the change."""
        if self.rate is not None:
            return f"{self.rate:g} calls/s"
        if self.take_out:
            return f"{self.take_out} out"
        return f"{self.bring_back} back"


class Plan(process.Strict):
    """A complete experiment.

    Attributes:
        name: The name in tables.
        seconds: The duration of the run.
        rate: Calls per second at the start, independent of the answers.
        seed: Seeds the random times and kinds of the calls.
        calls: The kinds of call.
        changes: Changes during the run, in order of time.
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
        """Returns a hash of the plan's contents."""
        return hashlib.sha256(self.model_dump_json().encode()).hexdigest()[:16]
