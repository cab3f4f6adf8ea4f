"""Steps about the command line's calls to processes."""

import http.server
import threading

from behave import given
from behave import then
from behave import when
from returns import result

from cardamomkeel.operators import client


class _BodilessResponder(http.server.BaseHTTPRequestHandler):
    """Answers every call with a status and no body."""

    def do_POST(self):  # noqa: N802
        """Answers one call."""
        self.send_response(503)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        """Discards log messages."""


@given("a process that answers every call with status 503 and no body")
def serve_without_body(context):
    server = http.server.HTTPServer(("127.0.0.1", 0), _BodilessResponder)
    context.address = f"127.0.0.1:{server.server_port}"
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.shutdown)


@when("the command line calls that process")
def call_process(context):
    context.answer = client.call([context.address], "secret", "/v1/show", {})


@then("the error names the process and has a remedy")
def check_error(context):
    assert isinstance(context.answer, result.Failure), context.answer
    error = context.answer.failure()
    assert context.address in error.message, error
    assert error.remedy, error
