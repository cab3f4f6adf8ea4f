"""Steps for the replicated log, without processes."""

import os

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from cardamomkeel.replication import election_timer
from cardamomkeel.replication import members as members_lib
from cardamomkeel.replication import storage as storage_lib
from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.state.commands import claims
from cardamomkeel.wire import control_pb2
from features import replicas

EXAMPLES = int(os.environ.get("HISTORIES", "60"))
ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                *["run", "run", "part", "deliver", "deliver", "repeat"],
                *["drop", "propose", "propose", "crash", "compact"],
                *["lose_disk", "cut", "heal"],
            ]
        ),
        strategies.integers(0, 60),
    ),
    min_size=20,
    max_size=120,
)


def act(group, action, number):
    """Applies one action of a history to a group."""
    names = list(group.replicas)
    name = names[number % len(names)]
    leader = group.leader()
    if action == "run":
        group.run(50 * (number + 1))
    elif action == "part":
        group.now += 20 * number
        group.pump()
    elif action in ("deliver", "repeat"):
        group.deliver(number, duplicate=action == "repeat")
    elif action == "propose" and leader is not None:
        group.propose(group.name_of(leader), sync=number % 2 == 0)
    elif action == "crash":
        group.restart(name)
    elif action == "cut" and not group.cut:
        group.cut.add(name)
    elif action == "heal":
        group.cut.clear()
    elif action == "lose_disk" and is_fully_replicated(group):
        group.lose_disk(name)
    elif action in ("drop", "compact"):
        getattr(group, action)(number if action == "drop" else name)
    group.check_invariants()


def is_fully_replicated(group):
    """Returns whether all replicas are voters in sync.

    Only then may the group lose one disk.
    """
    leader = group.leader()
    ids = {replica.id for replica in group.replicas.values()}
    return (
        leader is not None
        and not group.cut
        and set(members_lib.voters(leader.members)) == ids
        and all(
            replica.commit_index == leader.commit_index == leader.log.last_index
            for replica in group.replicas.values()
        )
    )


@then("no history of {count:d} replicas violates an invariant")
def check_histories(context, count):  # noqa: ARG001
    names = [f"control-{number + 1}" for number in range(count)]

    @hypothesis.settings(
        max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(strategies.integers(0, 2**16), ACTIONS)
    def check(seed, actions):
        group = replicas.Group(names, seed)
        for action, number in actions:
            act(group, action, number)
        group.cut.clear()
        group.run(6000)
        assert group.leader() is not None, "no leader after all has healed"

    check()


@given("a group of replicas {names} that expects {expected}")
def make_group_that_expects(context, names, expected):
    context.group = replicas.Group(names.split(), 1, expected)
    context.group.run(2500)
    context.leader = context.group.leader()


@given("a group of replicas {names}")
def make_group(context, names):
    make_group_that_expects(context, names, "")


def add_learner(context, name):
    group = context.group
    group.replicas[name] = None
    group.lose_disk(name)
    member_id = group.replicas[name].id
    member = control_pb2.Member(id=member_id, name=name, address="-")
    changed = members_lib.with_learner(context.leader.members, member)
    assert context.leader.propose_members(changed) is not None
    group.cut.add(name)
    group.run(400)
    return member_id


@when("{name} is promoted to voter but does not receive the change")
def promote_without_append(context, name):
    group = context.group
    member_id = add_learner(context, name)
    changed = members_lib.with_voter(context.leader.members, member_id)
    context.index = context.leader.propose_members(changed)
    assert context.index is not None
    group.run(400)
    group.cut.clear()
    # The new voter has all entries except the newest, its own promotion.
    storage = group.storages[name]
    missing_newest = context.leader.log.entries(1, context.index - 1)
    storage.append(
        [control_pb2.LogEntry.FromString(serialize(e)) for e in missing_newest]
    )
    storage.sync()
    group.restart(name)


def serialize(entry):
    """Returns an entry as bytes."""
    return entry.SerializeToString()


@when("{name} is promoted to voter and only it receives the change")
def promote_with_append(context, name):
    group = context.group
    member_id = add_learner(context, name)
    leader = context.leader
    changed = members_lib.with_voter(leader.members, member_id)
    index = leader.propose_members(changed)
    storage = group.storages[name]
    known = leader.log.entries(1, index)
    storage.append(
        [control_pb2.LogEntry.FromString(serialize(e)) for e in known]
    )
    storage.sync()
    group.cut.clear()
    group.restart(name)


@then("the change is not committed")
def check_not_committed(context):
    assert context.leader.commit_index < context.index, (
        context.leader.commit_index
    )


@when("the leader is lost permanently")
def lose_leader(context):
    context.group.in_transit.clear()
    context.group.cut.add(context.group.name_of(context.leader))


@then("another replica leads within {ms:d} ms")
def check_other_leads(context, ms):
    context.group.run(ms)
    leader = context.group.leader()
    assert leader is not None and leader is not context.leader


def measure_replacement(names, seed, max_ms):
    """Returns how long a group has no leader after it lost one."""
    group = replicas.Group(names, seed)
    group.run(2500)
    group.in_transit.clear()
    group.cut.add(group.name_of(group.leader()))
    lost_at = group.now
    while group.leader() is None and group.now - lost_at <= max_ms:
        group.run(replicas.STEP_MS)
    return group.now - lost_at


@then(
    "each of {count:d} groups of {size:d} replicas replaces a lost leader in "
    "{max_ms:d} ms"
)
def check_replaced(context, count, size, max_ms):  # noqa: ARG001
    names = [f"control-{number + 1}" for number in range(size)]
    recovery_ms = [
        measure_replacement(names, seed, max_ms) for seed in range(count)
    ]
    slow_seeds = [seed for seed, ms in enumerate(recovery_ms) if ms > max_ms]
    print(f"the slowest took {max(recovery_ms):.0f} ms")
    assert not slow_seeds, (len(slow_seeds), slow_seeds[:5])


@when("the leader receives a reply of another disk to a snapshot")
def answer_snapshot(context):
    group = context.group
    leader = context.leader
    group.compact(group.name_of(leader))
    group.in_transit.clear()
    group.now += 500
    context.requested_at = group.now
    for member in leader.followers:
        req = leader.make_snapshot_request(group.now, member)
        name = member.rpartition(".")[0]
        group.lose_disk(name)
        reply = group.replicas[name].handle_snapshot(group.now, req)
        leader.on_snapshot_reply(group.now, req, group.now, reply)


@then("the reply does not confirm the leader")
def check_not_confirmed(context):
    confirmed_at = context.leader.quorum_acked_at(context.group.now)
    assert confirmed_at < context.requested_at


@when("the leader receives a higher term from another disk")
def answer_with_term(context):
    leader, now = context.leader, context.group.now
    member = next(iter(leader.followers))
    leader.on_append_reply(
        now,
        leader.make_append_request(now, member),
        now,
        control_pb2.AppendReply(term=leader.term + 1, wrong_member=True),
    )


@then("it is still the leader")
def check_still_leads(context):
    assert context.leader.is_leader


@when("the leader removes itself")
def remove_leader(context):
    leader = context.leader
    name = context.group.name_of(leader)
    assert leader.propose_members(
        members_lib.without_member(leader.members, name)
    )
    context.group.run(500)


@then("the removed replica does not lead")
def check_removed(context):
    assert not context.leader.is_leader


@when("a follower receives other entries at a committed index")
def replace_committed(context):
    group = context.group
    follower = group.replicas[context.leader.members.members[-1].name]
    if follower is context.leader:
        follower = group.replicas[context.leader.members.members[0].name]
    entry = control_pb2.LogEntry(index=1, term=follower.term + 1, noop=True)
    req = control_pb2.AppendRequest(
        to=follower.id, leader="x", term=follower.term + 1, entries=[entry]
    )
    context.raised = None
    try:
        follower.handle_append(group.now, req)
    except storage_lib.StorageFailedError as exc:
        context.raised = exc


@then("it refuses them with an error")
def check_refused(context):
    assert context.raised is not None
    assert "committed" in str(context.raised), context.raised


@when("a follower receives entries that it has compacted")
def repeat_old_append(context):
    group = context.group
    leader = context.leader
    name = next(iter(leader.followers)).rpartition(".")[0]
    req = control_pb2.AppendRequest(
        to=group.replicas[name].id,
        leader=leader.id,
        term=leader.term,
        entries=leader.log.entries(1, 1),
    )
    group.compact(name)
    context.follower = group.replicas[name]
    context.reply = context.follower.handle_append(group.now, req)


@then("it acknowledges its commit index")
def check_commit_acknowledged(context):
    assert context.reply.accepted, context.reply
    assert context.reply.match_index == context.follower.commit_index


@when("{name} is a learner that has been unresponsive for {ms:d} ms")
def add_unresponsive_learner(context, name, ms):
    context.member_id = add_learner(context, name)
    progress = context.leader.followers[context.member_id]
    progress.match_index = context.leader.commit_index
    progress.acked_sent_at = context.group.now - ms


@then("it does not count as caught up")
def check_not_caught_up(context):
    assert not context.leader.is_caught_up(context.member_id, context.group.now)


def get_follower_name(context):
    """Returns the name of a follower."""
    return next(iter(context.leader.followers)).rpartition(".")[0]


def make_vote_request(context, to, candidate):
    """Returns a vote request that every live voter should grant."""
    return control_pb2.VoteRequest(
        to=to,
        candidate=candidate,
        term=context.leader.term + 1,
        last_index=context.leader.log.last_index,
        last_term=context.leader.log.last_term,
    )


@when("a follower loses its disk and gets requests for its earlier id")
def send_to_earlier_disk(context):
    group, leader = context.group, context.leader
    name = get_follower_name(context)
    earlier = group.replicas[name].id
    group.lose_disk(name)
    group.now += 5000
    request = leader.make_append_request(group.now, earlier)
    vote = make_vote_request(context, earlier, leader.id)
    replica = group.replicas[name]
    context.vote = replica.handle_vote(group.now, vote)
    context.append_reply = replica.handle_append(group.now, request)


@then("it neither votes nor stores entries")
def check_earlier_disk(context):
    assert not context.vote.granted
    assert (
        context.append_reply.wrong_member and not context.append_reply.accepted
    )


@when("a follower votes, restarts and gets another vote request")
def vote_twice(context):
    group = context.group
    name = get_follower_name(context)
    member_id = group.replicas[name].id
    group.now += 5000
    first = make_vote_request(context, member_id, context.leader.id)
    assert group.replicas[name].handle_vote(group.now, first).granted
    group.restart(name)
    group.now += 5000
    second = make_vote_request(context, member_id, "control-x.first")
    context.vote = group.replicas[name].handle_vote(group.now, second)


@then("it refuses the second vote of the term")
def check_second_vote(context):
    assert not context.vote.granted


@when("a new leader learns that all members have an earlier entry")
def count_earlier_term(context):
    group = context.group
    name = group.name_of(context.leader)
    group.cut = set(group.replicas) - {name}
    group.propose(name)
    context.index = context.leader.log.last_index
    group.in_transit.clear()
    group.restart(name)
    candidate = group.replicas[name]
    context.leader = candidate
    group.now += 5000
    for vote in candidate.tick(group.now):
        reply = control_pb2.VoteReply(term=candidate.term, granted=True)
        for vote_of_term in candidate.on_vote_reply(group.now, vote, reply):
            candidate.on_vote_reply(group.now, vote_of_term, reply)
    assert candidate.is_leader
    for member in candidate.followers:
        request = candidate.make_append_request(group.now, member)
        reply = control_pb2.AppendReply(
            term=candidate.term, accepted=True, match_index=context.index
        )
        candidate.on_append_reply(group.now, request, group.now, reply)


@then("it has not committed the entry and is not ready")
def check_earlier_term(context):
    assert context.leader.commit_index < context.index, (
        context.leader.commit_index
    )
    assert not context.leader.is_ready


@given("tables that were loaded from a snapshot with an answer")
def load_snapshot(context):
    context.state = control_pb2.State(
        claims=[
            control_pb2.ClaimRecord(
                service="s",
                key="k",
                state=control_pb2.CLAIM_ANSWERED,
                answer=control_pb2.Answer(body=b"answer"),
            )
        ]
    )
    context.tables = tables_lib.Tables()
    context.tables.load(context.state)


@when("the answer expires")
def drop_answer(context):
    later_ms = claims.ANSWER_RETENTION_MS + 1
    sweep = control_pb2.Command(sweep=control_pb2.Sweep(), log_ms=later_ms)
    machine.apply(context.tables, sweep, 1)
    assert context.tables.claims.get(("s", "k")).answer_dropped


@then("the snapshot still holds the answer")
def check_snapshot(context):
    assert context.state.claims[0].answer.body == b"answer"


@when("the leader has appended without a sync")
def append_unsynced(context):
    context.name = context.group.name_of(context.leader)
    context.group.propose(context.name, sync=False)
    context.index = context.leader.log.last_index


@when("one other member has an entry that the leader has not synced")
def replicate_unsynced(context):
    append_unsynced(context)
    group, leader = context.group, context.leader
    member = next(iter(leader.followers))
    follower = next(r for r in group.replicas.values() if r.id == member)
    request = leader.make_append_request(group.now, member)
    reply = follower.handle_append(group.now, request)
    leader.on_append_reply(group.now, request, group.now, reply)


@then("the entry is committed only once the leader has synced it")
def check_commit_of_synced(context):
    assert context.leader.commit_index < context.index, (
        context.leader.commit_index
    )
    context.leader.sync()
    assert context.leader.commit_index == context.index, (
        context.leader.commit_index
    )


@when("a newer leader sends a heartbeat at the same log position")
def append_nothing(context):
    leader = context.leader
    request = control_pb2.AppendRequest(
        to=leader.id,
        leader="control-9.first",
        term=leader.term + 1,
        previous_index=leader.log.last_index,
        previous_term=leader.log.last_term,
    )
    context.reply = leader.handle_append(context.group.now, request)


@then("the entries that it acknowledges are on its disk")
def check_confirmed_on_disk(context):
    assert context.reply.match_index == context.index, context.reply
    synced = context.group.storages[context.name].stored.entries
    assert synced[-1].index == context.index, synced[-1].index


def measure_recovery(seed):
    """Returns how long a group has no leader after a power loss."""
    group = replicas.Group([f"control-{n}" for n in range(3)], seed)
    group.run(2500)
    group.in_transit.clear()
    for name in list(group.replicas):
        group.restart(name)
    began = group.now
    while group.leader() is None and group.now < began + 5000:
        group.run(replicas.STEP_MS)
    return group.now - began


@when("groups of 3 replicas lose power and start again, {count:d} times")
def lose_power(context, count):
    context.recovery_ms = sorted(
        measure_recovery(seed) for seed in range(count)
    )


@then("each has a leader within {ms:d} ms")
def check_recovered(context, ms):
    assert context.recovery_ms[-1] <= ms, context.recovery_ms


@then("half of them within the least election timeout")
def check_recovered_soon(context):
    median_ms = context.recovery_ms[len(context.recovery_ms) // 2]
    min_timeout_ms = election_timer.Timings().election_least_ms
    assert median_ms <= min_timeout_ms, context.recovery_ms


@then("half of them within two heartbeats")
def check_recovered_at_once(context):
    median_ms = context.recovery_ms[len(context.recovery_ms) // 2]
    limit_ms = 2 * election_timer.Timings().heartbeat_ms
    assert median_ms <= limit_ms, context.recovery_ms


@when("the other replicas restart in turn, {count:d} times")
def restart_others(context, count):
    group = context.group
    context.term = context.leader.term
    leader = group.name_of(context.leader)
    others = [name for name in group.replicas if name != leader]
    for number in range(count):
        group.restart(others[number % len(others)])
        group.run(1000)


@then("the same leader still leads in the same term")
def check_undisturbed(context):
    assert context.group.leader() is context.leader
    assert context.leader.term == context.term


@when("a follower votes and needs {ms:d} ms to write that")
def vote_slowly(context, ms):
    group = context.group
    name = get_follower_name(context)
    context.voter = group.replicas[name]
    # Its leader has been silent for an election.
    group.now += election_timer.Timings().election_most_ms
    req = make_vote_request(context, context.voter.id, "control-9")
    assert context.voter.handle_vote(group.now, req).granted
    group.now += ms
    context.voter.record_write(group.now, ms)


@then("it does not campaign within {ms:d} ms of the end of the write")
def check_no_campaign(context, ms):
    until = context.group.now + ms
    while context.group.now < until:
        assert not context.voter.tick(context.group.now)
        context.group.now += replicas.STEP_MS


def start_campaign(context):
    """Lets a follower win its pre-vote; sets its vote requests."""
    group = context.group
    candidate = group.replicas[get_follower_name(context)]
    context.candidate = candidate
    pre_votes = []
    while not pre_votes:
        group.now += replicas.STEP_MS
        pre_votes = candidate.tick(group.now)
    reply = control_pb2.VoteReply(term=candidate.term, granted=True)
    for req in pre_votes:
        votes = candidate.on_vote_reply(group.now, req, reply)
        context.votes = votes or getattr(context, "votes", [])
    context.campaign_term = candidate.term
    assert len(context.votes) == len(pre_votes), context.votes


def answer_vote(context, req, granted):
    reply = control_pb2.VoteReply(term=context.campaign_term, granted=granted)
    return context.candidate.on_vote_reply(context.group.now, req, reply)


def tick_candidate(context, ms):
    """Returns the vote requests that a candidate sends within a time."""
    sent = []
    until = context.group.now + ms
    while context.group.now < until and not sent:
        context.group.now += replicas.STEP_MS
        sent = context.candidate.tick(context.group.now)
    return sent


@when("the votes for a candidate arrive {ms:d} ms after its requests")
def delay_votes(context, ms):
    start_campaign(context)
    assert not tick_candidate(context, ms)
    for req in context.votes:
        answer_vote(context, req, granted=True)


@when("the votes for a candidate are refused")
def refuse_votes(context):
    start_campaign(context)
    for req in context.votes:
        answer_vote(context, req, granted=False)


@when("one vote for a candidate is refused, and the other one is late")
def refuse_one_vote(context):
    start_campaign(context)
    refused, late = context.votes
    answer_vote(context, refused, granted=False)
    failed = context.candidate.on_vote_failure
    failed(context.group.now, late)
    assert tick_candidate(context, 1200), "no further campaign"
    answer_vote(context, late, granted=True)


@then("it leads in the term of these votes")
def check_leads(context):
    assert context.candidate.is_leader
    assert context.candidate.term == context.campaign_term


@then("it campaigns again within {ms:d} ms")
def check_campaigns_again(context, ms):
    assert tick_candidate(context, ms)


@when(
    "the followers report writes of {write_ms:d} ms and are silent for "
    "{ms:d} ms"
)
def stop_answering(context, write_ms, ms):
    group, leader = context.group, context.leader
    for member in list(leader.followers):
        req = leader.make_append_request(group.now, member)
        reply = control_pb2.AppendReply(
            term=leader.term,
            accepted=True,
            match_index=leader.log.last_index,
            slow_write_ms=write_ms,
        )
        leader.on_append_reply(group.now, req, group.now, reply)
    until = group.now + ms
    while group.now < until:
        group.now += replicas.STEP_MS
        leader.tick(group.now)


@then("it is no longer the leader")
def check_stepped_down(context):
    assert not context.leader.is_leader
