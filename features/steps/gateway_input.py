"""Steps for requests of callers that a gateway rejects or sanitizes."""

from behave import then
from behave import when

FIELDS = b"Host: desk.example\r\nRequest-Id: r-raw\r\nDeadline-Ms: 3000\r\n"
POST = b"POST /book/1 HTTP/1.1\r\n" + FIELDS
GET = b"GET /look/1 HTTP/1.1\r\n" + FIELDS
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EMPTY_CHUNKED_BODY = b"\r\n0\r\n\r\n"
HIDDEN = b"GET /look/2 HTTP/1.1\r\nRequest-Id: r-hidden\r\n\r\n"

REQUESTS = {
    "two lengths": POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "the same length twice": POST
    + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
    "a length and chunks": POST
    + b"Content-Length: 5\r\n"
    + CHUNKED
    + EMPTY_CHUNKED_BODY,
    "a coding that is not known": POST
    + b"Transfer-Encoding: xchunked\r\n"
    + EMPTY_CHUNKED_BODY,
    "a coding before chunks": POST
    + b"Transfer-Encoding: gzip, chunked\r\n"
    + EMPTY_CHUNKED_BODY,
    "two codings": POST
    + CHUNKED
    + b"Transfer-Encoding: identity\r\n"
    + EMPTY_CHUNKED_BODY,
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
    "CONNECT": b"CONNECT desk.example:80 HTTP/1.1\r\n" + FIELDS + b"\r\n",
    "another protocol": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
}


OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
OFFER += b"HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n"
SENT = {
    "lookup": (GET, b"\r\n"),
    "booking in chunks": (POST + CHUNKED, b"\r\n3\r\nurn\r\n0\r\n\r\n"),
    "booking": (POST, b"Content-Length: 3\r\n\r\nurn"),
}


@when("a {first} offers an upgrade, and a {second} follows {moment}")
def send_after_offer(context, first, second, moment):
    head, rest = SENT[first]
    offering = head + OFFER + rest
    following = b"".join(SENT[second]).replace(b"r-raw", b"r-second")
    if moment == "at once":
        send(context, offering + following)
    else:
        send(context, offering)
        context.conn.send_raw(following)
    context.answers.append(context.conn.receive())


@then("both are answered with 200")
def check_both_answered(context):
    assert [a.status for a in context.answers] == [200, 200], context.answers


@then("the target got both")
def check_both_arrived(context):
    (target,) = context.rig.farm.targets
    found = [arrival.request_id for arrival in target.arrivals]
    assert sorted(found) == ["r-raw", "r-second"], found
    for arrival in target.arrivals:
        body = b"urn" if arrival.method == "POST" else b""
        assert arrival.body == body, arrival


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
def send_bytes(context, name):
    send(context, REQUESTS[name])


@when("a lookup is sent with {name} twice")
def send_twice(context, name):
    send(context, GET + f"{name}: 7\r\n\r\n".encode())


@when("a booking is sent whose body contains a request")
def send_request_in_body(context):
    length = f"Content-Length: {len(HIDDEN)}\r\n\r\n".encode()
    send(context, POST + length + HIDDEN)


@when("a booking is sent in chunks, with an extension and a trailer")
def send_chunked(context):
    size = f"\r\n{len(HIDDEN):x};a=b\r\n".encode()
    trailer = b"\r\n0\r\nX-Behind: b\r\n\r\n"
    send(context, POST + CHUNKED + size + HIDDEN + trailer)


@when(
    "a lookup is sent that lists its id and its deadline as headers of its "
    "connection"
)
def send_connection_headers(context):
    send(context, GET + b"Connection: Request-Id, Deadline-Ms\r\n\r\n")


@then("it is rejected with {status:d} and its connection ends")
def check_rejected(context, status):
    (answer,) = context.answers
    assert answer.status == status, answer
    assert context.conn.is_closed()


@then("no target was reached")
def check_not_reached(context):
    (target,) = context.rig.farm.targets
    assert not target.arrivals, target.arrivals


@then("a lookup on another connection is answered completely")
def check_other_connection(context):
    answer = context.rig.call()
    assert answer.status == 200, answer


@then("the target got that one request and its complete body")
def check_forwarded_body(context):
    arrival = get_arrival(context)
    assert arrival.request_id == "r-raw", arrival
    assert arrival.path == "/book/1", arrival
    assert arrival.body == HIDDEN, arrival


@then("without the trailer")
def check_no_trailer(context):
    assert "x-behind" not in get_arrival(context).headers


@then("the target got its id and a deadline")
def check_id_and_deadline(context):
    arrival = get_arrival(context)
    assert arrival.request_id == "r-raw", arrival
    assert 0 < int(arrival.headers["deadline-ms"]) <= 3000, arrival
