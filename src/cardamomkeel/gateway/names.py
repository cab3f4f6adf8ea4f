"""The headers by which callers, entries and targets understand each other."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Header names, in the case in which they are sent.

    Attributes:
        request_id: Names one attempt of a caller; targets repeat it.
        deadline: How many milliseconds the caller, or the target, has.
        instance: The start of a target that is meant, and no other.
        seal: What targets put on every answer of their own.
        load: How busy a target is.
        not_run: Says that a target did not run the request.
        retry_after: After how many seconds to come again.
        reported_instance: The start that a target reports with its health.
        cold: How many milliseconds its cold start lasts yet.
    """

    request_id: str = "Cardamomkeel-Request-Id"
    deadline: str = "Cardamomkeel-Deadline-Ms"
    instance: str = "Cardamomkeel-Instance"
    seal: str = "Cardamomkeel-Seal"
    load: str = "Cardamomkeel-Load"
    not_run: str = "Cardamomkeel-Not-Run"
    retry_after: str = "Retry-After"
    reported_instance: str = "Cardamomkeel-Instance"
    cold: str = "Cardamomkeel-Cold-Ms"
