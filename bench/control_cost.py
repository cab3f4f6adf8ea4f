"""Measures the resources and latencies of the control group.

Prints a table, JSON or both. Examples:

python -m bench.control_cost size --entries 17 --targets 36
python -m bench.control_cost size --entries 3 --targets 9 --changes 20
python -m bench.control_cost size --services 2900 --changes 2 --by set
python -m bench.control_cost streams --entries 550 --controls 5
python -m bench.control_cost restart --changes 1000
python -m bench.control_cost restart-group --changes 1000 --services 2900
"""

import asyncio
import dataclasses
import enum
import json
import os
import pathlib
import statistics
import tempfile
import threading
import time
import typing

import httpx
import typer

from bench import deployment as deployment_lib
from bench import relay as relay_lib
from bench import sessions as sessions_lib
from cardamomkeel.replication import disk
from cardamomkeel.replication import members
from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

SETTLE_S = 3.0
PROBE_PAUSE_S = 0.005
FIRST_QUEUE = 64
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TEXT_BYTES = 2000
JOIN_TIMEOUT_S = 60.0

app = typer.Typer(no_args_is_help=True, add_completion=False)


@dataclasses.dataclass
class Cost:
    """The resources that one process used during a measurement.

    Attributes:
        name: The name of the process.
        cpu_percent: CPU time in percent of one core.
        resident_mb: Resident memory at the end, in units of 10^6 bytes.
        control_bytes_s: Bytes per second of traffic with control VMs, both
            directions added.
    """

    name: str
    cpu_percent: float
    resident_mb: float
    control_bytes_s: float


class CountingRelays(relay_lib.Relays):
    """Relays that count the bytes of each pair of processes.

    Attributes:
        byte_counts: Bytes so far, by the names of client and server.
    """

    def __init__(self):
        super().__init__()
        self.byte_counts: dict[tuple[str, str], int] = {}

    def add(self, client: str, server: str, address: str) -> str:
        """Starts a relay and returns the address that it listens on."""
        self.byte_counts[(client, server)] = 0
        listening = super().add(client, server, address)
        relay = self._relays[(client, server)]
        relay._pump = self._count(relay._pump, (client, server))
        return listening

    def _count(self, pump: typing.Callable, pair: tuple[str, str]):
        async def count_and_pump(link, reader, writer, towards_server) -> None:
            counting_reader = _CountingReader(reader, self.byte_counts, pair)
            await pump(link, counting_reader, writer, towards_server)

        return count_and_pump

    def sum_by_process(self, name: str) -> int:
        """Returns the bytes from and to one process."""
        return sum(
            size for pair, size in self.byte_counts.items() if name in pair
        )


class _CountingReader:
    def __init__(
        self,
        reader: asyncio.StreamReader,
        byte_counts: dict[tuple[str, str], int],
        pair: tuple[str, str],
    ):
        self._reader = reader
        self._byte_counts = byte_counts
        self._pair = pair

    async def read(self, count: int) -> bytes:
        data = await self._reader.read(count)
        self._byte_counts[self._pair] += len(data)
        return data


def _cpu_s(pid: int) -> float:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def _resident_mb(pid: int) -> float:
    statm = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="utf-8")
    return int(statm.split()[1]) * PAGE_BYTES / 1e6


def _measure(
    deployment: deployment_lib.Deployment,
    span_s: float,
    others: typing.Sequence[deployment_lib.Process] = (),
) -> list[Cost]:
    processes = [
        *deployment.controls.values(),
        *deployment.entries.values(),
        *others,
    ]
    relays = deployment.relays
    started = time.monotonic()
    cpu = [_cpu_s(process.pid) for process in processes]
    byte_counts = [relays.sum_by_process(process.name) for process in processes]
    time.sleep(span_s)
    elapsed = time.monotonic() - started
    return [
        Cost(
            process.name,
            round(100 * (_cpu_s(process.pid) - used) / elapsed, 2),
            round(_resident_mb(process.pid), 1),
            round((relays.sum_by_process(process.name) - size) / elapsed),
        )
        for process, used, size in zip(processes, cpu, byte_counts, strict=True)
    ]


class ChangeMethod(enum.Enum):
    """The operator's command that changes one service."""

    APPLY = "apply"
    SET = "set"


def _add_services(text: str, count: int) -> str:
    """Returns a settings text with `count` more services without targets."""
    raw = json.loads(text)
    for number in range(count):
        raw["services"][f"service-{number:04}"] = {
            "idempotent": number % 2 == 0,
            "slots": 3,
            "queue": FIRST_QUEUE,
            "depends_on": list(raw["services"])[:1],
        }
    return f"// All services.\n{json.dumps(raw, indent=2)}\n"


def _make_change(
    deployment: deployment_lib.Deployment, by: ChangeMethod, number: int
) -> tuple[str, dict[str, typing.Any]]:
    """Returns path and body of a call that changes one setting."""
    queue = FIRST_QUEUE + number
    if by is ChangeMethod.SET:
        return "/v1/set", {"service": "dossier", "values": {"queue": queue}}
    text = deployment.shape.text
    position = text.index("{", text.index('"dossier"')) + 1
    return "/v1/apply", {
        "text": f'{text[:position]}"queue": {queue},{text[position:]}'
    }


def _apply_changes(
    deployment: deployment_lib.Deployment,
    by: ChangeMethod,
    rate: float,
    stop: threading.Event,
    durations_s: list[float],
) -> None:
    """Changes a service at a rate per second until `stop` is set."""
    revision = 1
    leader = deployment.control_operators[deployment.leader()]
    while not stop.is_set():
        started = time.monotonic()
        path, body = _make_change(deployment, by, len(durations_s))
        body |= {
            "base_revision": revision,
            "change_id": f"change-{len(durations_s)}",
            "operator": "bench",
        }
        answer = deployment.call(leader, path, body).json()
        revision = answer["revision"]
        durations_s.append(time.monotonic() - started)
        time.sleep(max(0.0, started + 1 / rate - time.monotonic()))


def _measure_responses(
    address: str, stop: threading.Event, response_ms: list[float]
) -> None:
    """Measures how long a process takes to refuse a call.

    The delay shows how long the event loop of the process was blocked.
    """
    with httpx.Client(trust_env=False) as client:
        while not stop.is_set():
            started = time.monotonic()
            client.post(f"http://{address}/dump")
            response_ms.append(1000 * (time.monotonic() - started))
            time.sleep(PROBE_PAUSE_S)


def _print_report(row: dict[str, typing.Any], costs: list[Cost]) -> None:
    print(f"{'process':12} {'CPU %':>7} {'MB':>7} {'B/s':>9}")
    for cost in costs:
        print(
            f"{cost.name:12} {cost.cpu_percent:7.2f} {cost.resident_mb:7.1f} "
            f"{cost.control_bytes_s:9.0f}"
        )
    print(json.dumps(row | {"costs": [dataclasses.asdict(c) for c in costs]}))


@app.command()
def size(
    entries: int = 3,
    targets: int = 9,
    changes: float = 0,
    services: int = 0,
    by: ChangeMethod = ChangeMethod.APPLY,
    probe: bool = False,
    span_s: float = 10,
) -> None:
    """Measures the cost at one size, idle or at a rate of changes.

    With --probe, measures how long the event loops of the leader and of an
    entry are blocked, in place of the cost.
    """
    base = deployment_lib.AR_GWENN_SKOUARN
    shape = dataclasses.replace(
        base,
        text=_add_services(base.text, services) if services else base.text,
        services=dict.fromkeys(base.services, targets // len(base.services)),
        entries=entries,
    )
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-cost-"))
    relays = CountingRelays()
    deployment = deployment_lib.Deployment(folder, shape, relays=relays)
    stop, durations_s = threading.Event(), []
    response_ms: dict[str, list[float]] = {"leader": [], "entry-1": []}
    threads = []
    try:
        deployment.start()
        deployment.wait_ready()
        time.sleep(SETTLE_S)
        leader = deployment.leader()
        if changes:
            args = (deployment, by, changes, stop, durations_s)
            threads.append(threading.Thread(target=_apply_changes, args=args))
        if probe:
            for name, address in (
                ("leader", deployment.control_operators[leader]),
                ("entry-1", deployment.entry_operators["entry-1"]),
            ):
                args = (address, stop, response_ms[name])
                threads.append(
                    threading.Thread(target=_measure_responses, args=args)
                )
        for thread in threads:
            thread.start()
        costs = _measure(deployment, span_s)
        stop.set()
        for thread in threads:
            thread.join()
    finally:
        deployment.kill_all()
        relays.close()
        deployment.remove()
    row = {
        "entries": entries,
        "targets": targets,
        "services": services,
        "text_bytes": len(shape.text),
        "by": by.value,
        "changes_s": round(len(durations_s) / span_s, 2),
        "change_p50_ms": round(1000 * statistics.median(durations_s or [0]), 2),
        "leader": leader,
        "longest_wait_ms": {
            k: round(max(v or [0]), 1) for k, v in response_ms.items()
        },
        "wait_p50_ms": {
            k: round(statistics.median(v or [0]), 1)
            for k, v in response_ms.items()
        },
    }
    _print_report(row, costs)


@app.command()
def restart_group(changes: int = 1000, services: int = 0) -> None:
    """Measures how long a killed control group takes to show its settings."""
    base = deployment_lib.make_small(deployment_lib.AR_GWENN_SKOUARN)
    text = _add_services(base.text, services)
    shape = dataclasses.replace(base, text=text)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-cost-"))
    deployment = deployment_lib.Deployment(folder, shape)
    try:
        deployment.start()
        for number in range(changes):
            _, body = _make_change(deployment, ChangeMethod.SET, number)
            body |= {
                "base_revision": number + 1,
                "change_id": f"change-{number}",
                "operator": "bench",
            }
            reply = deployment.operate("/v1/set", body)
        accepted = _get_settings(deployment)
        for process in deployment.controls.values():
            process.kill()
        started = time.monotonic()
        for process in deployment.controls.values():
            process.start()
        shown = _get_settings(deployment)
        took_ms = 1000 * (time.monotonic() - started)
    finally:
        deployment.kill_all()
        deployment.remove()
    row = {
        "changes": changes,
        "services": services,
        "accepted": reply["revision"],
        "shown": int(shown["revision"]),
        "same_text": shown["text"] == accepted["text"],
        "took_ms": round(took_ms),
    }
    print(json.dumps(row))


def _get_settings(
    deployment: deployment_lib.Deployment,
) -> dict[str, typing.Any]:
    """Returns the settings in force, once a control VM shows them."""
    answer = deployment.operate("/v1/show", {}, deployment_lib.START_TIMEOUT_S)
    rows = [row["settings"] for row in answer["records"] if "settings" in row]
    return rows[0]


@app.command()
def streams(
    entries: int = 550,
    controls: int = 3,
    changes: float = 0,
    span_s: float = 10,
) -> None:
    """Measures a control group with many entry sessions."""
    shape = dataclasses.replace(
        deployment_lib.make_small(deployment_lib.AR_GWENN_SKOUARN, 1),
        controls=controls,
    )
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-cost-"))
    relays = CountingRelays()
    deployment = deployment_lib.Deployment(folder, shape, relays=relays)
    sessions = sessions_lib.make_processes(deployment, entries)
    stop, durations_s = threading.Event(), []
    try:
        deployment.start()
        deployment.wait_ready()
        for process in sessions:
            process.start()
        deployment_lib.wait_for(
            lambda: _count_entries(deployment) == entries + 1,
            JOIN_TIMEOUT_S,
            "all sessions have joined",
        )
        time.sleep(SETTLE_S)
        args = (deployment, ChangeMethod.SET, changes, stop, durations_s)
        changing = threading.Thread(target=_apply_changes, args=args)
        if changes:
            changing.start()
        costs = _measure(deployment, span_s, sessions)
        leader = deployment.leader()
        stop.set()
        if changes:
            changing.join()
    finally:
        for process in sessions:
            process.kill()
        deployment.kill_all()
        relays.close()
        deployment.remove()
    row = {
        "sessions": entries,
        "controls": controls,
        "changes_s": round(len(durations_s) / span_s, 2),
        "change_p50_ms": round(1000 * statistics.median(durations_s or [0]), 2),
        "leader": leader,
    }
    _print_report(row, costs)


def _count_entries(deployment: deployment_lib.Deployment) -> int:
    return len(deployment.dump_entry("entry-1").get("entries", []))


def _measure_load_ms(folder: pathlib.Path) -> float:
    started = time.monotonic()
    stored = disk.load(folder).unwrap()
    tables = tables_lib.Tables()
    tables.load(stored.snapshot.state)
    for entry in stored.entries:
        machine.apply(tables, entry.command, entry.index)
    disk.DiskStorage(folder, stored)
    return 1000 * (time.monotonic() - started)


@app.command()
def restart(changes: int = 1000, runs: int = 5) -> None:
    """Measures how long a data folder takes to load after many changes."""
    with tempfile.TemporaryDirectory() as temp_folder:
        folder = pathlib.Path(temp_folder) / "data"
        first = members.initial_members({"control-1": "-"})
        disk.create(folder, "control-1.first", first, formed=True)
        storage = disk.DiskStorage(folder, disk.load(folder).unwrap())
        tables = tables_lib.Tables()
        started = time.monotonic()
        for index in range(1, changes + 1):
            change = control_pb2.ChangeSettings(
                base_revision=index - 1,
                change_id=f"change-{index}",
                text=str(index).ljust(TEXT_BYTES),
            )
            command = control_pb2.Command(change_settings=change)
            entry = control_pb2.LogEntry(index=index, term=1, command=command)
            storage.append([entry])
            storage.sync()
            machine.apply(tables, command, index)
        write_ms = 1000 * (time.monotonic() - started) / changes
        from_log_ms = [_measure_load_ms(folder) for _ in range(runs)]
        snapshot = control_pb2.Snapshot(
            index=changes, term=1, members=first, state=tables.save()
        )
        storage.save_snapshot(snapshot, [])
        from_snapshot_ms = [_measure_load_ms(folder) for _ in range(runs)]
    row = {
        "changes": changes,
        "write_and_sync_ms": round(write_ms, 3),
        "load_from_log_ms": round(statistics.median(from_log_ms), 2),
        "load_from_snapshot_ms": round(statistics.median(from_snapshot_ms), 2),
    }
    print(json.dumps(row))


if __name__ == "__main__":
    app()
