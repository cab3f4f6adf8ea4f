"""Moves roll-outs from step to step while this control VM is the leader.

Only the steps are in the replicated log. The counts are what the entries report
of their own since the order, so a new leader has all of them after one poll of
each entry.
"""

import typing

import anyio
import loguru

from cardamomkeel import clock
from cardamomkeel.control import leases as leases_lib
from cardamomkeel.control import signal
from cardamomkeel.policy import rollout_steps
from cardamomkeel.replication import replica as replica_lib
from cardamomkeel.rollouts import bookkeeping
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.state.commands import rollouts as commands
from cardamomkeel.wire import control_pb2

# How often a roll-out that runs is looked at.
CHECK_PERIOD_MS = 100.0
IDLE_PERIOD_MS = 1000.0

logger = loguru.logger


class LeaderNode(typing.Protocol):
    """The control VM, as far as roll-outs use it."""

    replica: replica_lib.Replica
    tables: tables_lib.Tables
    leases: leases_lib.Leases
    changed: signal.Signal

    async def propose(
        self, commands: list[control_pb2.Command]
    ) -> list[control_pb2.CommandResult] | None:
        """Commits commands."""

    def estimate_log_ms(self) -> int:
        """Returns the time on the log's clock."""


class RolloutLeader:
    """Decides and commits the steps of all roll-outs.

    Attributes:
        limits: What a bad version may get.
    """

    def __init__(self, node: LeaderNode, clk: clock.Clock):
        """Creates the leader's part without any counts."""
        self._node = node
        self._clock = clk
        self._books: dict[str, bookkeeping.Book] = {}
        self.limits = rollout_steps.Limits()

    def reset(self) -> None:
        """Forgets all counts when this VM becomes the leader."""
        self._books = {}

    def record(self, poll: control_pb2.PollRequest, now: clock.Millis) -> None:
        """Records what the poll of an entry reports."""
        for report in poll.rollouts:
            row = commands.find(self._node.tables, report.service)
            if row is None or row.order != report.order:
                continue
            if commands.is_running(row):
                self._get_book(row).record(poll.session, report, row, now)

    def _get_book(self, row: control_pb2.RolloutRecord) -> bookkeeping.Book:
        book = self._books.get(row.service)
        if book is None or book.order != row.order:
            book = self._books[row.service] = bookkeeping.Book(row.order)
        return book

    async def run(self) -> None:
        """Looks at the roll-outs that run, until cancelled."""
        while True:
            rows = self._list_running()
            for row in rows:
                await self._advance(row)
            if rows:
                await anyio.sleep(clock.seconds(CHECK_PERIOD_MS))
            else:
                self._books = {}
                await self._node.changed.wait(clock.seconds(IDLE_PERIOD_MS))

    def _list_running(self) -> list[control_pb2.RolloutRecord]:
        if not self._node.replica.is_ready:
            return []
        rows = self._node.tables.rollouts()
        return [row for row in rows if commands.is_running(row)]

    async def _advance(self, row: control_pb2.RolloutRecord) -> None:
        """Commits the next step of a roll-out if one is due."""
        book = self._get_book(row)
        progress = book.make_progress(
            row,
            self._node.tables,
            self._node.estimate_log_ms(),
            self._clock.now(),
        )
        move = rollout_steps.plan(progress, self.limits)
        if move is None:
            return
        proposed = control_pb2.Command(
            move_rollout=control_pb2.MoveRollout(
                service=row.service,
                order=row.order,
                from_step=row.step,
                stage=int(move.stage),
                share_ppm=round(move.share * bookkeeping.PPM),
                reason=move.reason,
            )
        )
        results = await self._node.propose([proposed])
        if not results or results[0].status != control_pb2.STATUS_OK:
            return
        logger.info(
            "moved roll-out",
            service=row.service,
            version=row.version,
            stage=move.stage.name.lower(),
            share=round(move.share, 4),
            reason=move.reason,
            elapsed_ms=round(progress.elapsed_ms),
            requests=progress.requests,
            new_sent=progress.new_sent,
        )
