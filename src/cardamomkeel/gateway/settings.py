"""Settings of an entry that sends to every target itself.

They are made by a program that has checked what it was told.
"""

import dataclasses

from cardamomkeel.gateway import names


@dataclasses.dataclass(frozen=True)
class Timings:
    """How long this entry waits for control, in milliseconds.

    Attributes:
        poll_timeout_ms: For the answer to a poll, before it asks another
            control VM.
        lease_ms: For its lease, before it joins anew.
    """

    poll_timeout_ms: int = 600
    lease_ms: int = 3000


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """What one entry needs to know at its start.

    Attributes:
        name: Name of this VM.
        data_centre: Where this VM is.
        callers_address: Where callers reach it.
        entries_address: Where other entries send it their loads, over UDP.
        operators_address: Where its metrics and its state are shown.
        control: Address by name of the control VMs.
        reach: Addresses to connect to in place of others.
        timings: How long it waits for control.
        headers: The names of headers that callers and targets use.
        resend_share: Repeats for each request, of all entries together.
        resend_slack: Repeats besides, in one window, of all together.
        resend_window_ms: The window in which they are counted.
        stop_within_ms: The longest that a planned stop may take.
        listen_on_ms: For how long a stopping entry takes new connections.
        keep_addresses_ms: How long callers may keep an answer about entries.
        body_bytes: The longest answer of a target.
        link_bytes_per_s: What the link of this VM carries; 0 where that is
            more than any request needs.
    """

    name: str
    data_centre: str
    callers_address: str
    entries_address: str
    operators_address: str
    control: dict[str, str]
    reach: dict[str, str] = dataclasses.field(default_factory=dict)
    timings: Timings = Timings()
    headers: names.HeaderNames = names.HeaderNames()
    resend_share: float = 0.2
    resend_slack: float = 10.0
    resend_window_ms: float = 10_000
    stop_within_ms: int = 6000
    listen_on_ms: int = 2500
    keep_addresses_ms: int = 2000
    body_bytes: int = 67_108_864
    link_bytes_per_s: float = 0.0
