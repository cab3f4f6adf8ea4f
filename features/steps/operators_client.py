"""Steps of calls from the command line."""

import http.server
import threading

from behave import given
from behave import then
from behave import when
from returns import result

from cardamomkeel.operators import client


class _Empty(http.server.BaseHTTPRequestHandler):
    """Answers with a status and nothing else."""

    def do_POST(self):  # noqa: N802
        """Answers one call."""
        self.send_response(503)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        """Writes nothing."""


@given("a process that answers every call with status 503 and nothing else")
def serve_empty(context):
    server = http.server.HTTPServer(("127.0.0.1", 0), _Empty)
    context.address = f"127.0.0.1:{server.server_port}"
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.shutdown)


@when("the command line calls that process")
def call(context):
    context.done = client.call([context.address], "secret", "/v1/show", {})


@then("it says that the process gives no answer, and what to do")
def check(context):
    assert isinstance(context.done, result.Failure), context.done
    error = context.done.failure()
    assert context.address in error.message, error
    assert error.remedy, error
