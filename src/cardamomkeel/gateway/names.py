"""Names of the headers that callers, entries and targets exchange."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Header names, with the capitals that they are sent with.

    Attributes:
        request_id: Identifies one attempt of a caller; targets return it.
        deadline: Remaining time of the caller or the target in milliseconds.
        instance: The instance of a target that the request is meant for.
        seal: Set by targets on every answer of their own.
        load: Load of a target.
        not_run: Set by a target that did not run the request.
        retry_after: Seconds until a rejected request may be sent again; from a
            target, until it wants requests of this entry again.
        reported_instance: The instance of a target, in answers to probes.
        cold: Remaining cold start of a target in milliseconds.
        leaving: "1" in the answers of a target that stops soon.
        account: The client account that a request belongs to, for targets.
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
    leaving: str = "Cardamomkeel-Leaving"
    account: str = "Cardamomkeel-Account"
