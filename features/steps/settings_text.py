"""Steps about parsing settings texts."""

import json
import pathlib
import tempfile
from unittest import mock

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import json5

from cardamomkeel.settings import process
from cardamomkeel.settings import reader
from cardamomkeel.settings import services

PIECES = strategies.lists(
    strategies.sampled_from(
        [
            *['"', "'", "//", "/*", "*/", "\\", "\n", "{", "}", "[", "]"],
            *[":", ",", '"a"', '"//"', '"/*"', '"\\""', "1", "a", " "],
            *["/* b */", "// c\n", '{"a": 1}', "null", "[1, 2]", "'d'"],
        ]
    ),
    max_size=12,
)


def try_load(load, text):
    """Returns the content of a text, or ValueError if it is malformed."""
    try:
        return load(text)
    except ValueError:
        return ValueError


@then("no text of JSON, quotes and comments is parsed differently")
def check_texts(context):  # noqa: ARG001
    @hypothesis.settings(
        max_examples=2000, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(PIECES)
    def check(pieces):
        text = "".join(pieces)
        assert try_load(reader.load, text) == try_load(json5.loads, text)

    check()


@when("a text of {count:d} services with comments is parsed")
def read_large(context, count):
    rows = {f"service-{number}": {"slots": 3} for number in range(count)}
    text = "// services\n" + json.dumps(rows, indent=2) + "/* end */"
    with mock.patch.object(reader.json5, "loads") as context.slow:
        assert reader.load(text) == rows


@then("json5 was not called")
def check_not_called(context):
    context.slow.assert_not_called()


@when("the settings text {text} is checked")
def check_text(context, text):
    text = text.replace("\\n", "\n")
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(text)
        file.flush()
        path = pathlib.Path(file.name)
        context.checked = reader.read_file(path, services.ServicesText)


@then('it is refused with "{words}"')
def check_refused_with(context, words):
    assert words in str(context.checked.failure()), context.checked


@then("it is read")
def check_read(context):
    context.checked.unwrap()


@when("a process is given timings that contradict each other")
def check_timings(context):
    context.checked = reader.parse(
        '{"heartbeat_ms": 5000}', process.Timings, "the text"
    )


@then('it is refused without "{words}"')
def check_refused_without(context, words):
    assert words not in str(context.checked.failure()), context.checked
