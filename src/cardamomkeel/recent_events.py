"""What a process has logged lately, for operators who ask what happened."""

import collections
import collections.abc
import dataclasses
import typing

from cardamomkeel import clock

# A bound for memory: some hundred bytes each.
MAX_EVENTS = 2000
# The same event is counted, not kept again, for so long after the first.
MERGE_WINDOW_MS = 10_000.0
# Lines about single requests are told by `explain` instead.
REQUEST_FIELD = "request_id"
# Fields that every line has.
COMMON_FIELDS = ("process_name", "line")


@dataclasses.dataclass
class Event:
    """One thing that happened, or the same thing several times in a row.

    Attributes:
        message: What happened.
        at: When it happened first, on the local clock.
        times: How often it happened.
    """

    message: str
    at: clock.Millis
    times: int = 1


class RecentEvents:
    """The newest events, up to a bounded number."""

    def __init__(self, clk: clock.Clock, max_events: int = MAX_EVENTS):
        self._clock = clk
        self._events: collections.deque[Event] = collections.deque(
            maxlen=max_events
        )
        self._latest_by_message: dict[str, Event] = {}

    def write(self, line: typing.Any) -> None:
        """Takes a line of the log, as loguru passes it on."""
        fields = line.record["extra"]
        if REQUEST_FIELD in fields:
            return
        field_texts = [
            f"{name}={value}"
            for name, value in fields.items()
            if name not in COMMON_FIELDS
        ]
        self.add(" ".join([line.record["message"], *field_texts]))

    def add(self, message: str) -> None:
        """Adds an event, or counts it where it is one of a row."""
        now = self._clock.now()
        latest = self._latest_by_message.get(message)
        if latest is not None and now - latest.at < MERGE_WINDOW_MS:
            latest.times += 1
            return
        if len(self._events) == self._events.maxlen:
            self._remove_from_index(self._events[0])
        event = Event(message, now)
        self._events.append(event)
        self._latest_by_message[message] = event

    def _remove_from_index(self, event: Event) -> None:
        if self._latest_by_message.get(event.message) is event:
            del self._latest_by_message[event.message]

    def age_ms(self, event: Event) -> clock.Millis:
        """Returns how long ago an event happened first."""
        return self._clock.now() - event.at

    def iter_matching(self, text: str = "") -> collections.abc.Iterator[Event]:
        """Yields the events whose message holds some words."""
        return (event for event in self._events if text in event.message)


# Of this process, as loguru's logger is.
RECENT = RecentEvents(clock.MonotonicClock())
