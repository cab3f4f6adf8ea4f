"""Counts the requests that reach a target which leaves, over all entries.

Prints one JSON line for each way in which the target says that it leaves: how
many requests reach it after its first answer since then, and how long they do.
"""

import concurrent.futures
import json
import threading
import time

from bench import platform as platform_lib

ENTRIES = 6
TARGETS = 6
CALLERS = 12
PAUSE_S = 0.05
BEFORE_S = 1.0
AFTER_S = 3.0
WAYS = ("nothing", "announcement", "answers", "announcement and answers")


def _call(fleet, number, ended):
    calls = 0
    while not ended.wait(PAUSE_S):
        calls += 1
        fleet.call(f"/look/{number}-{calls}", front=calls % ENTRIES)


def measure(way: str) -> dict:
    """Returns the counts for one way in which a target says that it leaves."""
    fleet = platform_lib.Fleet(fronts=ENTRIES)
    ended = threading.Event()
    try:
        fleet.start()
        fleet.call_control("PUT", "/-/config", platform_lib.make_config(1))
        targets = [fleet.add_target("dossier") for _ in range(TARGETS)]
        fleet.add_target("keepsake")
        for vm in fleet.fronts:
            fleet.wait_for(lambda vm=vm: fleet.is_ready(vm))
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            for number in range(CALLERS):
                pool.submit(_call, fleet, number, ended)
            time.sleep(BEFORE_S)
            target = targets[0]
            if "answers" in way:
                target.leaving = "1"
            if "announcement" in way:
                fleet.announce(target, "draining")
            since = time.monotonic()
            time.sleep(AFTER_S)
            ended.set()
        late = [a.at - since for a in target.arrivals if a.at > since]
    finally:
        ended.set()
        fleet.close()
    return {
        "way": way,
        "requests": len(late),
        "last_after_ms": round(max(late, default=0.0) * 1000),
    }


def main() -> None:
    """Measures each way."""
    for way in WAYS:
        print(json.dumps(measure(way)), flush=True)


if __name__ == "__main__":
    main()
