"""Lists recent events for operators, in every process."""

import collections.abc
import dataclasses

from returns import result

from cardamomkeel import recent_events
from cardamomkeel.operators import app as app_lib
from cardamomkeel.operators import bodies
from cardamomkeel.settings import process
from cardamomkeel.state import history as history_lib


class HistoryRequest(process.Strict):
    """Words that events must contain to be listed; empty for all events."""

    about: str = ""


@dataclasses.dataclass(frozen=True)
class HistoryEvent:
    """One event of an answer.

    Attributes:
        age_ms: Time since the event.
        subject: What the event is about; empty for the answering process.
        message: What happened.
        times: Number of consecutive occurrences.
        index: Index of the log entry that caused the event; 0 for none.
    """

    age_ms: int
    subject: str
    message: str
    times: int = 1
    index: int = 0


@dataclasses.dataclass
class HistoryHandlers:
    """Lists the events that a process has recorded.

    Attributes:
        name: The name of the process.
        recent: Events of the process itself.
        replicated: History of the replicated state; None in processes
            without that state.
    """

    name: str
    recent: recent_events.RecentEvents
    replicated: history_lib.History | None = None

    def handlers(self) -> dict[str, app_lib.Handler]:
        """Returns the calls by path."""
        return {"/v1/history": self.list_events}

    async def list_events(self, body: app_lib.Body) -> result.Result:
        """Returns the events that contain the requested words."""
        validated = bodies.validate(HistoryRequest, body)
        if not isinstance(validated, result.Success):
            return validated
        about = validated.unwrap().about
        events = [*self._iter_own(about), *self._iter_replicated(about)]
        return result.Success(
            {
                "name": self.name,
                "events": [dataclasses.asdict(event) for event in events],
            }
        )

    def _iter_own(self, about: str) -> collections.abc.Iterator[HistoryEvent]:
        # The name of the process selects all of its own events.
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
