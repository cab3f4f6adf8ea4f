"""The headers that the platform's callers and backend servers use."""

from cardamomkeel.gateway import names

HEADERS = names.HeaderNames(
    request_id="Request-Id",
    deadline="Deadline-Ms",
    instance="Expect-Instance",
    # Each answer of a target carries it; the caller verifies the body with it.
    seal="Response-Seal",
    load="Server-Load",
    # "Executed" on the wire is "run" in this code.
    not_run="Not-Executed",
    retry_after="Retry-After",
    # Only answers to health checks carry the instance of a target.
    reported_instance="Instance-Id",
    # "Warmup" is the cold start, during which a target handles little load.
    cold="Warmup-Ms",
    leaving="Server-Leaving",
    # "Tenant" on the wire is the client account.
    account="Tenant",
)
