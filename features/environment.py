"""Behave fixtures, which scenarios and features select by their tags."""

import dataclasses
import itertools
import json
import pathlib
import shutil
import tempfile

import behave

from bench import caller
from bench import control_logs
from bench import deployment as deployment_lib
from bench import platform as platform_lib
from bench import relay
from bench import routed as routed_lib

AR_GWENN_SKOUARN = deployment_lib.AR_GWENN_SKOUARN
CART_COMMONS = deployment_lib.CART_COMMONS


# For tests that stop entries: callers soon ask for the addresses again.
SHORT_ADDRESS_LIFETIME = {"keep_addresses_ms": 1000}

# Limits that the callers of a test on one machine can reach.
SMALL_ENTRY_LIMITS = {
    "buffer_bytes": 20 * 1024 * 1024,
    "connections_per_caller": 100,
}


def _run_deployment(
    context, shape, relayed=False, entry_settings=None, can_slow_disks=False
):
    """Yields a running deployment and removes it afterwards."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-"))
    relays = relay.Relays() if relayed else None
    deployment = deployment_lib.Deployment(
        folder,
        shape,
        entry_settings=entry_settings,
        relays=relays,
        can_slow_disks=can_slow_disks,
    )
    context.deployment = deployment
    context.caller = caller.Caller(
        list(deployment.callers_addresses.values()), shape.data_centres[0]
    )
    try:
        deployment.start()
        deployment.wait_started()
        yield deployment
    finally:
        deployment.kill_all()
        if relays is not None:
            relays.close()
        deployment.remove()


@behave.fixture
def small(context):
    yield from _run_deployment(
        context, deployment_lib.make_small(AR_GWENN_SKOUARN)
    )


@behave.fixture
def small_relayed(context):
    shape = deployment_lib.make_small(AR_GWENN_SKOUARN)
    yield from _run_deployment(context, shape, relayed=True)


@behave.fixture
def small_slow_disks(context):
    """Starts a deployment whose control VMs may get slow disks."""
    shape = deployment_lib.make_small(AR_GWENN_SKOUARN)
    yield from _run_deployment(context, shape, can_slow_disks=True)


@behave.fixture
def small_short_keep(context):
    shape = deployment_lib.make_small(AR_GWENN_SKOUARN)
    yield from _run_deployment(
        context, shape, entry_settings=SHORT_ADDRESS_LIFETIME
    )


@behave.fixture
def many_targets(context):
    shape = dataclasses.replace(AR_GWENN_SKOUARN, entries=3)
    yield from _run_deployment(context, shape)


@behave.fixture
def sparse_relayed(context):
    """Starts three entries, and one target for each service."""
    small = deployment_lib.make_small(AR_GWENN_SKOUARN)
    services = dict.fromkeys(small.services, 1)
    shape = dataclasses.replace(small, services=services)
    yield from _run_deployment(context, shape, relayed=True)


@behave.fixture
def long_bodies(context):
    """Starts two entries with small buffers and one target per service."""
    rows = {
        "dossier": {"idempotent": True, "retry_share": 0, "hedge_share": 0},
        "keepsake": {},
    }
    for row in rows.values():
        row |= {"slots": 50, "cold_slots": 50, "longest_deadline_ms": 10_000}
    shape = deployment_lib.Shape(
        ("brest",),
        dict.fromkeys(rows, 1),
        json.dumps({"services": rows}),
        slots=50,
        entries=2,
    )
    yield from _run_deployment(
        context, shape, entry_settings=SMALL_ENTRY_LIMITS
    )


@behave.fixture
def small_buffers(context):
    """Starts one entry that may hold few bytes of bodies."""
    rows = {"dossier": {"idempotent": True, "slots": 50, "cold_slots": 50}}
    shape = deployment_lib.Shape(
        ("brest",), {"dossier": 1}, json.dumps({"services": rows}), 50, 1
    )
    yield from _run_deployment(
        context, shape, entry_settings={"buffer_bytes": 8 * 1024 * 1024}
    )


@behave.fixture
def ar_gwenn_skouarn(context):
    yield from _run_deployment(context, AR_GWENN_SKOUARN)


@behave.fixture
def cart_commons(context):
    yield from _run_deployment(context, CART_COMMONS)


@behave.fixture
def platform_of_five(context):
    """Starts five control VMs, three of which are seeds, and one entry."""
    context.fleet = platform_lib.Fleet(fronts=1, cores=5)
    try:
        context.fleet.start()
        yield context.fleet
    finally:
        context.fleet.close()


@behave.fixture
def routed(context):
    """Starts entries that send to every target, by the product's settings."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-"))
    context.routed = routed_lib.RoutedDeployment(folder)
    try:
        context.routed.start()
        yield context.routed
    finally:
        context.routed.close()


@behave.fixture
def platform(context):
    context.fleet = platform_lib.Fleet()
    context.fleet.start()
    yield context.fleet
    context.fleet.close()


@behave.fixture
def folder(context):
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-"))
    yield context.folder
    shutil.rmtree(context.folder, ignore_errors=True)


FIXTURES = {
    "fixture.small": small,
    "fixture.small_relayed": small_relayed,
    "fixture.small_slow_disks": small_slow_disks,
    "fixture.small_short_keep": small_short_keep,
    "fixture.many_targets": many_targets,
    "fixture.sparse_relayed": sparse_relayed,
    "fixture.long_bodies": long_bodies,
    "fixture.small_buffers": small_buffers,
    "fixture.ar_gwenn_skouarn": ar_gwenn_skouarn,
    "fixture.cart_commons": cart_commons,
    "fixture.folder": folder,
    "fixture.platform": platform,
    "fixture.platform_of_five": platform_of_five,
    "fixture.routed": routed,
}


def before_tag(context, tag):
    """Sets up the fixture that the tag of a feature or scenario names."""
    if tag.startswith("fixture."):
        behave.use_fixture(FIXTURES[tag], context)


def after_step(context, step):
    """Prints why the control group may have been unavailable."""
    if step.status.name not in ("failed", "error"):
        return
    logs = []
    if "deployment" in context:
        logs += [vm.log for vm in context.deployment.controls.values()]
    if "fleet" in context:
        logs += [vm.folder / "log" for vm in context.fleet.cores]
    for line in itertools.chain(*map(control_logs.find_notable, logs)):
        print(line)
