"""Measures what client accounts cost an entry.

`python -m bench.account_cost 100000` prints the time of a look-up and of the
decision on a limit, the memory of an account, and the size and time of a change
of one account.
"""

import random
import sys
import time
import tracemalloc

import msgspec

from cardamomkeel import clock
from cardamomkeel.accounts import credentials
from cardamomkeel.accounts import digests
from cardamomkeel.accounts import quota_asker
from cardamomkeel.accounts import quota_keeper
from cardamomkeel.policy import quota
from cardamomkeel.policy import quota_keepers
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routes import packing
from cardamomkeel.routes import table as table_lib
from cardamomkeel.settings import structs

ENTRIES = 142
REQUESTS = 200_000


def make_document(count):
    """Returns a document with many accounts of one key."""
    accounts = tuple(
        document_lib.Account(
            name=f"account-{number}",
            key_digests=(digests.make(f"key-{number}".encode()),),
            rate_per_s=100.0,
            burst=100.0,
        )
        for number in range(count)
    )
    return document_lib.RoutesDocument((), {}, accounts=accounts)


def take_us(calls, count):
    """Returns the mean processor time of a call in microseconds."""
    began = time.process_time()
    calls()
    return (time.process_time() - began) / count * 1e6


def read(packed):
    """Returns the table of a packed document, as an entry does."""
    document = structs.decode(
        packing.unpack(packed), document_lib.RoutesDocument, "the bench"
    )
    return table_lib.RouteTable(document.unwrap(), 1)


def make_asker(directory, own):
    """Returns an asker in a list of entries, and counts its datagrams."""
    clk = clock.MonotonicClock()
    names = [f"entry-{number}" for number in range(ENTRIES)]
    keepers = quota_keepers.Keepers(own, clk.now())
    keepers.set_members(
        quota_keepers.Members(
            dict.fromkeys(names, 1), dict.fromkeys(names, "one")
        ),
        clk.now() - 60_000,
    )
    sent = []

    def send(_, message):
        sent.append(1)
        answer = keeper_of_others.decide(message, clk.now())
        asker.handle_answer(msgspec.structs.replace(answer, granted=1))

    keeper = quota_keeper.Keeper(
        own, keepers, quota.Bounds(), directory.get, lambda: True, send
    )
    keeper_of_others = quota_keeper.Keeper(
        own, keepers, quota.Bounds(), directory.get, lambda: True, send
    )
    asker = quota_asker.Asker(
        *(own, keepers, keeper, quota.Bounds(), send),
        *(lambda *_: None, clk, random.Random(1)),
    )
    return asker, sent


def main():
    """Prints the figures."""
    count = int(sys.argv[1])
    document = make_document(count)
    raw = structs.encode(document)
    began = time.process_time()
    packed = packing.pack(raw)
    packed_s = time.process_time() - began
    began = time.process_time()
    table = read(packed)
    read_s = time.process_time() - began
    print(f"{count} accounts: {len(raw)} bytes, {len(packed)} packed")
    print(f"one change: packed in {packed_s:.2f} s, read in {read_s:.2f} s")
    tracemalloc.start()
    table = read(packed)
    print(f"{tracemalloc.get_traced_memory()[0] / count:.0f} bytes an account")
    tracemalloc.stop()
    directory = table.accounts
    rng = random.Random(1)
    requests = [
        [(b"Authorization", b"Bearer key-%d" % rng.randrange(count))]
        for _ in range(REQUESTS)
    ]

    def look_up():
        for headers in requests:
            directory.find(credentials.read(headers).digest)

    print(f"look-up: {take_us(look_up, REQUESTS):.2f} us")
    accounts = rng.sample(document.accounts, min(count, 1000))
    asker, sent = make_asker(directory, "entry-0")
    granted = []

    def decide():
        for number in range(REQUESTS):
            account = accounts[number % len(accounts)]
            asker.decide(account.name, account, granted.append)

    print(f"first decisions: {take_us(decide, REQUESTS):.2f} us")
    print(f"decision: {take_us(decide, REQUESTS):.2f} us, {len(sent)} asks")


if __name__ == "__main__":
    main()
