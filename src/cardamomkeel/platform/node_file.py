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
# Of the range that is free for traffic between VMs: for control, for the loads
# that entries tell each other, and for operators.
INTERNAL_PORTS = 3


Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
NonNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
Seeds = typing.Annotated[list[str], msgspec.Meta(min_length=1)]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=addresses.MAX_PORT)]


class _Table(msgspec.Struct, frozen=True, rename="kebab"):
    """A table of the file; fields that are not known here are passed over."""


class Limits(_Table):
    """What a process may use.

    Attributes:
        link_mbps: What the link of its VM carries, in Mbit/s; 0 for not said.
    """

    link_mbps: NonNegative = 0.0


class OwnSettings(_Table):
    """What the file says of the process itself.

    Attributes:
        node_name: Name of the VM.
        ip: Its address.
        zone: Its data centre.
        data_dir: Folder on its disk; None where it has none.
        bootstrap: Whether the whole deployment starts for the first time.
        limits: What it may use.
    """

    node_name: str
    ip: str
    zone: str
    data_dir: str | None = None
    bootstrap: bool = False
    limits: Limits = Limits()


class Listen(_Table):
    """Addresses that the process has to serve.

    Attributes:
        front: For callers.
        ready: Where the platform asks whether the entry takes callers.
        control: For operators and backend servers.
        directory: Where callers ask which entries to use.
    """

    front: str | None = None
    ready: str | None = None
    control: str | None = None
    directory: str | None = None

    def __post_init__(self):
        """Checks the addresses.

        Raises:
            ValueError: One is none.
        """
        for address in (self.front, self.ready, self.control, self.directory):
            if address is not None:
                addresses.check(address)


class Network(_Table):
    """How the process is reached, and whom it knows at its start.

    Attributes:
        listen: What it serves.
        port_range: First and last port for traffic between VMs.
        seeds: Addresses of `control` of up to three VMs; they may be stale.
    """

    listen: Listen
    port_range: tuple[Port, Port]
    seeds: Seeds
    zones: dict[str, str] = {}

    def __post_init__(self):
        """Checks the ports and the addresses.

        Raises:
            ValueError: There are too few ports, or a seed is no address.
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
    """Times that the platform's operators have agreed on.

    The names are the platform's; each is read in one place, `timings.py`.
    """

    config_apply_ms: NonNegative = 2000
    grace_s: Positive = 6
    ttl_max_s: NonNegative = msgspec.field(default=5, name="ttl_max_s")
    retry_budget_ratio: NonNegative = 0.2
    retry_budget_slack: NonNegative = 10
    budget_window_s: Positive = 10


class Timeouts(_Table):
    """What has been agreed on."""

    bounds: Bounds = Bounds()


class NodeFile(_Table):
    """The whole file."""

    own: OwnSettings = msgspec.field(name="self")
    network: Network
    timeouts: Timeouts = Timeouts()

    def internal_address(self, ip: str, offset: int) -> str:
        """Returns where a VM is reached by others of this deployment.

        Ports are the same on all VMs.
        """
        first, _ = self.network.port_range
        return f"{ip}:{first + offset}"

    def find_missing(self, names: typing.Sequence[str]) -> list[str]:
        """Returns which of some fields hold nothing.

        Args:
            names: The fields by their path, as `network.listen.front`.
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
    """Reads the file, or says what is wrong with it.

    Args:
        path: Where it is.
        required: Fields that it must hold, by their path.
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
