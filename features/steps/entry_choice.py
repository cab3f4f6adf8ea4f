"""Steps about the entries that callers are given."""

from behave import given
from behave import then
from behave import when

from cardamomkeel.policy import entry_choice
from cardamomkeel.wire import control_pb2


def split_names(text):
    return text.replace(" and ", ", ").split(", ")


def choose(context, data_centre):
    return entry_choice.choose(
        context.entries,
        data_centre,
        lambda name: name in context.unresponsive,
        lambda name: name in context.out,
    )


def list_addresses(context, data_centres):
    return sorted(
        entry.callers_address
        for entry in context.entries
        if entry.data_centre in data_centres
    )


@given("{count:d} entries in each of the data centres {names}")
def make_entries(context, count, names):
    context.unresponsive = set()
    context.out = set()
    context.entries = [
        control_pb2.EntryRecord(
            name=f"{data_centre}-{number}",
            data_centre=data_centre,
            callers_address=f"{data_centre}-{number}:80",
        )
        for data_centre in split_names(names)
        for number in range(count)
    ]


@when("the data centre {name} is out of service")
def take_out(context, name):
    context.out.add(name)


@when("the entry {leaving} is leaving and {unresponsive} is unresponsive")
def lose_entries(context, leaving, unresponsive):
    context.unresponsive.add(unresponsive)
    for entry in context.entries:
        entry.leaving = entry.name == leaving


@then("callers from {data_centre} get the entries of {names}")
def check_given(context, data_centre, names):
    expected = list_addresses(context, split_names(names))
    found = choose(context, data_centre)
    assert found == expected, (found, expected)


@then("callers from {data_centre} get every entry but {names}")
def check_left_out(context, data_centre, names):
    left_out = {f"{name}:80" for name in split_names(names)}
    expected = sorted(
        {entry.callers_address for entry in context.entries} - left_out
    )
    found = choose(context, data_centre)
    assert found == expected, (found, expected)


@then("callers of {count:d} other data centres get every entry in service")
def check_spread(context, count):
    context.answers = [
        choose(context, f"other-{number}") for number in range(count)
    ]
    found = {address for answer in context.answers for address in answer}
    expected = list_addresses(context, ["rennes", "vannes"])
    assert found == set(expected), set(expected) - found


@then("each caller gets {count:d} addresses")
def check_sizes(context, count):
    sizes = {len(answer) for answer in context.answers}
    assert sizes == {count}, sizes
