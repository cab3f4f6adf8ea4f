"""Steps that fetch metrics as the platform does."""

import pathlib
import re
import signal
import socket
import tomllib

from behave import then
from behave import when

DEPLOY = pathlib.Path(__file__).parents[2] / "deploy" / "system.toml"
SAMPLE = re.compile(r"^cardamomkeel_([a-z_]+)(\{.*\})? (\S+)$", re.MULTILINE)
# Requests of these tests are faster; a sum in milliseconds would exceed it.
MAX_REQUEST_S = 10.0


def get_metrics_address(vm):
    """Returns host, port and path of a VM's metrics by the deploy file."""
    deploy = tomllib.loads(DEPLOY.read_text(encoding="utf-8"))
    port, _, path = deploy["roles"][vm.role]["metrics"].partition("/")
    return vm.ip, int(port), path


def fetch(fleet, vm):
    """Returns name, labels and value of each metric that a VM serves."""
    host, port, path = get_metrics_address(vm)
    got = fleet.client.get(f"http://{host}:{port}/{path}")
    assert got.status_code == 200, got
    return [
        (name, labels, float(value))
        for name, labels, value in SAMPLE.findall(got.text)
    ]


@then("every VM serves metrics at the address in deploy/system.toml")
def check_served(context):
    fleet = context.fleet
    for vm in fleet.cores + fleet.fronts:
        assert fetch(fleet, vm), vm.name


@then("the metrics of one control VM show that it is the leader")
def check_leads(context):
    fleet = context.fleet

    def leads():
        samples = [fetch(fleet, vm) for vm in fleet.cores]
        values = [v for vm in samples for name, _, v in vm if name == "leads"]
        return sorted(values) == [0.0, 0.0, 1.0]

    fleet.wait_for(leads, 20)


@then("the first entry serves a counter and a histogram of requests in seconds")
def check_requests(context):
    fleet = context.fleet
    samples = fetch(fleet, fleet.fronts[0])
    counted = sum(v for name, _, v in samples if name == "requests_total")
    metric = "request_duration_seconds"
    observed = sum(v for name, _, v in samples if name == f"{metric}_count")
    took_s = sum(v for name, _, v in samples if name == f"{metric}_sum")
    assert 0 < counted == observed, samples
    assert 0 < took_s / observed < MAX_REQUEST_S, samples
    bounds = [
        labels for name, labels, _ in samples if name == f"{metric}_bucket"
    ]
    assert any('le="0.001"' in labels for labels in bounds), bounds


@when("the port for metrics of an entry is in use")
def take_port(context):
    vm = context.fleet.fronts[0]
    host, port, _ = get_metrics_address(vm)
    vm.kill(signal.SIGKILL)
    context.taken = socket.create_server((host, port))
    context.add_cleanup(context.taken.close)


@when("the entry is started again")
def start_again(context):
    context.fleet.fronts[0].start()


@then("the entry logs that it does not serve metrics")
def check_not_served(context):
    assert "not serving metrics" in context.fleet.fronts[0].log()
