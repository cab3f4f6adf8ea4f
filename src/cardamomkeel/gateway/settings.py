"""Settings of an entry that sends to every target itself."""

import pydantic

from cardamomkeel.gateway import names
from cardamomkeel.settings import process


class GatewaySettings(process.Strict):
    """What one entry needs to know at its start.

    Attributes:
        name: Name of this VM.
        data_centre: Where this VM is.
        callers_address: Where callers reach it.
        entries_address: Where other entries send it their loads, over UDP.
        operators_address: Where its metrics and its state are shown.
        control: Address by name of the control VMs.
        reach: Addresses to connect to in place of others.
        timings: How long processes wait for each other.
        headers: The names of headers that callers and targets use.
        resend_share: Repeats for each request, of all entries together.
        resend_slack: Repeats besides, in one window, of all together.
        resend_window_ms: The window in which they are counted.
        stop_within_ms: The longest that a planned stop may take.
        listen_on_ms: For how long a stopping entry takes new connections.
        keep_addresses_ms: How long callers may keep an answer about entries.
        body_bytes: The longest answer of a target.
    """

    name: str
    data_centre: str
    callers_address: process.Address
    entries_address: process.Address
    operators_address: process.Address
    control: dict[str, process.Address]
    reach: dict[process.Address, process.Address] = {}
    timings: process.Timings = process.Timings()
    headers: names.HeaderNames = names.HeaderNames()
    resend_share: float = pydantic.Field(0.2, ge=0)
    resend_slack: float = pydantic.Field(10.0, ge=0)
    resend_window_ms: float = pydantic.Field(10_000, gt=0)
    stop_within_ms: int = pydantic.Field(6000, ge=0)
    listen_on_ms: int = pydantic.Field(2500, ge=0)
    keep_addresses_ms: int = pydantic.Field(2000, ge=100)
    body_bytes: int = pydantic.Field(67_108_864, ge=1)
