"""Queues of requests that wait for a slot."""

import dataclasses

import anyio

from cardamomkeel import clock
from cardamomkeel.policy import deadline_queue
from cardamomkeel.routing import messages
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import targets as targets_lib


@dataclasses.dataclass(eq=False)
class _Waiter:
    """A request that waits for a slot.

    Attributes:
        req: The request.
        excluded: Addresses of targets that already failed the request.
        grant: The acquired slot, or None.
        rejection: The result if the request can't get a slot, or None.
        ready: Set once the request has a slot or is rejected.
    """

    req: messages.Request
    excluded: frozenset[str]
    grant: targets_lib.Grant | None = None
    rejection: messages.RequestResult | None = None
    ready: anyio.Event = dataclasses.field(default_factory=anyio.Event)


_Queue = deadline_queue.DeadlineQueue[_Waiter]


def _make_all_failed_result(service: str) -> messages.RequestResult:
    return messages.not_run(
        f"every target of {service} here has failed the request",
        "send it again, or to another entry",
    )


class Queues:
    """The requests that wait for a slot, by service."""

    def __init__(
        self,
        session: session_lib.Session,
        targets: targets_lib.Targets,
        clk: clock.Clock,
    ):
        self._session = session
        self._targets = targets
        self._clock = clk
        self._queues: dict[str, _Queue] = {}

    def has_waiting(self, service: str) -> bool:
        """Returns whether any request of a service waits."""
        return len(self._get_queue(service)) > 0

    def _get_queue(self, name: str) -> _Queue:
        service = self._session.view.get_service(name)
        queue = self._queues.setdefault(name, deadline_queue.DeadlineQueue(0))
        queue.limit = 0 if service is None else service.queue
        return queue

    async def acquire(
        self, req: messages.Request, excluded: frozenset[str]
    ) -> targets_lib.Grant | messages.RequestResult | None:
        """Acquires a slot, at once or after a wait.

        Returns:
            The slot; the result if the request is rejected early; None if no
            slot was freed before the deadline.
        """
        queue = self._get_queue(req.service)
        if not self._may_be_tried(req, excluded):
            return _make_all_failed_result(req.service)
        if self._session.view.get_service(req.service) is not None:
            grant = self._try_acquire(req, excluded)
            if grant is not None:
                return grant
        rejection = self._reject_early(req, queue)
        if rejection is not None:
            return rejection
        waiter = _Waiter(req, excluded)
        await self._wait(waiter, queue)
        return waiter.rejection or waiter.grant

    def _reject_early(
        self, req: messages.Request, queue: _Queue
    ) -> messages.RequestResult | None:
        """Returns a rejection if the request can't meet its deadline."""
        if queue.is_full():
            return messages.not_run(
                f"the queue of {req.service} is full",
                "send it again later",
                messages.Sign.FULL,
            )
        candidates = [
            owned.candidate for owned in self._targets.get_usable(req.service)
        ]
        if not any(c.slots.can_free(req.deadline) for c in candidates):
            return messages.not_run(
                f"no slot of {req.service} comes free here in time",
                "send it again later, or to another entry",
                messages.Sign.FULL,
            )
        slots = sum(candidate.slots.limit for candidate in candidates)
        now = self._clock.now()
        recent_latencies_ms = [c.health.recent_latency(now) for c in candidates]
        latency_ms = min(filter(None, recent_latencies_ms), default=0.0)
        ahead = queue.count_ahead(req.deadline)
        wait_ms = deadline_queue.estimate_wait_ms(ahead, slots, latency_ms)
        remaining_ms = req.deadline - self._clock.now()
        if wait_ms + latency_ms <= remaining_ms:
            return None
        return messages.not_run(
            f"{req.service} has a wait of {wait_ms:.0f} ms and answers in "
            f"{latency_ms:.0f} ms; {max(remaining_ms, 0):.0f} ms are left",
            "send it again, or allow a later deadline",
            messages.Sign.FULL,
        )

    def _may_be_tried(
        self, req: messages.Request, excluded: frozenset[str]
    ) -> bool:
        """Returns whether a usable target has not failed a request yet.

        Also returns True if no target is usable; the calling code then reports
        the reason.
        """
        usable = self._targets.get_usable(req.service)
        return not usable or any(
            owned.candidate.address not in excluded for owned in usable
        )

    def _try_acquire(
        self, req: messages.Request, excluded: frozenset[str]
    ) -> targets_lib.Grant | None:
        """Acquires a free slot for a request, or returns None."""
        if not self._session.is_fresh():
            return None
        chosen = self._targets.choose(req.service, excluded)
        if chosen is None:
            return None
        health = chosen.candidate.health
        allowed_ms = self._targets.allowed_ms(req)
        # A request that can't be answered in time would waste a slot.
        if allowed_ms < health.recent_latency(self._clock.now()):
            return None
        return self._targets.acquire(chosen, allowed_ms)

    def _try_grant(self, waiter: _Waiter, queue: _Queue) -> None:
        """Gives a free slot to a waiting request."""
        waiter.grant = self._try_acquire(waiter.req, waiter.excluded)
        if waiter.grant is not None:
            queue.remove(waiter)
            waiter.ready.set()

    def serve(self, service: str) -> None:
        """Gives free slots to waiting requests and wakes only those."""
        queue = self._queues.get(service)
        if not queue:
            return
        for waiter in queue.items():
            if not self._targets.has_free_slot(service):
                return
            self._try_grant(waiter, queue)

    def serve_all(self) -> None:
        """Gives free slots of all services to waiting requests.

        Rejects the requests that every usable target has failed.
        """
        for service, queue in self._queues.items():
            self.serve(service)
            for waiter in queue.items():
                if not self._may_be_tried(waiter.req, waiter.excluded):
                    waiter.rejection = _make_all_failed_result(service)
                    queue.remove(waiter)
                    waiter.ready.set()

    async def _wait(self, waiter: _Waiter, queue: _Queue) -> None:
        """Waits for a slot until the deadline."""
        req = waiter.req
        queue.add(waiter, req.deadline)
        try:
            while waiter.grant is None and self._may_wait(req):
                until = min(req.deadline, self._session.lease_until)
                pause_ms = until - self._clock.now()
                with anyio.move_on_after(clock.seconds(max(0.0, pause_ms))):
                    await waiter.ready.wait()
                    return
        except BaseException:
            if waiter.grant is not None:
                waiter.grant.release()
                self.serve(req.service)
            raise
        finally:
            queue.remove(waiter)

    def _may_wait(self, req: messages.Request) -> bool:
        return (
            self._session.is_fresh()
            and self._targets.has_usable(req.service)
            and self._clock.now() < req.deadline
        )
