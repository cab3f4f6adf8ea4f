"""The state of one request while the gateway serves it."""

from cardamomkeel import clock
from cardamomkeel.gateway import messages
from cardamomkeel.gateway import sending
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.routes import document as document_lib


class RequestContext:
    """The state of one request while the gateway serves it.

    Attributes:
        outgoing: The request as it is sent to targets.
        route: The route that matched.
        service: The service that was picked from the route.
        account: The client account whose key the request carries; None if it
            needs none.
        key_digest: The digest of that key; empty for none.
        granted_by: The entry that has granted the request within the limit of
            its account, empty for this one; None if it has no limit.
        remaining_ms: How long the caller still waits, from its deadline header.
        spent_ms: How long the caller had waited before this attempt.
        useful_until: When the objective of the route is missed, on the local
            clock.
        tried: The targets that the request was sent to.
        unreachable: The targets that could not be reached.
        leaves_to: The data centre in which it looks for a target, if it
            leaves its own.
        is_sending: Whether an attempt is in progress.
        may_have_run: Whether a target may have run the request.
        is_answered: Whether a target has answered it.
        is_timed_out: Whether its time ran out while a target had the request.
        retry_after_ms: The earliest time at which a target may serve it, if it
            was refused because all targets push back; 0 otherwise.
        failed_response: The last answer with a status of 500 or more.
        reason: Why the last attempt failed.
        wants_new: Whether it goes to the new version of its service, if a
            roll-out runs; None before that is drawn.
    """

    def __init__(
        self,
        outgoing: sending.OutgoingRequest,
        route: document_lib.Route,
        service: str,
        remaining_ms: clock.Millis,
        spent_ms: clock.Millis,
    ):
        """Creates the context of a request that has just arrived.

        Args:
            outgoing: The request as it is sent to targets.
            route: The route that matched.
            service: The service that was picked from the route.
            remaining_ms: How long the caller still waits.
            spent_ms: How long the caller had waited before this attempt.
        """
        self.outgoing = outgoing
        self.route = route
        self.service = service
        self.account: document_lib.Account | None = None
        self.key_digest = ""
        self.granted_by: str | None = None
        self.remaining_ms = remaining_ms
        self.spent_ms = spent_ms
        self.useful_until = outgoing.req.arrived + route.objective_ms - spent_ms
        self.tried: list[target_lib.Target] = []
        self.unreachable: list[target_lib.Target] = []
        self.leaves_to: str | None = None
        self.is_sending = False
        self.may_have_run = False
        self.is_timed_out = False
        self.is_answered = False
        self.retry_after_ms: clock.Millis = 0.0
        self.failed_response: messages.Response | None = None
        self.reason = ""
        self.wants_new: bool | None = None

    def has_reached_target(self) -> bool:
        """Returns whether a target may have run the request."""
        return self.may_have_run or self.is_answered or self.is_sending

    @property
    def priority(self) -> int:
        """The rank under overload; 0 is served first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority
