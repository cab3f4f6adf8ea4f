"""Steps for the limits of client accounts."""

import concurrent.futures
import math
import time

from behave import given
from behave import then
from behave import when
import httpx

from bench import gateway as gateway_lib
from bench import platform as platform_lib
from bench import quota_plays
from cardamomkeel.accounts import digests
from cardamomkeel.accounts import quota_keeper
from cardamomkeel.accounts import quota_messages
from cardamomkeel.policy import quota
from cardamomkeel.policy import quota_keepers

KEY = {"authorization": "Bearer the-key"}


@when(
    "{count:d} plays of 142 entries are played, with a fault and a rush of 9 "
    "times"
)
def play(context, count):
    context.played = quota_plays.play_many(count, hits_keeper=False)


@when("{count:d} plays are played whose fault hits the keeper")
def play_keeper(context, count):
    context.played = quota_plays.play_many(count, seed=1000)


@then("no window of 5 s exceeds the bound")
def check_bound(context):
    worst, _, _ = context.played
    assert worst <= 1, worst


@then("at least {share:f} of what was below the limit was admitted")
def check_served(context, share):
    _, due, served = context.played
    assert served.total() >= share * due.total(), (due, served)


@then(
    "an account below {share:f} of its limit costs no message at {count:d} "
    "entries"
)
def check_messages(_, share, count):
    entries, quota_plays.ENTRIES = quota_plays.ENTRIES, count
    try:
        rate = 4
        played = quota_plays.Play(3, "none", rate * share, 1, rate=rate).run()
    finally:
        quota_plays.ENTRIES = entries
    assert played.asked and not played.sent, (played.asked, played.sent)


def set_limit(context, number, rate, burst):
    account = {
        "name": "one",
        "key_digests": [digests.make(b"the-key")],
        "rate_per_s": rate,
        "burst": burst,
    }
    routes = gateway_lib.ROUTES
    context.rig.set_routes(routes, number, accounts=[account])


@given(
    "an entry with an account of {rate:d} request a second and a burst of "
    "{burst:d}"
)
def start(context, rate, burst):
    context.rig = gateway_lib.Rig(quota=quota.Bounds(5000, 0, 0))
    context.add_cleanup(context.rig.close)
    context.rig.program.session.lease_until = math.inf
    set_limit(context, 1, rate, burst)
    context.rig.add_entry()
    # A keeper that has just started grants what the rate has added.
    time.sleep(burst / rate + 0.1)


@when("the burst of the account is lowered to {burst:d}")
def lower(context, burst):
    set_limit(context, 2, 1, burst)


@when('every request at any target ends with "{behaviour}"')
def set_always(context, behaviour):
    for target in context.rig.farm.targets:
        target.default_behaviour = behaviour


@when("{count:d} lookups of the account are sent at once")
def send(context, count):
    context.answers = context.rig.call_many(count, **KEY)


@when("the longest Retry-After is over")
def wait_longest(context):
    waits = [float(a.headers.get("retry-after", 0)) for a in context.answers]
    time.sleep(max(waits))


@then(
    "{served:d} are answered 200, and {refused:d} with 429 and a Retry-After "
    "of {least:g} s or more"
)
def check_answers(context, served, refused, least):
    statuses = [answer.status for answer in context.answers]
    assert statuses.count(200) == served, statuses
    assert statuses.count(429) == refused, statuses
    for answer in context.answers:
        if answer.status == 429:
            # Some time has passed since the burst was used up.
            assert float(answer.headers["retry-after"]) >= least - 0.3, answer


@when(
    "an account of {rate:d} requests a second sends {count:d} requests to "
    "both entries"
)
def send_both(context, rate, count):
    fleet = context.fleet
    columns = ["name", "api-keys", "rate-per-s", "burst"]
    tenants = {"columns": columns, "rows": [["one", ["the-key"], rate, rate]]}
    config = platform_lib.make_config(1, tenants=tenants)
    assert fleet.call_control("PUT", "/-/config", config).status_code == 200
    for service in platform_lib.SERVICES:
        fleet.add_target(service)
    for vm in fleet.fronts:
        fleet.wait_for(lambda vm=vm: fleet.is_ready(vm))

    def call(number):
        time.sleep(0.05)
        headers = KEY | {"host": "desk.example", "request-id": f"r-{number}"}
        url = fleet.fronts[number % 2].url("/look/1")
        return fleet.client.get(url, headers=headers).status_code

    fleet.wait_for(lambda: [call(-1), call(-2)] == [200, 200])
    time.sleep(5)
    began = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        context.statuses = list(pool.map(call, range(count)))
    context.took_s = time.monotonic() - began


@then(
    "its targets ran between {least:d} and {most:d} of them, and 429 answered "
    "the others"
)
def check_both(context, least, most):
    farm = context.fleet.farm
    ids = [a.request_id for t in farm.targets for a in t.arrivals if a.ran]
    ran = {name for name in ids if not name.startswith("r--")}
    assert context.took_s < 5, context.took_s
    assert least <= len(ran) <= most, (len(ran), context.took_s)
    fleet = context.fleet
    states = [httpx.get(vm.url("/state", 5)).json() for vm in fleet.fronts]
    refused = sum(state["refused_accounts"].get("one", 0) for state in states)
    assert refused == context.statuses.count(429), states
    others = [s for s in context.statuses if s not in (200, 429)]
    assert not others, others
    assert context.statuses.count(200) == len(ran), len(ran)


class Limited:
    """An account of 20 requests a second."""

    rate_per_s = 20.0
    burst = 10.0


FLEET = {"a": 1, "b": 2, "c": 3}


def list_members(names):
    return quota_keepers.Members(
        {name: FLEET[name] for name in names}, {n: f"z{n}" for n in names}
    )


@given("an account that one of three entries keeps, used once")
def keep_account(context):
    context.now = 60_000.0
    context.keepers, context.places = {}, {}
    context.account = next(
        name
        for name in map(str, range(999))
        if quota_keepers.rank(name, FLEET)[0] == "a"
        and quota_keepers.rank(name, ["b", "c"])[0] == "b"
    )

    def send(name, message):
        context.keepers[name].handle_give_back(message, context.now)

    for name in FLEET:
        places = quota_keepers.Keepers(name, 0.0)
        places.set_members(list_members(FLEET), 1.0)
        context.places[name] = places
        context.keepers[name] = quota_keeper.Keeper(
            *(name, places, quota.Bounds()),
            *(lambda _: Limited, lambda: True, send),
        )
    ask = quota_messages.Ask("c", 1, "", context.account, 1, False)
    context.keepers["a"].decide(ask, context.now)


@when("that entry leaves, and the {first} learns it first")
def leave(context, first):
    for name in "ba" if first == "next keeper" else "ab":
        if context.places[name].set_members(list_members("bc"), context.now):
            context.keepers[name].hand_over(True, context.now)
        context.now += 5.0


@then("the next keeper grants {count:d} requests at once")
def check_granted(context, count):
    ask = quota_messages.Ask("c", 2, "", context.account, count, False)
    answer = context.keepers["b"].decide(ask, context.now)
    assert answer.granted == count, answer
