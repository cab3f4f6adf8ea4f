"""The gRPC services of a control VM."""

from grpclib import server as grpc_server

from cardamomkeel import clock
from cardamomkeel.control import instance_registry as registry_lib
from cardamomkeel.control import membership
from cardamomkeel.control import node as node_lib
from cardamomkeel.control import stream_server as stream_server_lib
from cardamomkeel.replication import members as members_lib
from cardamomkeel.wire import control_grpc
from cardamomkeel.wire import control_pb2


class ReplicationService(control_grpc.ReplicationBase):
    """Calls between control VMs."""

    def __init__(self, node: node_lib.ControlNode, clk: clock.Clock):
        self._node = node
        self._clock = clk

    async def Vote(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Answers the vote request of a candidate."""
        req = await stream.recv_message()
        reply = self._node.handle(self._node.replica.handle_vote, req)
        await stream.send_message(reply)

    async def Append(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Appends log entries of the leader."""
        req = await stream.recv_message()
        reply = self._node.handle(self._node.replica.handle_append, req)
        await stream.send_message(reply)

    async def InstallSnapshot(  # noqa: N802
        self, stream: grpc_server.Stream
    ) -> None:
        """Installs a snapshot of the leader's state."""
        req = await stream.recv_message()
        reply = self._node.handle(self._node.replica.handle_snapshot, req)
        await stream.send_message(reply)

    async def Greet(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Reports to an initial member that the group has formed."""
        await stream.recv_message()
        replica = self._node.replica
        await stream.send_message(
            control_pb2.GreetReply(
                member_id=replica.id, term=replica.term, formed=True
            )
        )

    async def Stand(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Becomes a candidate at the request of a leader that stops."""
        req = await stream.recv_message()
        standing = self._node.campaign(req)
        await stream.send_message(control_pb2.StandReply(standing=standing))

    async def Join(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Adds a control VM as a learner."""
        req = await stream.recv_message()
        await stream.send_message(self._join(req.member))

    async def Leave(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Removes a member that stops if the group is safer without it."""
        req = await stream.recv_message()
        await stream.send_message(
            await membership.leave(self._node, self._clock, req)
        )

    def _join(self, member: control_pb2.Member) -> control_pb2.JoinReply:
        replica = self._node.replica
        if not replica.is_ready:
            return control_pb2.JoinReply(
                leader_address=self._node.leader_address(),
                message="this control VM does not lead",
            )
        if members_lib.get_member_by_id(replica.members, member.id):
            return control_pb2.JoinReply(accepted=True)
        known = members_lib.get_member_by_name(replica.members, member.name)
        if known and replica.is_live(known.id, self._clock.now()):
            return control_pb2.JoinReply(
                message=f"{member.name} is taken by a control VM that is live"
            )
        changed = members_lib.with_learner(
            replica.members, member, self._node.max_members
        )
        if changed is None:
            return control_pb2.JoinReply(
                message=f"{member.name} is not expected; an operator adds it "
                f"with `cardamomkeel member add {member.name}`"
            )
        if self._node.propose_members(changed) is None:
            return control_pb2.JoinReply(message="another change is open")
        return control_pb2.JoinReply(accepted=True)


class ControlService(control_grpc.ControlBase):
    """Calls of entries and operators to the control group."""

    def __init__(
        self,
        node: node_lib.ControlNode,
        stream_server: stream_server_lib.StreamServer,
        clk: clock.Clock,
        registry: registry_lib.InstanceRegistry,
    ):
        self._registry = registry
        self._node = node
        self._stream_server = stream_server
        self._clock = clk

    async def Follow(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Sends leases and changed rows until the stream ends."""
        await self._stream_server.serve(stream)

    async def Announce(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Registers announcements of backend servers."""
        req = await stream.recv_message()
        done = await self._registry.announce(list(req.instances))
        await stream.send_message(
            control_pb2.AnnounceReply(
                leader=done is not None,
                leader_address=self._node.leader_address(),
            )
        )

    async def Propose(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Commits commands."""
        req = await stream.recv_message()
        results = await self._node.propose(list(req.commands))
        if results is None:
            reply = control_pb2.ProposeReply(
                leader_address=self._node.leader_address()
            )
        else:
            reply = control_pb2.ProposeReply(leader=True, results=results)
        await stream.send_message(reply)

    async def Read(self, stream: grpc_server.Stream) -> None:  # noqa: N802
        """Reads rows after a majority has confirmed the leader."""
        req = await stream.recv_message()
        await stream.send_message(await self._read(req))

    async def _read(
        self, req: control_pb2.ReadRequest
    ) -> control_pb2.ReadReply:
        node = self._node
        if not await node.confirm_leadership(self._clock.now()):
            return control_pb2.ReadReply(leader_address=node.leader_address())
        tables = node.tables
        return control_pb2.ReadReply(
            leader=True,
            records=tables.read(req.key),
            claim=tables.claims.get((req.service, req.claim_key)),
            progress=self._progress(req.version),
            revision=tables.revision,
            version=tables.version,
            members=node.replica.members,
            unknown_claims=(
                tables.claims.get_by_state(control_pb2.CLAIM_UNKNOWN)
                if req.list_unknown
                else None
            ),
        )

    async def ChangeMembers(  # noqa: N802
        self, stream: grpc_server.Stream
    ) -> None:
        """Allows a control VM to join, or removes it."""
        req = await stream.recv_message()
        await stream.send_message(
            await membership.change(self._node, self._clock, req)
        )

    def _progress(self, version: int) -> list[control_pb2.EntryProgress]:
        """Returns the entries that have not confirmed a version yet."""
        if not version:
            return []
        node = self._node
        now = self._clock.now()
        return [
            control_pb2.EntryProgress(
                name=entry.name,
                session=entry.session,
                version=node.leases.get_confirmed_version(entry.session),
                lease_over=node.leases.has_expired(entry.session, now),
            )
            for entry in node.tables.entries()
            if node.leases.get_confirmed_version(entry.session) < version
        ]
