"""Steps for the rules of taking out, on the state machine alone."""

import secrets

from behave import given
from behave import then
from behave import when

from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

OPERATOR = "tests"


def _apply(context, **command):
    if not hasattr(context, "tables"):
        context.tables = tables_lib.Tables()
        context.index = 0
    context.index += 1
    return machine.apply(
        context.tables, control_pb2.Command(**command), context.index
    )


@given('targets of {service} in "{places}"')
def add_targets(context, service, places):
    for number, place in enumerate(places.split()):
        data_centre, _, state = place.partition(":")
        announced = control_pb2.TargetSeen(
            service=service,
            address=f"10.0.0.{number}:80",
            data_centre=data_centre,
            slots=3,
            instance=place,
            state=state or "ready",
        )
        _apply(context, target_seen=announced)


@given('entries in "{places}"')
def add_entries(context, places):
    for place in places.split():
        joined = control_pb2.EntryJoin(
            name=place, nonce=place, data_centre=place
        )
        _apply(context, entry_join=joined)


def _take_out(context, data_centre, force=False):
    context.command = control_pb2.TakeOut(
        change_id=secrets.token_hex(8),
        data_centre=data_centre,
        operator=OPERATOR,
        force=force,
    )
    context.result = _apply(context, take_out=context.command)


@given('"{data_centre}" is out of service already')
def take_out_before(context, data_centre):
    _take_out(context, data_centre, force=True)


@given('"" is out of service already')
def take_out_nothing(context):
    assert not context.tables.outs()


@when('an operator takes out "{data_centre}"')
def take_out(context, data_centre):
    _take_out(context, data_centre)


@when('an operator takes out "{data_centre}" by force')
def take_out_by_force(context, data_centre):
    _take_out(context, data_centre, force=True)


@when('an operator brings back "{data_centre}"')
def bring_back(context, data_centre):
    back = control_pb2.BringBack(
        change_id=secrets.token_hex(8),
        data_centre=data_centre,
        operator=OPERATOR,
    )
    context.result = _apply(context, bring_back=back)


@when("the same change is resent")
def send_again(context):
    context.first = context.result
    context.result = _apply(context, take_out=context.command)


@then("both have the same revision")
def check_same(context):
    assert context.first.revision == 1, context.first
    assert context.result == context.first, context.result


@then('it is "{outcome}"')
def check_outcome(context, outcome):
    if outcome == "accepted":
        assert context.result.status == control_pb2.STATUS_OK, context.result
        return
    assert context.result.status == control_pb2.STATUS_REFUSED, context.result
    assert outcome in context.result.message, context.result
