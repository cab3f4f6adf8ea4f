"""Measures the cost of claiming and settling a key at the control group.

Prints one JSON line for each concurrency: latency of a claim, bytes of the log
per claim with its settlement, and claims per second.
"""

import json
import pathlib
import secrets
import statistics
import tempfile
import time

import anyio

from bench import deployment as deployment_lib
from cardamomkeel import clock
from cardamomkeel.control import client as client_lib
from cardamomkeel.routing import service_view
from cardamomkeel.routing import session as session_lib
from cardamomkeel.settings import process
from cardamomkeel.settings import reader
from cardamomkeel.wire import control_pb2

CONCURRENCIES = (1, 8, 64)
CLAIMS = 640
ANSWER_BYTES = 200
TIMEOUT_MS = 5000.0
JOIN_PAUSE_S = 0.01


def data_folder_bytes(deployment: deployment_lib.Deployment) -> int:
    """Returns the size of the data folder of control-1, in bytes."""
    folder = deployment.folder / "control-1-data"
    return sum(f.stat().st_size for f in folder.rglob("*") if f.is_file())


def make_session(
    deployment: deployment_lib.Deployment,
    control: client_lib.ControlClient,
    clk: clock.Clock,
) -> session_lib.Session:
    """Returns the session of an entry, which claims require."""
    path = deployment.folder / "entry-1.json"
    cfg = reader.read_file(path, process.EntrySettings).unwrap()
    cfg = cfg.model_copy(update={"name": "bench"})
    return session_lib.Session(
        cfg, control, clk, lambda: None, service_view.ServiceView
    )


async def claim_once(
    control: client_lib.ControlClient, session: int, latencies_ms: list[float]
) -> None:
    """Claims a new key and settles it."""
    claim_id = {
        "session": session,
        "token": secrets.token_hex(16),
        "service": "creneau",
        "key": secrets.token_hex(16),
    }
    claim = control_pb2.Claim(fingerprint=secrets.token_bytes(16), **claim_id)
    settle = control_pb2.Settle(
        state=control_pb2.CLAIM_ANSWERED,
        answer=control_pb2.Answer(status=200, body=b"x" * ANSWER_BYTES),
        **claim_id,
    )
    started = time.perf_counter()
    reply = await control.propose(
        [control_pb2.Command(claim=claim)], TIMEOUT_MS
    )
    latencies_ms.append((time.perf_counter() - started) * 1000)
    assert reply.unwrap()[0].claim_granted
    await control.propose([control_pb2.Command(settle=settle)], TIMEOUT_MS)


async def measure(
    deployment: deployment_lib.Deployment, concurrency: int
) -> None:
    """Makes `CLAIMS` claims at a concurrency and prints the figures."""
    clk = clock.MonotonicClock()
    control = client_lib.ControlClient(
        list(deployment.control_addresses.values()), {}, clk
    )
    session = make_session(deployment, control, clk)
    latencies_ms: list[float] = []
    bytes_before = data_folder_bytes(deployment)

    async def claim_repeatedly() -> None:
        for _ in range(CLAIMS // concurrency):
            await claim_once(control, session.id, latencies_ms)

    async with anyio.create_task_group() as session_tasks:
        session_tasks.start_soon(session.run)
        while not session.is_fresh():
            await anyio.sleep(JOIN_PAUSE_S)
        started = time.perf_counter()
        async with anyio.create_task_group() as tasks:
            for _ in range(concurrency):
                tasks.start_soon(claim_repeatedly)
        elapsed_s = time.perf_counter() - started
        session_tasks.cancel_scope.cancel()
    control.close()
    percentiles = statistics.quantiles(latencies_ms, n=100)
    figures = {
        "at_a_time": concurrency,
        "claim_p50_ms": round(percentiles[49], 2),
        "claim_p99_ms": round(percentiles[98], 2),
        "log_bytes_per_claim": (data_folder_bytes(deployment) - bytes_before)
        // CLAIMS,
        "claims_per_second": round(CLAIMS / elapsed_s),
    }
    print(json.dumps(figures), flush=True)


def main() -> None:
    """Measures a small deployment at each concurrency."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-"))
    shape = deployment_lib.make_small(deployment_lib.AR_GWENN_SKOUARN)
    deployment = deployment_lib.Deployment(folder, shape)
    try:
        deployment.start()
        deployment.wait_ready()
        for concurrency in CONCURRENCIES:
            anyio.run(measure, deployment, concurrency)
    finally:
        deployment.kill_all()
        deployment.remove()


if __name__ == "__main__":
    main()
