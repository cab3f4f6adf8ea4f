"""Settings of the long-running programs, read once at the start."""

import typing

import pydantic

from cardamomkeel.settings import addresses

# A lease has to last longer than the election after the loss of a leader, and
# longer than two timeouts of control VMs that don't answer, by this margin.
LEASE_MARGIN_MS = 300
# Enough for the shares of requests, of answers from backend servers and of
# answers from other entries.
MIN_BUFFER_BYTES = 4 * 1024 * 1024
# Below this the longest change of the settings text finds no room in the log.
MIN_CONTROL_BYTES = 128_000_000


Address = typing.Annotated[str, pydantic.AfterValidator(addresses.check)]
PeerAddress = typing.Annotated[
    str, pydantic.AfterValidator(addresses.check_peer)
]


class Strict(pydantic.BaseModel):
    """A model that rejects unknown settings."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Timings(Strict):
    """Intervals and timeouts between the processes, in milliseconds.

    Attributes:
        heartbeat_ms: How often the leader of the control group sends a
            heartbeat to each other member.
        election_least_ms: The minimum time without a heartbeat after which a
            control VM starts an election.
        election_most_ms: The maximum time without a heartbeat after which a
            control VM starts an election.
        lease_ms: How long an entry may use settings after it confirmed them.
        poll_wait_ms: How often an entry renews its lease if nothing changes.
        poll_timeout_ms: How long an entry waits for an answer before it calls
            another control VM.
    """

    heartbeat_ms: int = pydantic.Field(250, ge=20)
    election_least_ms: int = pydantic.Field(600, ge=50)
    election_most_ms: int = pydantic.Field(1200, ge=100)
    lease_ms: int = pydantic.Field(3000, ge=200)
    poll_wait_ms: int = pydantic.Field(1000, ge=20)
    poll_timeout_ms: int = pydantic.Field(600, ge=50)

    @pydantic.model_validator(mode="after")
    def _check_pairs(self) -> "Timings":
        pairs = [
            ("heartbeat_ms", 2 * self.heartbeat_ms, "election_least_ms"),
            ("election_least_ms", self.election_least_ms, "election_most_ms"),
            (
                "poll_wait_ms and election_most_ms",
                self.poll_wait_ms + self.election_most_ms + LEASE_MARGIN_MS,
                "lease_ms",
            ),
            (
                "poll_wait_ms and twice poll_timeout_ms",
                self.poll_wait_ms + 2 * self.poll_timeout_ms + LEASE_MARGIN_MS,
                "lease_ms",
            ),
        ]
        for shorter, min_ms, longer in pairs:
            if getattr(self, longer) <= min_ms:
                lower = shorter.replace(" and ", " or ")
                raise ValueError(
                    f"{longer} has to be more than {min_ms} to go with "
                    f"{shorter}; raise {longer} or lower {lower}"
                )
        return self


class ControlSettings(Strict):
    """Settings of one control VM.

    Attributes:
        name: Name of this VM; one of the names in `control`.
        data_centre: The data centre of this VM.
        data_folder: Folder for the log and the snapshots.
        address: Address for entries, operators' calls and other control VMs.
        operators_address: Address for operators.
        secret_file: File with the secret that authenticates operators' calls.
        control: Addresses by name of the initial control VMs.
        reach: Addresses to connect to instead of others, if the network
            requires it.
        timings: Intervals and timeouts between the processes.
        memory_bytes: The memory of this process. The log of changes fills at
            most a sixteenth of it, and of the disk.
        disk_bytes: The size of the disk with the data folder.
        log_level: The lowest level of log lines that are written.
    """

    name: str
    data_centre: str
    data_folder: str
    address: Address
    operators_address: Address
    secret_file: str
    control: dict[str, Address]
    reach: dict[Address, Address] = {}
    timings: Timings = Timings()
    memory_bytes: int = pydantic.Field(256_000_000, ge=MIN_CONTROL_BYTES)
    disk_bytes: int = pydantic.Field(256_000_000, ge=MIN_CONTROL_BYTES)
    log_level: str = "INFO"


class GatewaySettings(Strict):
    """Settings of one entry VM that sends to every target itself.

    Attributes:
        name: Name of this VM.
        data_centre: The data centre of this VM.
        callers_address: Address for requests of callers.
        directory_address: Address where callers request the addresses of
            entries and backend servers announce themselves.
        entries_address: UDP address where other entries of the data centre
            report their requests in flight.
        operators_address: Address for operators.
        secret_file: File with the secret that authenticates operators' calls.
        control: Addresses by name of the control VMs.
        reach: Addresses to connect to instead of others, if the network
            requires it.
        timings: Intervals and timeouts between the processes; the same for
            all processes.
        resend_share: Resends allowed per request of a service, over all
            entries.
        resend_slack: Resends allowed in addition per window, over all
            entries.
        resend_window_ms: The window in which resends are counted.
        quota_excess: By which share of its limit the requests of a client
            account may exceed it in a window, over all entries.
        quota_slack: By how many requests in addition.
        quota_window_ms: The window in which the requests of accounts are
            counted.
        keep_addresses_ms: How long callers may cache the addresses of entries.
        stop_within_ms: The maximum duration of a planned stop; requests that
            are still in flight then are answered 502 or 503 and counted in
            the log.
        listen_on_ms: How long a stopping entry accepts new connections.
        longest_hold_ms: The longest time for which a target that pushes back
            gets no requests; it bounds what a faulty target can ask for.
        link_bytes_per_second: Bandwidth of the link of this VM; 0 if it does
            not limit requests.
        leave_share: The largest share of a service's requests that leaves a
            data centre for another with more room; 0 lets each request look
            for a target elsewhere by itself.
        leave_cost_per_mb: How many requests answered in time each megabyte
            between data centres has to bring.
        leave_bytes_per_second: Bound on the bytes of one service that leave
            one data centre; 0 for none.
        buffer_bytes: How many bytes of heads, bodies and answers this process
            may hold; a body longer than seven eighths of it is refused (413).
        connections: How many connections callers may have open; 0 for any
            number.
        log_level: The lowest level of log lines that are written.
    """

    name: str
    data_centre: str
    callers_address: Address
    directory_address: Address
    entries_address: Address
    operators_address: Address
    secret_file: str
    control: dict[str, Address]
    reach: dict[Address, Address] = {}
    timings: Timings = Timings()
    resend_share: float = pydantic.Field(0.2, ge=0, le=1)
    resend_slack: float = pydantic.Field(10.0, ge=0)
    resend_window_ms: int = pydantic.Field(10_000, ge=100)
    quota_excess: float = pydantic.Field(0.1, ge=0)
    quota_slack: float = pydantic.Field(20.0, ge=0)
    quota_window_ms: int = pydantic.Field(5000, ge=100)
    keep_addresses_ms: int = pydantic.Field(2000, ge=100)
    stop_within_ms: int = pydantic.Field(6000, ge=0)
    listen_on_ms: int = pydantic.Field(2500, ge=0)
    longest_hold_ms: int = pydantic.Field(60_000, ge=0)
    link_bytes_per_second: float = pydantic.Field(0.0, ge=0)
    leave_share: float = pydantic.Field(0.0, ge=0, le=1)
    leave_cost_per_mb: float = pydantic.Field(5.0, ge=0)
    leave_bytes_per_second: float = pydantic.Field(0.0, ge=0)
    buffer_bytes: int = pydantic.Field(256 * 1024 * 1024, ge=MIN_BUFFER_BYTES)
    connections: int = pydantic.Field(4000, ge=0)
    log_level: str = "INFO"

    @pydantic.model_validator(mode="after")
    def _check_stop(self) -> "GatewaySettings":
        for shorter in ("listen_on_ms", "keep_addresses_ms"):
            min_ms = getattr(self, shorter)
            if self.stop_within_ms <= min_ms:
                raise ValueError(
                    f"stop_within_ms has to be more than {min_ms} to go with "
                    f"{shorter}; raise stop_within_ms or lower {shorter}"
                )
        if self.listen_on_ms < self.keep_addresses_ms:
            raise ValueError(
                f"listen_on_ms has to be at least {self.keep_addresses_ms} to "
                "go with keep_addresses_ms; raise listen_on_ms or lower "
                "keep_addresses_ms"
            )
        return self


class EntrySettings(Strict):
    """Settings of one entry VM.

    Attributes:
        name: Name of this VM.
        data_centre: The data centre of this VM.
        callers_address: Address for callers and backend servers.
        entries_address: Address for other entries.
        operators_address: Address for operators.
        secret_file: File with the secret that authenticates operators' calls.
        control: Addresses by name of the control VMs.
        reach: Addresses to connect to instead of others, if the network
            requires it.
        timings: Intervals and timeouts between the processes; the same for
            all processes.
        keep_addresses_ms: How long callers may cache the addresses of entries;
            the same in all entries. A stopping entry serves for that long.
        stop_within_ms: The maximum duration of a planned stop; requests that
            are still in flight then are aborted and logged.
        buffer_bytes: How many bytes of bodies this process may buffer; half is
            for requests, the rest is reserved for answers.
        connections: The maximum number of connections of callers.
        connections_per_caller: The maximum number of connections from one IP
            address.
        log_level: The lowest level of log lines that are written.
    """

    name: str
    data_centre: str
    callers_address: Address
    entries_address: Address
    operators_address: Address
    secret_file: str
    control: dict[str, Address]
    reach: dict[Address, Address] = {}
    timings: Timings = Timings()
    keep_addresses_ms: int = pydantic.Field(5000, ge=100)
    stop_within_ms: int = pydantic.Field(30_000, ge=0)
    buffer_bytes: int = pydantic.Field(64 * 1024 * 1024, ge=MIN_BUFFER_BYTES)
    connections: int = pydantic.Field(4000, ge=1)
    connections_per_caller: int = pydantic.Field(1000, ge=1)
    log_level: str = "INFO"

    @pydantic.model_validator(mode="after")
    def _check_stop(self) -> "EntrySettings":
        min_ms = self.keep_addresses_ms + self.timings.lease_ms
        if self.stop_within_ms <= min_ms:
            raise ValueError(
                f"stop_within_ms has to be more than {min_ms} to go with "
                "keep_addresses_ms and lease_ms; raise stop_within_ms or "
                "lower keep_addresses_ms"
            )
        return self

    @pydantic.model_validator(mode="after")
    def _check_connections(self) -> "EntrySettings":
        if self.connections_per_caller > self.connections:
            raise ValueError(
                f"connections_per_caller has to be at most {self.connections} "
                "to go with connections; lower connections_per_caller or "
                "raise connections"
            )
        return self
