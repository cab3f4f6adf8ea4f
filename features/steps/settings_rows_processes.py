"""Steps for the settings rows of processes after restarts."""

import json

from behave import then
from behave import when

from bench import deployment as deployment_lib


def _set(context, values, change_id):
    return context.deployment.operate(
        "/v1/set",
        {
            "service": "dossier",
            "values": values,
            "base_revision": context.revision,
            "change_id": change_id,
            "operator": "tests",
        },
    )


def _show(context):
    answer = context.deployment.operate("/v1/show", {}, 30)
    return next(r["settings"] for r in answer["records"] if "settings" in r)


@when(
    "{count:d} changes of one service each are accepted and {name} is killed "
    "meanwhile"
)
def change_often(context, count, name):
    context.revision = int(_show(context)["revision"])
    for number in range(count):
        context.change_id = f"change-{number}"
        result = _set(context, {"queue": 100 + number}, context.change_id)
        assert result["revision"] == context.revision + 1, result
        context.revision = result["revision"]
        if number == count // 2:
            context.deployment.entries[name].kill()
            context.deployment.entries[name].start()
    context.accepted = _show(context)["text"]
    service = json.loads(context.accepted)["services"]["dossier"]
    assert service["queue"] == 99 + count, service


@then(
    "every entry holds the services of the accepted text within {seconds:d} s"
)
def check_entries(context, seconds):
    deployment = context.deployment
    wanted = json.loads(context.accepted)["services"]
    deployment_lib.wait_for(
        lambda: all(
            deployment.dump_entry(name).get("services") == wanted
            for name in deployment.entries
        ),
        seconds,
        "every entry holds the accepted services",
    )


@when("all control VMs are killed and started")
def restart_controls(context):
    controls = context.deployment.controls.values()
    for process in controls:
        process.kill()
    for process in controls:
        process.start()


@then("the accepted text is shown within {seconds:d} s")
def check_text(context, seconds):
    def is_shown():
        shown = _show(context)
        assert shown["text"] == context.accepted
        return int(shown["revision"]) == context.revision

    deployment_lib.wait_for(is_shown, seconds, "the revision is shown")


@when("the change id of the last change is used for another one")
def reuse_id(context):
    context.got = _set(context, {"queue": 7}, context.change_id)


@then("it is refused, and the message says what the id was used for")
def check_refused(context):
    message = context.got["message"]
    assert context.change_id in message, context.got
    assert f"revision {context.revision}" in message, context.got
    assert _show(context)["text"] == context.accepted
