"""Settings of a gateway, built by a program that has validated its input."""

import dataclasses

from cardamomkeel.gateway import names
from cardamomkeel.policy import quota as quota_lib

# Four answers with the longest body.
DEFAULT_BUFFER_BYTES = 268_435_456


@dataclasses.dataclass(frozen=True)
class Timings:
    """Timeouts towards the control group, in milliseconds.

    Attributes:
        poll_timeout_ms: How long a control VM may take to answer a poll before
            the entry polls another one.
        lease_ms: How long the control group may take to grant a lease before
            the entry joins again.
    """

    poll_timeout_ms: int = 600
    lease_ms: int = 3000


@dataclasses.dataclass(frozen=True)
class LeavingSettings:
    """Settings of requests that leave their data centre.

    Attributes:
        max_share: Bound on the share of a service's requests; at 0 no share is
            decided, and each request looks for a target elsewhere by itself.
        cost_per_mb: How many requests answered in time a megabyte on the way
            has to bring.
        bytes_per_s: Bound on the bytes of a service that leave one data centre;
            0 for none.
        delay_ms: Additional time to an answer from another data centre.
    """

    max_share: float = 0.0
    cost_per_mb: float = 5.0
    bytes_per_s: float = 0.0
    delay_ms: float = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """The settings of one gateway.

    Attributes:
        name: Name of this VM.
        data_centre: Data centre of this VM.
        callers_address: Address that serves callers.
        entries_address: UDP address that receives datagrams of other entries.
        operators_address: Address that serves metrics and state.
        control: Addresses of the control VMs, by name.
        reach: Addresses to connect to in place of others.
        timings: Timeouts towards the control group.
        headers: Names of the headers that callers and targets use.
        resend_share: Resends per request, over all entries.
        resend_slack: Additional resends in one window, over all entries.
        resend_window_ms: Length of the window in which resends are counted.
        stop_within_ms: Limit on the duration of a planned stop.
        listen_on_ms: How long a stopping entry accepts new connections.
        keep_addresses_ms: How long callers may cache the list of entries.
        body_bytes: Length limit of the body of a target's answer.
        buffer_bytes: How many bytes of heads, bodies and answers are held.
        connections: How many connections callers may have open; 0 for any
            number.
        longest_hold_ms: The longest time for which a target that pushes back
            gets no requests.
        quota: How far the limits of accounts may be exceeded.
        link_bytes_per_s: Bandwidth of the link of this VM; 0 if it does not
            limit any request.
        leaving: Which requests leave their data centre.
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
    buffer_bytes: int = DEFAULT_BUFFER_BYTES
    connections: int = 0
    longest_hold_ms: int = 60_000
    quota: quota_lib.Bounds = quota_lib.Bounds()
    link_bytes_per_s: float = 0.0
    leaving: LeavingSettings = LeavingSettings()
