"""Counts the requests of callers for the choice of a data centre."""

from cardamomkeel import clock
from cardamomkeel.gateway import request_context
from cardamomkeel.gateway import sending
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.gateway import targets as targets_lib


def count_request(
    targets: targets_lib.Targets, ctx: request_context.RequestContext
) -> None:
    """Counts a request that has arrived."""
    if targets.choice is not None:
        targets.choice.note_request(
            ctx.service,
            targets.expect_ms(ctx.service, ctx.route),
            ctx.route.objective_ms,
        )


def count_attempt(
    targets: targets_lib.Targets,
    ctx: request_context.RequestContext,
    target: target_lib.Target,
    attempt: sending.Attempt,
    took_ms: clock.Millis,
) -> None:
    """Counts the result of an attempt at a target.

    Args:
        targets: All targets.
        ctx: The request.
        target: The target.
        attempt: The result.
        took_ms: The time until the result.
    """
    if targets.choice is None:
        return
    length = len(ctx.outgoing.req.body)
    if attempt.response is not None:
        length += len(attempt.response.body)
    targets.choice.note_outcome(
        target,
        attempt.response is not None and attempt.response.status < 500,
        targets.expect_ms(ctx.service, ctx.route),
        took_ms,
        length,
    )
