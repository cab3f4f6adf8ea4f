"""The headers that the platform's callers and backend servers use."""

from cardamomkeel.gateway import names

HEADERS = names.HeaderNames(
    request_id="Request-Id",
    deadline="Deadline-Ms",
    instance="Expect-Instance",
    # Each answer of a target has one; it proves the body to the caller.
    seal="Response-Seal",
    load="Server-Load",
    # "Executed" is run here.
    not_run="Not-Executed",
    retry_after="Retry-After",
    # Only answers about health name the start of a target.
    reported_instance="Instance-Id",
    # "Warmup" is the cold start: a target bears little while it lasts.
    cold="Warmup-Ms",
)
