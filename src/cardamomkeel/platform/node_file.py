"""The settings file that the platform writes for each process."""

import pathlib
import typing

import pydantic
from returns import result

from cardamomkeel import errors
from cardamomkeel.settings import reader

# Where the path of the file stands.
PATH_VARIABLE = "CARDAMOMKEEL_NODE_FILE"


def _hyphen(name: str) -> str:
    return name.replace("_", "-")


class _Table(pydantic.BaseModel):
    """A table of the file; fields that are not known here are passed over."""

    model_config = pydantic.ConfigDict(
        alias_generator=_hyphen, populate_by_name=True, extra="ignore"
    )


class Own(_Table):
    """What the file says of the process itself.

    Attributes:
        node_name: Name of the VM.
        ip: Its address.
        zone: Its data centre.
        data_dir: Folder on its disk; None where it has none.
        bootstrap: Whether the whole deployment starts for the first time.
    """

    node_name: str
    ip: str
    zone: str
    data_dir: str | None = None
    bootstrap: bool = False


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


class Network(_Table):
    """How the process is reached, and whom it knows at its start.

    Attributes:
        listen: What it serves.
        port_range: First and last port for traffic between VMs.
        seeds: Addresses of `control` of up to three VMs; they may be stale.
    """

    listen: Listen
    port_range: tuple[int, int]
    seeds: list[str]
    zones: dict[str, str] = {}


class Bounds(_Table):
    """Times that the platform's operators have agreed on.

    The names are the platform's; each is read in one place, `timings.py`.
    """

    drain_ms: float = 2000
    config_apply_ms: float = 2000
    contact_ms: float = 3000
    evacuation_ms: float = 5000
    grace_s: float = 6
    ttl_max_s: float = pydantic.Field(5, alias="ttl_max_s")
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 10
    budget_window_s: float = 10


class Timeouts(_Table):
    """What has been agreed on."""

    bounds: Bounds = Bounds()


class NodeFile(_Table):
    """The whole file."""

    own: Own = pydantic.Field(alias="self")
    network: Network
    timeouts: Timeouts = Timeouts()

    def inner_address(self, ip: str, offset: int) -> str:
        """Returns where a VM is reached by others of this deployment.

        Ports are the same on all VMs.
        """
        first, last = self.network.port_range
        return f"{ip}:{min(last, first + offset)}"


def read(path: str | None) -> result.Result[NodeFile, errors.Error]:
    """Reads the file, or says what is wrong with it."""
    if not path:
        return result.Failure(
            errors.SettingsError(
                f"{PATH_VARIABLE} is not set",
                "set it to the path of the settings file",
            )
        )
    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as exc:
        return result.Failure(
            errors.SettingsError(
                f"the settings file {path} can't be read: {exc}",
                f"see that {PATH_VARIABLE} names a file that is readable",
            )
        )
    text = raw.decode("utf-8", "replace")
    return typing.cast(
        result.Result[NodeFile, errors.Error],
        reader.parse_json(text, NodeFile, path),
    )
