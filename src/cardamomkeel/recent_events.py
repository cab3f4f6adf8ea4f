"""Keeps the newest log lines of a process in memory, for operators."""

import collections
import collections.abc
import dataclasses
import typing

from cardamomkeel import clock

# Bounds memory: an event takes some hundred bytes.
MAX_EVENTS = 2000
# For this long after an event, the same event is counted, not kept again.
MERGE_WINDOW_MS = 10_000.0
# Lines with this field are about one request; `explain` reports them.
REQUEST_FIELD = "request_id"
# Fields of every line, which are left out of the message of an event.
COMMON_FIELDS = ("process_name", "line")


@dataclasses.dataclass
class Event:
    """A log line, or the same line several times within a short time.

    Attributes:
        message: The message of the line with its fields.
        at: When the line was first logged, on the local clock.
        times: How often the line was logged.
    """

    message: str
    at: clock.Millis
    times: int = 1


class RecentEvents:
    """The newest events, up to a maximum number."""

    def __init__(self, clk: clock.Clock, max_events: int = MAX_EVENTS):
        self._clock = clk
        self._events: collections.deque[Event] = collections.deque(
            maxlen=max_events
        )
        self._latest_by_message: dict[str, Event] = {}

    def write(self, line: typing.Any) -> None:
        """Adds a log line; a sink of loguru."""
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
        """Adds an event, or counts it as a repeat of a recent one."""
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
        """Returns the time since the first occurrence of an event."""
        return self._clock.now() - event.at

    def iter_matching(self, text: str = "") -> collections.abc.Iterator[Event]:
        """Yields the events whose message contains a text, oldest first."""
        return (event for event in self._events if text in event.message)


# The events of this process; global, like the logger of loguru.
RECENT = RecentEvents(clock.MonotonicClock())
