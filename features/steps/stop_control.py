"""Steps that stop a control VM of the platform while it is called."""

import contextlib
import json
import signal
import socket
import time

from behave import then
from behave import when
import httptools

from bench import platform as platform_lib
from features.steps import restarts

READ_BYTES = 65536
ANSWER_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 10.0


def encode(method, path, body):
    content = json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: control\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(content)}"
        "\r\n\r\n"
    )
    return head.encode(), content


def make_heartbeat(target, number):
    """Returns the head and the body of a heartbeat with news."""
    body = {
        "service": target.service,
        "address": target.address,
        "zone": target.zone,
        "version": "v1",
        "slots": target.slots + number + 1,
        "state": "ready",
        "warmup-left-ms": 0,
        "seq": 1000 + number,
        "born": target.born,
    }
    return encode("PUT", f"/-/instances/{target.instance}", body)


def split(context, what, number):
    """Returns the bytes that are sent before the stop, and after it began."""
    head, body = make_heartbeat(context.targets[0], number)
    if what == "a configuration":
        # Versions grow, and each builds on the first one: one may win.
        config = platform_lib.make_config(2 + number, 1)
        head, body = encode("PUT", "/-/config", config)
    sent = {
        "half a request line": 6,
        "half a header": head.index(b"Content-Type") + 5,
        "the head of a heartbeat": len(head),
        "half a heartbeat": len(head) + len(body) // 2,
        "a heartbeat": len(head + body),
        "a configuration": len(head + body),
    }[what]
    text = head + body
    return text[:sent], text[sent:]


def send_first_parts(context, what, vm, count):
    context.vm = vm
    context.rests = []
    for number in range(count):
        first, rest = split(context, what, number)
        sock = socket.create_connection((vm.ip, context.fleet.port))
        context.add_cleanup(sock.close)
        sock.sendall(first)
        context.rests.append((sock, rest))


@when("{what} was sent to the leader on each of {count:d} connections")
def send_to_leader(context, what, count):
    leader = restarts.find_leader(context.fleet)
    send_first_parts(context, what, leader, count)


@when(
    "{what} was sent to a control VM that follows on each of {count:d} "
    "connections"
)
def send_to_follower(context, what, count):
    fleet = context.fleet
    leader = restarts.find_leader(fleet)
    follower = next(vm for vm in fleet.cores if vm is not leader)
    send_first_parts(context, what, follower, count)


@when("that control VM is stopped, and after {ms:d} ms the rest is sent")
def stop_and_send(context, ms):
    context.vm.process.send_signal(signal.SIGTERM)
    time.sleep(ms / 1000)
    for sock, rest in context.rests:
        if rest:
            sock.sendall(rest)


class Answer:
    """An answer as it arrives."""

    def __init__(self):
        self.is_complete = False
        self._parser = httptools.HttpResponseParser(self)

    def on_message_complete(self):
        """Records that all of it has arrived."""
        self.is_complete = True

    def receive(self, sock):
        """Receives until the answer is complete or the connection ends."""
        sock.settimeout(ANSWER_TIMEOUT_S)
        with contextlib.suppress(OSError):
            while not self.is_complete:
                data = sock.recv(READ_BYTES)
                if not data:
                    break
                self._parser.feed_data(data)
        return self.is_complete


@then("each of them gets a complete answer")
def check_answered(context):
    answered = [Answer().receive(sock) for sock, _ in context.rests]
    assert all(answered), answered


@then("that control VM ended with status 0")
def check_ended(context):
    assert context.vm.process.wait(STOP_TIMEOUT_S) == 0
