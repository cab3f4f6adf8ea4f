"""Answers what has happened lately, in every process."""

import collections.abc
import dataclasses

from returns import result

from cardamomkeel import recent_events
from cardamomkeel.operators import app as app_lib
from cardamomkeel.operators import bodies
from cardamomkeel.settings import process
from cardamomkeel.state import history as history_lib


class HistoryRequest(process.Strict):
    """Which events to tell: those that hold some words, or all."""

    about: str = ""


@dataclasses.dataclass(frozen=True)
class HistoryEvent:
    """One event, as it is told.

    Attributes:
        age_ms: How long ago it happened.
        subject: What it is about; empty for the process that tells it.
        message: What happened.
        times: How often it happened in a row.
        index: The log entry that it followed from; 0 for none.
    """

    age_ms: int
    subject: str
    message: str
    times: int = 1
    index: int = 0


@dataclasses.dataclass
class HistoryCalls:
    """Tells what a process knows of the past.

    Attributes:
        name: The name of the process.
        recent: What the process itself has noted.
        replicated: What the replicated state has gone through; None in
            processes that don't hold it.
    """

    name: str
    recent: recent_events.RecentEvents
    replicated: history_lib.History | None = None

    def handlers(self) -> dict[str, app_lib.Handler]:
        """Returns the calls by path."""
        return {"/v1/history": self.list_events}

    async def list_events(self, body: app_lib.Body) -> result.Result:
        """Returns the events that hold some words."""
        asked = bodies.validate(HistoryRequest, body)
        if not isinstance(asked, result.Success):
            return asked
        about = asked.unwrap().about
        told = [*self._iter_own(about), *self._iter_replicated(about)]
        return result.Success(
            {"name": self.name, "events": [dataclasses.asdict(t) for t in told]}
        )

    def _iter_own(self, about: str) -> collections.abc.Iterator[HistoryEvent]:
        # What is asked of a process by its name is all that it noted.
        words = "" if about == self.name else about
        for event in self.recent.iter_matching(words):
            age_ms = int(self.recent.age_ms(event))
            yield HistoryEvent(age_ms, "", event.message, event.times)

    def _iter_replicated(
        self, about: str
    ) -> collections.abc.Iterator[HistoryEvent]:
        if self.replicated is None:
            return
        for change in self.replicated.iter_matching(about):
            age_ms = int(self.replicated.age_ms(change))
            yield HistoryEvent(
                age_ms, change.subject, change.message, index=change.index
            )
