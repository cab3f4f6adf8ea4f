"""The headers that the platform's callers and backend servers use."""

from cardamomkeel.gateway import names

HEADERS = names.HeaderNames(
    request_id="Request-Id",
    deadline="Deadline-Ms",
    instance="Expect-Instance",
    # In each answer of a target; lets the caller verify the body.
    seal="Response-Seal",
    load="Server-Load",
    # "Executed" on the wire is "run" in this code.
    not_run="Not-Executed",
    retry_after="Retry-After",
    # Only answers to health checks carry the instance of a target.
    reported_instance="Instance-Id",
    # "Warmup" is the cold start, during which a target handles little load.
    cold="Warmup-Ms",
)
