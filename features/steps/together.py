"""Steps for several faults at once and in a row."""

import types

from behave import given
from behave import then
from behave import when

from bench import faults as faults_lib
from bench import platform_soak
from bench import platform_targets


@when("{names} are injected under load with seed {seed:d}")
def inject_faults(context, names, seed):
    seed = int(context.config.userdata.get("seed", seed))
    context.violations, run = faults_lib.run_seed(seed, names.split(","))
    print(f"seed {seed}: {'; '.join(run.steps)}")
    assert run.call_records.bookings and run.call_records.lookups


@when("{names} are injected into the platform with seed {seed:d}")
def inject_platform_faults(context, names, seed):
    seed = int(context.config.userdata.get("seed", seed))
    context.violations, run = faults_lib.run_platform_seed(
        seed, names.split(",")
    )
    print(f"seed {seed}: {'; '.join(run.steps)}")
    assert any(call.status == 200 for call in run.calls)


@then("all invariants held")
def check_no_violations(context):
    assert not context.violations, "\n".join(context.violations)


def make_arrival(**changes):
    fields = {
        "request_id": "r-1",
        "method": "POST",
        "path": "/book/1",
        "headers": {},
        "body": b"an urn",
        "at": 10.0,
        "head_at": 10.0,
        "ran": True,
    }
    return platform_targets.Arrival(**(fields | changes))


# Changes to the answer of the booking, and to each arrival at the target.
FAULTY_BOOKINGS = {
    "ran twice": ({}, [{}, {}]),
    "ran but was answered 503": ({"status": 503}, [{}]),
    "was answered but never ran": ({}, []),
    "got the answer of another": ({"seal": "seal-r-2"}, [{}]),
    "arrived with another body": ({}, [{"body": b"two urns"}]),
    "was rejected with 404": ({"status": 404}, []),
    "ran on a target after its farewell": ({}, [{"at": 12.5}]),
    "reached a target that had left": ({"sent_at": 32.2}, [{"at": 32.2}]),
    "reached a target that pushed back": ({}, [{"at": 31.5}]),
    "was dropped by an entry that stopped": (
        {"status": None, "sent_at": 20.0, "disconnected_at": 20.5},
        [{}],
    ),
}


# Requests that the same entry sent to the same target before.
EARLIER_CALLS = [
    platform_soak.Call(
        f"r-0{number}",
        "POST",
        "/book/1",
        b"an urn",
        503 if number else 200,
        "seal-r-00",
        platform_targets.BODY,
        "front-1",
        30.0,
        30.1,
    )
    for number in range(4)
]
REFUSAL = {"ran": False, "push_back_s": 2.0}
EARLIER_ARRIVALS = {
    "reached a target that had left": [
        {"request_id": "r-00", "at": 30.05, "says_leaving": True}
    ],
    "reached a target that pushed back": [
        {"request_id": "r-00"},
        *(
            {"request_id": f"r-0{number}", "at": at} | REFUSAL
            for number, at in ((1, 30.0), (2, 30.8), (3, 30.9))
        ),
    ],
}


@given("a booking that {what}")
def judge_booking(context, what):
    answer, arrivals = FAULTY_BOOKINGS[what]
    fields = {
        "status": 200,
        "seal": "seal-r-1",
        "content": platform_targets.BODY,
    }
    call = platform_soak.Call(
        "r-1",
        "POST",
        "/book/1",
        b"an urn",
        entry="front-1",
        **(fields | answer),
    )
    target = types.SimpleNamespace(address="10.0.0.1:80", arrivals=[])
    target.arrivals = [make_arrival(**changes) for changes in arrivals]
    target.arrivals += [
        make_arrival(**changes) for changes in EARLIER_ARRIVALS.get(what, [])
    ]
    out = platform_soak.OutOfService("farewell", (target,), since=12.0)
    # front-2 is killed while the booking runs, front-1 long before.
    disruptions = [
        platform_soak.Disruption("front-2", 20.0, 21.0),
        platform_soak.Disruption("front-1", 12.0, 13.0),
    ]
    has_earlier = what in EARLIER_ARRIVALS
    run = types.SimpleNamespace(
        calls=[call, *(EARLIER_CALLS if has_earlier else [])],
        out_of_service=[] if has_earlier else [out],
        disruptions=disruptions,
        restarts=[],
    )
    run.fleet = types.SimpleNamespace(
        farm=types.SimpleNamespace(targets=[target])
    )
    context.violations = platform_soak.find_request_violations(run)


@then('the judge reports "{words}"')
def check_violation(context, words):
    assert len(context.violations) == 1, context.violations
    assert words in context.violations[0], context.violations
