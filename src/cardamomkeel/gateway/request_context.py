"""One request on its way, from its caller to a target."""

from cardamomkeel import clock
from cardamomkeel.gateway import messages
from cardamomkeel.gateway import sending
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.routes import document as document_lib


class RequestContext:
    """One request on its way.

    Attributes:
        outgoing: What is sent.
        route: Its route.
        service: The service that was picked.
        remaining_ms: How long its caller said that it will still wait.
        spent_ms: How long its caller had waited before.
        useful_until: Until when an answer is of full use.
        tried: The targets that it was sent to.
        unreachable: The targets that could not be reached.
        may_have_run: Whether a target may have run it.
        is_timed_out: Whether its time ended while a target had it.
        failed_response: A failure that a target answered with.
        reason: Why the last send failed.
    """

    def __init__(
        self,
        outgoing: sending.OutgoingRequest,
        route: document_lib.Route,
        service: str,
        remaining_ms: clock.Millis,
        spent_ms: clock.Millis,
    ):
        """Makes the context of a request that has just arrived.

        Args:
            outgoing: What is sent.
            route: Its route.
            service: The service that was picked.
            remaining_ms: How long its caller said that it will still wait.
            spent_ms: How long it has waited before.
        """
        self.outgoing = outgoing
        self.route = route
        self.service = service
        self.remaining_ms = remaining_ms
        self.spent_ms = spent_ms
        self.useful_until = outgoing.req.arrived + route.objective_ms - spent_ms
        self.tried: list[target_lib.Target] = []
        self.unreachable: list[target_lib.Target] = []
        self.may_have_run = False
        self.is_timed_out = False
        self.failed_response: messages.Response | None = None
        self.reason = ""
