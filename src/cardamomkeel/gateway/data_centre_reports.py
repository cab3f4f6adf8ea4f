"""Exchanges sums of demand and room between the entries of all data centres.

Each entry reports its figures to the summing entries of its data centre, which
exchange the sums with other data centres and hand all sums on to their entries.
Every report replaces the one before, so the next one makes up for a lost one;
what is not replaced expires by its age.
"""

import collections.abc
import contextlib
import dataclasses
import typing

import msgspec

from cardamomkeel import clock
from cardamomkeel.policy import report_paths
from cardamomkeel.policy import room as room_lib
from cardamomkeel.settings import addresses

# An entry sends no sums at first: the others may not know yet that they have to
# report to it.
SUMMING_DELAY_MS = 1000.0
# How long the figures of an entry are added to the sums.
FIGURES_TTL_MS = 900.0
# The first byte of each datagram; other datagrams of entries begin with `[`.
REPORT_BYTE = b"\x01"
# A report about more services would not fit into one packet.
MAX_SERVICES = 16
# Unit of the fractions in `Figures`.
THOUSANDTHS = 1000.0

_Number = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
_Name = typing.Annotated[str, msgspec.Meta(max_length=200)]


class Figures(msgspec.Struct, array_like=True):
    """Figures of one service, of an entry or added up over a data centre.

    Rates are per second, in thousandths.

    Attributes:
        arrivals: Rate of requests.
        demand: Rate of expected work in seconds, that is slots in use.
        patience: Rate of seconds that requests may wait at most.
        sent_bytes: Rate of bytes in requests and answers.
        expected: Rate of expected work of answers of near targets, in seconds.
        took: Rate of the time that these answers took, in seconds.
        answers: Rate of answers of near targets.
        failures: Rate of requests that near targets refused or failed.
        running: Requests that run now, by the data centre of the target.
        slots: Useful slots of near targets; only in sums.
    """

    arrivals: _Number = 0
    demand: _Number = 0
    patience: _Number = 0
    sent_bytes: _Number = 0
    expected: _Number = 0
    took: _Number = 0
    answers: _Number = 0
    failures: _Number = 0
    running: dict[_Name, _Number] = {}
    slots: _Number = 0

    def add(self, other: "Figures") -> None:
        """Adds the figures of another entry."""
        for name in _ADDED_FIELDS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for place, count in other.running.items():
            self.running[place] = self.running.get(place, 0) + count

    def has_load(self) -> bool:
        """Returns whether anything was requested or runs."""
        return bool(self.demand or self.running)

    def make_room(self, running: float, age_ms: clock.Millis) -> room_lib.Room:
        """Converts sums of a data centre.

        Args:
            running: Requests that its targets run for all data centres.
            age_ms: The age of the sums.
        """
        seen = self.answers + self.failures
        return room_lib.Room(
            demand=self.demand / THOUSANDTHS,
            slots=self.slots,
            speed=min(1.0, self.expected / self.took) if self.took else 1.0,
            answered=self.answers / seen if seen else 1.0,
            running=running,
            patience=self.patience / self.demand if self.demand else 1.0,
            age_ms=age_ms,
        )


_ADDED_FIELDS = tuple(
    name for name in Figures.__struct_fields__ if name != "running"
)

_ByService = dict[_Name, Figures]


class _EntryReport(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """The figures of one entry, by service."""

    name: _Name
    services: _ByService


class _Sums(msgspec.Struct, array_like=True, frozen=True):
    """The sums of one data centre.

    Attributes:
        age_ms: Their age when the report was sent.
        services: The sums, by service.
    """

    age_ms: _Number
    services: _ByService


class _SumsReport(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The sums of data centres, by name.

    Attributes:
        root: The summing entry that sent it.
        start: When its process started.
        number: The number of the report since then.
        sums: What it knows, by data centre.
    """

    root: _Name
    start: _Number
    number: _Number
    sums: dict[_Name, _Sums]


_DECODER = msgspec.msgpack.Decoder(_EntryReport | _SumsReport)


@dataclasses.dataclass
class KnownSums:
    """The newest sums of one data centre.

    Attributes:
        measured_at: When they were added up, on the local clock.
        services: The sums, by service.
    """

    measured_at: clock.Millis
    services: dict[str, Figures]


@dataclasses.dataclass(frozen=True, slots=True)
class _Newest:
    """The newest report of one summing entry.

    Attributes:
        number: When its process started, and the number since then.
        received_at: When it came.
    """

    number: tuple[int, int]
    received_at: clock.Millis

    def outdates(self, number: tuple[int, int], now: clock.Millis) -> bool:
        """Returns whether a report with a number is older, or the same.

        The clock of a VM that has restarted may begin at a smaller number.
        """
        is_old = now - self.received_at > room_lib.MAX_AGE_MS
        return number <= self.number and not is_old


class DataCentreReports:
    """Sends, adds up and keeps the reports.

    Attributes:
        known: The newest sums, by data centre.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        send: collections.abc.Callable[[bytes, tuple[str, int]], None],
        clk: clock.Clock,
    ):
        self._name = name
        self._data_centre = data_centre
        self._send_to = send
        self._clock = clk
        self._start = int(clk.now())
        self._number = 0
        self._paths = report_paths.Paths()
        self._addresses: dict[str, tuple[str, int]] = {}
        self._places: dict[str, str] = {}
        # The figures of other entries and when they came, for summing entries.
        self._figures: dict[str, tuple[clock.Millis, _ByService]] = {}
        # The newest report of each summing entry.
        self._newest: dict[str, _Newest] = {}
        self._had_load = False
        self._summing_since: clock.Millis | None = None
        self.known: dict[str, KnownSums] = {}

    def set_entries(
        self, entries: collections.abc.Mapping[str, tuple[str, str]]
    ) -> None:
        """Plans the paths of reports.

        Args:
            entries: The data centre and address of each entry, by name.
        """
        self._places = {name: place for name, (place, _) in entries.items()}
        self._places[self._name] = self._data_centre
        self._paths = report_paths.plan(
            self._name, self._data_centre, self._places
        )
        if not self.is_summing:
            self._summing_since = None
        elif self._summing_since is None:
            self._summing_since = self._clock.now()
        self._addresses = {}
        for name in {
            *self._paths.summing,
            *self._paths.abroad,
            *(n for names in self._paths.onward.values() for n in names),
        } - {self._name}:
            # An entry without a valid address receives no reports.
            with contextlib.suppress(ValueError):
                self._addresses[name] = addresses.split(entries[name][1])
        for name in self._figures.keys() - self._places.keys():
            del self._figures[name]
        for name in self._newest.keys() - self._places.keys():
            del self._newest[name]
        for place in self.known.keys() - set(self._places.values()):
            del self.known[place]

    @property
    def is_useful(self) -> bool:
        """Whether another data centre has entries."""
        return bool(self._paths.abroad)

    @property
    def is_summing(self) -> bool:
        """Whether this entry adds up the reports of its data centre."""
        return self._name in self._paths.summing

    def send(
        self,
        own: dict[str, Figures],
        slots: collections.abc.Callable[[], dict[str, int]],
    ) -> None:
        """Reports the figures of this entry, and sums if it adds them up.

        Args:
            own: The figures of this entry, by service.
            slots: Counts the useful slots of near targets, by service.
        """
        if not self.is_useful:
            return
        loaded = {name: f for name, f in own.items() if f.has_load()}
        loaded = dict(sorted(loaded.items())[:MAX_SERVICES])
        if loaded or self._had_load:
            report = _EntryReport(self._name, loaded)
            self._send(report, self._paths.summing)
        self._had_load = bool(loaded)
        now = self._clock.now()
        if self._may_send_sums(now):
            self._add_up(loaded, slots(), now)
            self._send_sums(now)

    def _may_send_sums(self, now: clock.Millis) -> bool:
        since = self._summing_since
        return since is not None and now - since >= SUMMING_DELAY_MS

    def _add_up(
        self, own: _ByService, slots: dict[str, int], now: clock.Millis
    ) -> None:
        services: _ByService = {}
        for name, count in sorted(slots.items())[:MAX_SERVICES]:
            services[name] = Figures(slots=count, running={})
        reports = [own]
        for at, figures in self._figures.values():
            if now - at <= FIGURES_TTL_MS:
                reports.append(figures)
        for report in reports:
            for name, figures in report.items():
                if name not in services:
                    services[name] = Figures(running={})
                services[name].add(figures)
        self.known[self._data_centre] = KnownSums(now, services)

    def _send_sums(self, now: clock.Millis) -> None:
        self._number += 1
        sums = {
            place: _Sums(int(now - known.measured_at), known.services)
            for place, known in self.known.items()
            if now - known.measured_at <= room_lib.MAX_AGE_MS
        }
        onward = self._paths.onward.get(self._name, ())
        report = _SumsReport(self._name, self._start, self._number, sums)
        self._send(report, onward)
        place = self._data_centre
        report = _SumsReport(
            self._name, self._start, self._number, {place: sums[place]}
        )
        self._send(report, self._paths.abroad)

    def _send(
        self,
        report: _EntryReport | _SumsReport,
        names: collections.abc.Iterable[str],
    ) -> None:
        self._pass_on(REPORT_BYTE + msgspec.msgpack.encode(report), names)

    def _pass_on(
        self, data: bytes, names: collections.abc.Iterable[str]
    ) -> None:
        for name in names:
            address = self._addresses.get(name)
            if address is not None:
                self._send_to(data, address)

    def receive(self, data: bytes) -> None:
        """Takes in a report.

        Raises:
            ValueError: It is malformed.
        """
        report = _DECODER.decode(data[len(REPORT_BYTE) :])
        if isinstance(report, _SumsReport):
            self._receive_sums(report, data)
        elif self._places.get(report.name) == self._data_centre:
            self._figures[report.name] = (self._clock.now(), report.services)

    def _receive_sums(self, report: _SumsReport, data: bytes) -> None:
        if report.root not in self._places:
            return
        now = self._clock.now()
        number = (report.start, report.number)
        newest = self._newest.get(report.root)
        if newest is not None and newest.outdates(number, now):
            return
        self._newest[report.root] = _Newest(number, now)
        for place, sums in report.sums.items():
            if place == self._data_centre and self._may_send_sums(now):
                continue
            measured_at = now - sums.age_ms
            known = self.known.get(place)
            is_newer = known is None or measured_at > known.measured_at
            if is_newer and place in self._places.values():
                self.known[place] = KnownSums(measured_at, sums.services)
        self._pass_on(data, self._paths.onward.get(report.root, ()))
