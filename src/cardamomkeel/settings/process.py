"""Settings of the long-running programs, read once at their start."""

import typing

import pydantic

from cardamomkeel.settings import addresses

# The lease has to outlast the replacement of a lost leader, and two control
# VMs that don't answer.
LEASE_MARGIN_MS = 300
# Room for requests, for streams of backend servers and for those of entries.
MIN_BUFFER_BYTES = 4 * 1024 * 1024


Address = typing.Annotated[str, pydantic.AfterValidator(addresses.check)]


class Strict(pydantic.BaseModel):
    """A model that refuses settings it does not know."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Timings(Strict):
    """How long processes wait for each other, in milliseconds.

    Attributes:
        heartbeat_ms: How often a control leader calls each other member.
        election_least_ms: The least time without a heartbeat before a
            control VM stands for election.
        election_most_ms: The most time without a heartbeat before it does.
        lease_ms: How long an entry may act on settings that it confirmed.
        poll_wait_ms: How often an entry asks for a lease where nothing
            changes.
        poll_timeout_ms: How long an entry waits for the answer before it asks
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
        name: Name of this VM; one of those under `control`.
        data_centre: Where this VM is.
        data_folder: Folder for the log and the snapshots.
        address: Where entries, operators' calls and other control VMs reach
            it.
        operators_address: Where operators reach this process.
        secret_file: File with the secret that operators' calls carry.
        control: Address by name of the control VMs that the group starts
            with.
        reach: Addresses to connect to in place of others, where the network
            needs it.
        timings: How long processes wait for each other.
        log_level: The least level of what is logged.
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
    log_level: str = "INFO"


class GatewaySettings(Strict):
    """Settings of one entry VM that sends to every target itself.

    Attributes:
        name: Name of this VM.
        data_centre: Where this VM is.
        callers_address: Where callers send requests.
        directory_address: Where callers ask which entries to use, and backend
            servers announce themselves.
        entries_address: Where other entries of the data centre send it what
            they run, over UDP.
        operators_address: Where operators reach this process.
        secret_file: File with the secret that operators' calls carry.
        control: Address by name of the control VMs.
        reach: Addresses to connect to in place of others, where the network
            needs it.
        timings: How long processes wait for each other; the same everywhere.
        resend_share: Repeats for each request of a service, of all entries
            together.
        resend_slack: Repeats besides, in one window, of all together.
        resend_window_ms: The window in which repeats are counted.
        keep_addresses_ms: How long callers may keep an answer about entries.
        stop_within_ms: The longest that a planned stop may take; what is left
            then is cut and logged.
        listen_on_ms: For how long a stopping entry takes new connections.
        link_bytes_per_second: What the link of this VM carries; 0 where that
            is more than any request needs.
        log_level: The least level of what is logged.
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
    keep_addresses_ms: int = pydantic.Field(2000, ge=100)
    stop_within_ms: int = pydantic.Field(6000, ge=0)
    listen_on_ms: int = pydantic.Field(2500, ge=0)
    link_bytes_per_second: float = pydantic.Field(0.0, ge=0)
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
        data_centre: Where this VM is.
        callers_address: Where callers and backend servers reach it.
        entries_address: Where other entries reach it.
        operators_address: Where operators reach this process.
        secret_file: File with the secret that operators' calls carry.
        control: Address by name of the control VMs.
        reach: Addresses to connect to in place of others, where the network
            needs it.
        timings: How long processes wait for each other; the same everywhere.
        keep_addresses_ms: How long callers may keep an address answer; the
            same in all entries, and a planned stop serves for that long.
        stop_within_ms: The longest that a planned stop may take; what is
            left then is cut and logged.
        buffer_bytes: How many bytes of bodies this process may hold; requests
            get half of it, the rest is kept for answers.
        connections: How many connections of callers it takes.
        connections_per_caller: How many of these from one IP number.
        log_level: The least level of what is logged.
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
