"""Steps about the budget for measuring load."""

import json
import time

from behave import given
from behave import then
from behave import when
import httpx

from cardamomkeel.policy import measuring

SETTLE_S = 2.0


@when("all announcements of {seconds:d} s are counted")
def count_announcements(context, seconds):
    deployment = context.deployment
    time.sleep(SETTLE_S)
    before = deployment.call_servers("/announcements")
    started = time.monotonic()
    time.sleep(seconds)
    after = deployment.call_servers("/announcements")
    context.counted_s = time.monotonic() - started
    context.counted = {name: after[name] - before[name] for name in after}
    print({n: v / context.counted_s for n, v in context.counted.items()})


@then("they were at most {messages:d} messages and {size:d} bytes a second")
def check_counted(context, messages, size):
    seconds = context.counted_s
    assert context.counted["count"] > 0, context.counted
    assert context.counted["count"] <= messages * seconds, context.counted
    assert context.counted["bytes"] <= size * seconds, context.counted


@then("each target is known and owned")
def check_owned(context):
    context.deployment.wait_ready()


@when("the budget is set to {messages:d} messages and {size:d} bytes a second")
def set_budget(context, messages, size):
    text = json.loads(context.deployment.shape.text)
    text["measuring"] = {
        "messages_per_second": messages,
        "bytes_per_second": size,
    }
    done = context.deployment.apply(json.dumps(text), 1)
    assert "revision" in done, done


@when("a server of {service} announces itself {count:d} times in a row")
def announce_often(context, service, count):
    deployment = context.deployment
    server = next(
        s
        for s in deployment.call_servers("/servers")
        if s["service"] == service
    )
    names = ("service", "address", "data_centre", "slots", "instance", "state")
    announcement = {name: server[name] for name in names}
    owners = [
        name
        for name in deployment.entries
        if server["address"] in deployment.dump_entry(name)["owned"]
    ]
    address = deployment.callers_addresses[owners[0]]
    context.owner = owners[0]
    with httpx.Client(trust_env=False, verify=False) as http:
        context.replies = [
            http.post(f"http://{address}/v1/announce", json=announcement)
            for _ in range(count)
        ]


@then("at least {count:d} were rejected with a time to wait")
def check_rejected(context, count):
    rejected = [got for got in context.replies if got.status_code == 429]
    assert len(rejected) >= count, len(rejected)
    assert all(int(got.headers["retry-after"]) >= 2 for got in rejected)


@then('the metrics name "{words}"')
def check_metrics(context, words):
    address = context.deployment.entry_operators[context.owner]
    got = httpx.get(f"http://{address}/metrics", trust_env=False, verify=False)
    assert words in got.text, got.text


@given("a budget of {messages:d} messages and {size:d} bytes a second")
def make_rate(context, messages, size):
    context.rate = measuring.Rate(messages, size)


@when("{targets:d} targets announce themselves with {size:d} bytes each")
def get_period(context, targets, size):
    context.period_ms = measuring.get_period_ms(context.rate, targets, size)


@then("the period of each target is {period:d} ms")
def check_period(context, period):
    assert context.period_ms == period, context.period_ms


@when("messages of {size:d} bytes arrive every {gap:d} ms for {seconds:d} s")
def offer_messages(context, size, gap, seconds):
    limiters = measuring.RateLimiters()
    context.accepted = sum(
        limiters.try_acquire({"": context.rate}, size, now)
        for now in range(0, seconds * 1000, gap)
    )


@then("at most {most:d} are accepted")
def check_accepted(context, most):
    assert 0 < context.accepted <= most, context.accepted
