"""Steps of what callers may not send to an entry that has routes."""

from behave import then
from behave import when

FIELDS = b"Host: desk.example\r\nRequest-Id: r-raw\r\nDeadline-Ms: 3000\r\n"
POST = b"POST /book/1 HTTP/1.1\r\n" + FIELDS
GET = b"GET /look/1 HTTP/1.1\r\n" + FIELDS
CHUNKED = b"Transfer-Encoding: chunked\r\n"
NO_CHUNKS = b"\r\n0\r\n\r\n"
HIDDEN = b"GET /look/2 HTTP/1.1\r\nRequest-Id: r-hidden\r\n\r\n"

REQUESTS = {
    "two lengths": POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "the same length twice": POST
    + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
    "a length and chunks": POST
    + b"Content-Length: 5\r\n"
    + CHUNKED
    + NO_CHUNKS,
    "a coding that is not known": POST
    + b"Transfer-Encoding: xchunked\r\n"
    + NO_CHUNKS,
    "a coding before chunks": POST
    + b"Transfer-Encoding: gzip, chunked\r\n"
    + NO_CHUNKS,
    "two codings": POST
    + CHUNKED
    + b"Transfer-Encoding: identity\r\n"
    + NO_CHUNKS,
    "a space before the colon": POST + b"Content-Length : 1\r\n\r\na",
    "a negative length": POST + b"Content-Length: -1\r\n\r\na",
    "a length with a sign": POST + b"Content-Length: +1\r\n\r\na",
    "a folded header": POST + b"X-A: b\r\n c\r\nContent-Length: 0\r\n\r\n",
    "line feeds alone": GET.replace(b"\r\n", b"\n") + b"\n",
    "a carriage return in a value": GET + b"X-A: b\rInjected: c\r\n\r\n",
    "a zero byte in a value": GET + b"X-A: b\x00c\r\n\r\n",
    "a chunk without a size": POST + CHUNKED + b"\r\nzz\r\nab\r\n0\r\n\r\n",
    "two hosts": GET + b"Host: other.example\r\n\r\n",
    "a space in the path": b"GET /look/1 /x HTTP/1.1\r\n" + FIELDS + b"\r\n",
    "a control character in the path": b"GET /look/\x01 HTTP/1.1\r\n"
    + FIELDS
    + b"\r\n",
    "another protocol": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
}


def send(context, raw):
    context.conn = context.rig.connect()
    context.add_cleanup(context.conn.close)
    context.conn.send_raw(raw)
    context.answers = [context.conn.receive()]


def get_arrival(context):
    (target,) = context.rig.farm.targets
    (arrival,) = target.arrivals
    return arrival


@when("a caller sends the bytes of {name}")
def send_named(context, name):
    send(context, REQUESTS[name])


@when("a lookup comes with {name} twice")
def send_twice(context, name):
    send(context, GET + f"{name}: 7\r\n\r\n".encode())


@when("a booking comes whose body reads like a request")
def send_hidden(context):
    length = f"Content-Length: {len(HIDDEN)}\r\n\r\n".encode()
    send(context, POST + length + HIDDEN)


@when("a booking comes in chunks, with an extension and a header behind them")
def send_chunks(context):
    size = f"\r\n{len(HIDDEN):x};a=b\r\n".encode()
    behind = b"\r\n0\r\nX-Behind: b\r\n\r\n"
    send(context, POST + CHUNKED + size + HIDDEN + behind)


@when(
    "a lookup comes that calls its id and its deadline headers of its "
    "connection"
)
def send_named_headers(context):
    send(context, GET + b"Connection: Request-Id, Deadline-Ms\r\n\r\n")


@then("it is refused with {status:d} and its connection ends")
def check_refused(context, status):
    (answer,) = context.answers
    assert answer.status == status, answer
    assert context.conn.is_ended()


@then("no target was reached")
def check_unreached(context):
    (target,) = context.rig.farm.targets
    assert not target.arrivals, target.arrivals


@then("a lookup on another connection is answered whole")
def check_other(context):
    answer = context.rig.call()
    assert answer.status == 200, answer


@then("the target got that one request and its whole body")
def check_body(context):
    arrival = get_arrival(context)
    assert arrival.request_id == "r-raw", arrival
    assert arrival.path == "/book/1", arrival
    assert arrival.body == HIDDEN, arrival


@then("without the header that stood behind it")
def check_without(context):
    assert "x-behind" not in get_arrival(context).headers


@then("the target got its id and a deadline")
def check_named(context):
    arrival = get_arrival(context)
    assert arrival.request_id == "r-raw", arrival
    assert 0 < int(arrival.headers["deadline-ms"]) <= 3000, arrival
