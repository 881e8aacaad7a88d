"""The store's proofs at length: thousands of cuts on generated histories, and every byte of a larger store spoilt.

    python benchmarks/store_sweep.py [--cuts 10000] [--records 250] [--seed 1]

Each cut falls at a random disk operation, by power or by the process's death; the next life goes on from what is found,
which must be what was acknowledged, or that and a first part of what was under way. Exit status 1 where it is not.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from contextlib import suppress
from random import Random

from cloverhold.store.codec import StoreError
from cloverhold.store.log import Log
from cloverhold.store.recovery import recover
from cloverhold.store.simulated import Cut, File, SimulatedDisk

State = dict[bytes, bytes]


class Cutter:
    """Cuts at one operation."""

    def __init__(self) -> None:
        self.at = 0

    def __call__(self, number: int, what: str) -> None:
        if number == self.at:
            raise Cut


def contents(log: Log) -> State:
    """All keys and values."""
    return {key: record.value for key, record in log.index.items()}


def work(log: Log, random: Random, states: list[State]) -> None:
    """Random puts and deletes for ever; `states` is what may be found now: the first is acknowledged."""
    while True:
        for _ in range(random.randrange(1, 6)):
            key, state = b"k%d" % random.randrange(12), dict(states[-1])
            if random.random() < 0.25:
                log.delete(key)
                state.pop(key, None)
            else:
                state[key] = random.randbytes(random.randrange(60))
                log.put(key, state[key])
            states.append(state)
        log.flush()
        del states[:-1]
        if random.random() < 0.5:
            log.compact()


def cuts(count: int, seed: int) -> Counter[str]:
    """So many lives, each cut; what was found."""
    random, found = Random(seed), Counter[str]()
    disk, states, cutter = SimulatedDisk(seed), [State()], Cutter()
    disk.before = cutter
    for life in range(count):
        if life % 50 == 0:  # another history
            disk, states = SimulatedDisk(seed + life, cutter), [State()]
        cutter.at = disk.steps + random.randrange(1, 120)
        with suppress(Cut):
            work(Log(disk, bytes(16), segment_bytes=random.choice((200, 400, 1500))), random, states)
        cutter.at = 0
        power = random.random() < 0.7
        (disk.cut if power else disk.crash)()
        try:
            after = contents(Log(disk, bytes(16)))
        except StoreError as error:
            found[f"refused: {error}"] += 1
            states = [State()]
            disk = SimulatedDisk(seed + life, cutter)
            continue
        known = after in states
        found[("acknowledged" if after == states[0] else "and a part of what was under way") if known else "WRONG"] += 1
        states = [after]
    return found


def spoil(records: int, seed: int) -> Counter[str]:
    """Every byte of every file cut, turned, zeroed and overwritten with noise."""
    random, disk = Random(seed), SimulatedDisk(seed)
    log = Log(disk, bytes(16), segment_bytes=2500)
    for n in range(records):
        log.put(b"key-%d" % (n % 60), random.randbytes(12))
        if n % 5 == 4:
            log.flush()
    log.flush()
    good, found = contents(log), Counter[str]()
    files = {name: disk.read(name) for name in disk.names()}
    for name, data in files.items():
        for at in range(len(data)):
            size = random.randrange(1, 24)
            for spoilt in (
                data[:at],
                data[:at] + bytes([data[at] ^ (1 << random.randrange(8))]) + data[at + 1 :],
                data[:at] + bytes(min(size, len(data) - at)) + data[at + size :],
                data[:at] + random.randbytes(min(size, len(data) - at)) + data[at + size :],
            ):
                other = SimulatedDisk()
                for each, text in {**files, name: spoilt}.items():
                    other.files[each] = File()
                    other.files[each].seen = bytearray(text)
                try:
                    after = {key: record.value for key, record in recover(other).live.items()}
                except StoreError:
                    found["refused"] += 1
                else:
                    found["all that was acknowledged" if after == good else "WRONG"] += 1
    return found


def main() -> int:
    """Print what was found."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--cuts", type=int, default=10_000)
    parser.add_argument("--records", type=int, default=250)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    wrong = 0
    for name, run in (
        (f"{options.cuts} cuts", lambda: cuts(options.cuts, options.seed)),
        ("every byte", lambda: spoil(options.records, options.seed)),
    ):
        begun = time.perf_counter()
        found = run()
        wrong += found["WRONG"]
        print(f"{name}: {dict(found)} in {time.perf_counter() - begun:.0f} s", flush=True)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
