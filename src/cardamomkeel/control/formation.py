"""The first start of a control group.

A new data folder may replace a lost one. The VM must then not vote again, since
the group relies on the votes recorded in the lost folder. A VM with a new
folder therefore starts as a voter only once every other initial member has
reported that the group has not formed yet, or that it has lost its disk and
belongs to no group. If the group has formed, the VM joins as a new member,
which is a learner before it becomes a voter.
"""

import pathlib
import secrets

import anyio
from grpclib import const as grpc_const
from grpclib import exceptions as grpc_exceptions
from grpclib import server as grpc_server
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel import listening
from cardamomkeel.control import channels as channels_lib
from cardamomkeel.control import grpc_server as grpc_server_lib
from cardamomkeel.replication import disk
from cardamomkeel.replication import members as members_lib
from cardamomkeel.settings import addresses as addresses_lib
from cardamomkeel.wire import control_grpc
from cardamomkeel.wire import control_pb2

# Pause between rounds of greetings, short so that the group forms as soon as
# all members run.
GREET_PAUSE_MS = 100.0
# How long one greeting may take, including a slow start of the peer.
GREET_TIMEOUT_MS = 1000.0
# Rounds between two log lines: 5 s, or more if greetings time out.
LOG_EVERY_ROUNDS = 50

logger = loguru.logger


def create_joining(folder: pathlib.Path, name: str) -> None:
    """Creates the data folder of a replica that joins under a new id."""
    member_id = members_lib.member_id(name, secrets.token_hex(6))
    disk.create(folder, member_id, control_pb2.Members(), formed=True)


class _FormationService(control_grpc.ReplicationBase):
    """Tells other initial members whether the group has formed."""

    def __init__(self, hard_state: control_pb2.HardState):
        self.hard_state = hard_state

    async def Greet(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Reports the member id, the term and whether the group has formed."""
        await stream.recv_message()
        await stream.send_message(
            control_pb2.GreetReply(
                member_id=self.hard_state.member_id,
                term=self.hard_state.term,
                formed=self.hard_state.formed,
            )
        )

    async def _refuse(self, stream: grpc_server.Stream) -> None:
        raise grpc_exceptions.GRPCError(
            grpc_const.Status.UNAVAILABLE, "the group is being formed"
        )

    Vote = Append = InstallSnapshot = Join = Stand = Leave = _refuse


class Formation:
    """Decides whether a new data folder forms a group or joins one."""

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        addresses: dict[str, str],
        reach: dict[str, str],
        hard_state: control_pb2.HardState,
        clk: clock.Clock,
    ):
        self._folder = folder
        self._clock = clk
        self._name = name
        self._address = addresses[name]
        self._others = {n: a for n, a in addresses.items() if n != name}
        self._channels = channels_lib.Channels(reach, clk)
        self._hard_state = hard_state

    async def run(self) -> None:
        """Waits until the replica may start from the data folder."""
        service = _FormationService(self._hard_state)
        server = grpc_server_lib.make_server([service], self._clock)
        with listening.report_bind_errors(self._address):
            await server.start(*addresses_lib.split(self._address))
        try:
            await self._wait_for_group()
        finally:
            server.close()
            self._channels.close()

    async def _wait_for_group(self) -> None:
        rounds = 0
        while True:
            replies = await self._greet_all()
            has_leader = any(reply.term > 0 for reply in replies.values())
            if self._hard_state.formed:
                # A member that runs has seen that all were formed. Others may
                # be lost since.
                if (
                    has_leader
                    or self._count_first(replies) < len(replies)
                    or self._are_all_formed(replies)
                ):
                    return
            elif has_leader:
                logger.warning("group already formed, joining as new member")
                create_joining(self._folder, self._name)
                return
            elif self._may_form(replies):
                self._hard_state.formed = True
                disk.save_hard_state(self._folder, self._hard_state)
                continue
            if rounds % LOG_EVERY_ROUNDS == 0:
                missing = sorted(set(self._others) - set(replies))
                logger.info("waiting for initial members", missing=missing)
            rounds += 1
            await anyio.sleep(clock.seconds(GREET_PAUSE_MS))

    def _are_all_formed(
        self, replies: dict[str, control_pb2.GreetReply]
    ) -> bool:
        formed = [name for name, reply in replies.items() if reply.formed]
        return len(formed) == len(self._others)

    def _may_form(self, replies: dict[str, control_pb2.GreetReply]) -> bool:
        """Returns whether no group can have formed, by all other members.

        A member under a new id, without a term, has lost its disk and belongs
        to no group. It can't have been elected, nor have elected another one,
        without the others: a majority of the initial members has not voted.
        """
        members = len(self._others) + 1
        has_majority = self._count_first(replies) + 1 > members // 2
        return len(replies) == len(self._others) and has_majority

    def _count_first(self, replies: dict[str, control_pb2.GreetReply]) -> int:
        """Returns how many replies are of members with their first disk."""
        return sum(
            reply.member_id
            == members_lib.member_id(name, members_lib.INITIAL_INCARNATION)
            for name, reply in replies.items()
        )

    async def _greet_all(self) -> dict[str, control_pb2.GreetReply]:
        replies = {}

        async def greet(name: str, address: str) -> None:
            reply = await self._channels.call(
                address,
                control_grpc.ReplicationStub,
                "Greet",
                control_pb2.GreetRequest(),
                GREET_TIMEOUT_MS,
            )
            if isinstance(reply, result.Success):
                replies[name] = reply.unwrap()

        async with anyio.create_task_group() as tasks:
            for name, address in self._others.items():
                tasks.start_soon(greet, name, address)
        return replies
