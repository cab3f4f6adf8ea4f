"""Steps for the relay that injects faults."""

import asyncio
import gc
import socket

from behave import given
from behave import then
from behave import when

from bench import relay as relay_lib


@given(
    "a relay to a server, with connections that are open, silent and delayed"
)
def open_connections(context):
    server = socket.create_server((relay_lib.HOST, 0))
    context.add_cleanup(server.close)
    context.relays = relay_lib.Relays()
    target = f"{relay_lib.HOST}:{server.getsockname()[1]}"
    address = context.relays.add("caller", "server", target)
    context.address = (relay_lib.HOST, int(address.rpartition(":")[2]))
    for fault in (None, "silence_open", "delay"):
        caller = socket.create_connection(context.address)
        context.add_cleanup(caller.close)
        context.add_cleanup(server.accept()[0].close)
        if fault:
            context.relays.inject(fault, "*", "*", delay_ms=60_000)
        caller.sendall(b"x")


@when("the relay is closed")
def close_relay(context):
    loop = context.relays._loop
    context.remaining = []
    loop.set_exception_handler(
        lambda _, details: context.remaining.append(details)
    )
    context.relays.close()
    context.remaining += [t for t in asyncio.all_tasks(loop) if not t.done()]


@then("none of its tasks runs, and its port is free")
def check_ended(context):
    del context.relays
    gc.collect()
    assert not context.remaining, context.remaining
    socket.create_server(context.address).close()
