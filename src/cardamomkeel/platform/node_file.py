"""The settings file that the platform writes for each process."""

import pathlib
import typing

import msgspec
from returns import result

from cardamomkeel import errors
from cardamomkeel.platform import early_listening
from cardamomkeel.settings import addresses
from cardamomkeel.settings import structs

REMEDY = "correct the settings file; docs/operators/platform.md tells of it"
# How many ports of the range for traffic between VMs are used: one for control,
# one for the loads that entries exchange, one for operators.
INTERNAL_PORTS = 3


Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
NonNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
Seeds = typing.Annotated[list[str], msgspec.Meta(min_length=1)]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=addresses.MAX_PORT)]


class _Table(msgspec.Struct, frozen=True, rename="kebab"):
    """A table of the file; unknown fields are ignored."""


class Limits(_Table):
    """Resource limits of a process.

    Attributes:
        link_mbps: Capacity of the VM's network link in Mbit/s; 0 if unknown.
        memory_mb: Memory of the process in MB; 0 if unknown.
        disk_mb: Size of the VM's disk in MB; 0 if unknown.
        max_fds: Descriptors of the process; 0 if unknown.
    """

    link_mbps: NonNegative = 0.0
    memory_mb: NonNegative = 0.0
    disk_mb: NonNegative = 0.0
    max_fds: NonNegative = 0


class OwnSettings(_Table):
    """The settings of the process itself, in the table `self`.

    Attributes:
        node_name: Name of the VM.
        ip: Address of the VM.
        zone: Data centre of the VM.
        data_dir: Folder on the VM's disk; None without a disk.
        bootstrap: Whether the whole deployment starts for the first time.
        limits: Resource limits.
    """

    node_name: str
    ip: str
    zone: str
    data_dir: str | None = None
    bootstrap: bool = False
    limits: Limits = Limits()


class Listen(_Table):
    """Addresses that the process has to listen at.

    Attributes:
        front: For callers.
        ready: For the platform's checks whether the entry accepts callers.
        control: For operators and backend servers.
        directory: For callers that look up the addresses of entries.
    """

    front: str | None = None
    ready: str | None = None
    control: str | None = None
    directory: str | None = None

    def __post_init__(self):
        """Checks the addresses.

        Raises:
            ValueError: An address is malformed.
        """
        for address in (self.front, self.ready, self.control, self.directory):
            if address is not None:
                addresses.check(address)


class Network(_Table):
    """The addresses of the process and of other VMs.

    Attributes:
        listen: Addresses that the process listens at.
        port_range: First and last port for traffic between VMs.
        seeds: `control` addresses of up to three VMs; they may be stale.
        zones: The data centres of the deployment, each with its region.
    """

    listen: Listen
    port_range: tuple[Port, Port]
    seeds: Seeds
    zones: dict[str, str] = {}

    def __post_init__(self):
        """Checks the ports and the addresses.

        Raises:
            ValueError: There are too few ports, or a seed is malformed.
        """
        first, last = self.port_range
        if last - first + 1 < INTERNAL_PORTS:
            raise ValueError(
                f"port-range {first} to {last} holds fewer than the "
                f"{INTERNAL_PORTS} ports that a VM needs"
            )
        for seed in self.seeds:
            addresses.check(seed)


class Bounds(_Table):
    """Time bounds and budgets agreed on with the platform's operators.

    The field names are the platform's; `timings.py` converts the times.
    """

    config_apply_ms: NonNegative = 2000
    grace_s: Positive = 6
    ttl_max_s: NonNegative = msgspec.field(default=5, name="ttl_max_s")
    retry_budget_ratio: NonNegative = 0.2
    retry_budget_slack: NonNegative = 10
    budget_window_s: Positive = 10
    recovery_s: NonNegative = 15
    quota_window_s: Positive = 5
    quota_excess: NonNegative = 0.1
    quota_slack: NonNegative = 20
    exposure_share: NonNegative = 0.1
    exposure_slack: NonNegative = 50


class Timeouts(_Table):
    """The table `timeouts`."""

    bounds: Bounds = Bounds()


class NodeFile(_Table):
    """The complete settings file."""

    own: OwnSettings = msgspec.field(name="self")
    network: Network
    timeouts: Timeouts = Timeouts()

    def internal_address(self, ip: str, offset: int) -> str:
        """Returns an address of a VM for traffic from other VMs.

        The ports are the same on all VMs.

        Args:
            ip: The address of the VM.
            offset: Offset of the port in the range.
        """
        first, _ = self.network.port_range
        return f"{ip}:{first + offset}"

    def find_missing(self, names: typing.Sequence[str]) -> list[str]:
        """Returns the fields that are not set.

        Args:
            names: Paths of the fields to check, as `network.listen.front`.
        """
        return [name for name in names if self._get(name) is None]

    def _get(self, path: str) -> typing.Any:
        found: typing.Any = msgspec.to_builtins(self)
        for part in path.split("."):
            found = found[part]
        return found


def read(
    path: str | None, required: typing.Sequence[str] = ()
) -> result.Result[NodeFile, errors.Error]:
    """Reads the settings file, or returns what is wrong with it.

    Args:
        path: Path of the file; None if the variable is not set.
        required: Paths of the fields that must be set.
    """
    if not path:
        return result.Failure(
            errors.SettingsError(
                f"{early_listening.PATH_VARIABLE} is not set",
                "set it to the path of the settings file",
            )
        )
    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as exc:
        return result.Failure(
            errors.SettingsError(
                f"the settings file {path} can't be read: {exc}",
                f"see that {early_listening.PATH_VARIABLE} names a file that "
                "is readable",
            )
        )
    parsed = structs.decode(raw, NodeFile, path, REMEDY)
    if not isinstance(parsed, result.Success):
        return parsed
    missing = parsed.unwrap().find_missing(required)
    if missing:
        return result.Failure(
            errors.SettingsError(f"{path} has no {', '.join(missing)}", REMEDY)
        )
    return parsed
