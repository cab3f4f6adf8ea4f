"""Runs a small deployment, sends a lookup and a booking, and stops."""

import json
import pathlib
import tempfile

from bench import caller as caller_lib
from bench import deployment as deployment_lib


def main() -> None:
    """Starts the deployment, sends the requests and prints each step."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-demo-"))
    shape = deployment_lib.make_small(deployment_lib.AR_GWENN_SKOUARN)
    deployment = deployment_lib.Deployment(folder, shape)
    try:
        print("starting 3 control VMs, 3 entry VMs and 9 backend servers")
        deployment.start()
        deployment.wait_ready()
        send_requests(deployment)
    finally:
        deployment.kill_all()
        deployment.remove()
    print("stopped")


def send_requests(deployment: deployment_lib.Deployment) -> None:
    """Sends a lookup and the same booking twice, and prints the results."""
    print(f"control VM {deployment.leader()} is the leader")
    entries = list(deployment.callers_addresses.values())
    caller = caller_lib.Caller(entries, "brest")
    print(f"callers of dossier use {caller.addresses('dossier')}")
    lookup = caller.call("dossier", path="/pets/biscuit")
    print_result("lookup of an arrangement", lookup)
    booking = {
        "service": "creneau",
        "method": "POST",
        "path": "/slots/2026-12-07T09:00",
        "key": "booking-1",
        "body": b'{"pet": "biscuit"}',
    }
    print_result("confirmation of a slot", caller.call(**booking))
    print_result("the same confirmation, sent again", caller.call(**booking))
    runs = [run for run in deployment.list_runs() if run["key"] == "booking-1"]
    print(f"backend servers ran the confirmation {len(runs)} time(s)")


def print_result(what: str, result: caller_lib.CallResult) -> None:
    """Prints the result of one request."""
    body = json.loads(result.body)
    print(
        f"{what}: {result.outcome}, status {result.status}, "
        f"from {body.get('address', body)} in {result.elapsed_ms:.1f} ms"
    )


if __name__ == "__main__":
    main()
