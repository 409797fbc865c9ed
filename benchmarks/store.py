"""Performance of the store: commits, recovery and compaction.

    python benchmarks/store.py [FOLDER]

FOLDER is on the disk to measure; the default is a temporary folder. Sequential commits per second
are measured in turns with plain appends of the same bytes to a file with fsync, and with Python's
SQLite. Group commits come from up to 64 threads. The time of recovery is measured against the size
of the log, with and without compaction, as is the write amplification of compaction.
"""

import json
import os
import pathlib
import platform
import sqlite3
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from contextlib import closing
from typing import Any

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from indigodeck.store.files import StoreFolder  # noqa: E402 - path set above
from indigodeck.store.write_ahead_log import WriteAheadLog  # noqa: E402 - path set above
from indigodeck.store.writer import StoreWriter  # noqa: E402 - path set above

RECORD = {"lines": {f"host-{nth}": 1.25 + nth for nth in range(8)}, "cause": "server leaves"}
MEASURED_SECONDS = 2.0
ROUNDS = 3
KEY_COUNT = 500
KEYS_PER_THREAD = 50
BATCHES_PER_COMMIT = 500  # while a log is filled to measure its recovery


def repeats_per_second(operation: Callable[[int], object]) -> float:
    """Call an operation with 0, 1, 2 ...; return the number of calls per second."""
    count = 0
    started = time.monotonic()
    while time.monotonic() - started < MEASURED_SECONDS:
        operation(count)
        count += 1
    return count / (time.monotonic() - started)


def plain_appends(folder: pathlib.Path) -> float:
    """Append to a plain file, with fsync after each; return appends per second."""
    data = json.dumps(RECORD).encode()
    with open(folder / "plain", "ab", buffering=0) as file:

        def append(_: int) -> None:
            file.write(data)
            os.fsync(file.fileno())

        return repeats_per_second(append)


def log_commits(folder: pathlib.Path) -> float:
    """Commit to a log sequentially; return commits per second."""
    with closing(StoreFolder(folder / "alone")) as files:
        log = WriteAheadLog(files)
        return repeats_per_second(lambda number: log.commit([[(f"k{number % KEY_COUNT}", RECORD)]]))


def sqlite_commits(folder: pathlib.Path) -> float:
    """Commit to SQLite with a write-ahead log synced at each commit; return commits per second."""
    with closing(sqlite3.connect(folder / "base", isolation_level=None)) as database:
        database.execute("pragma journal_mode=wal")
        database.execute("pragma synchronous=full")
        database.execute("create table held (key text primary key, value blob)")
        return repeats_per_second(
            lambda number: database.execute(
                "insert or replace into held values (?, ?)",
                (f"k{number % KEY_COUNT}", json.dumps(RECORD)),
            )
        )


def group_commits(folder: pathlib.Path, threads: int, delay: float) -> dict[str, Any]:
    """Put changes from several threads, which each wait for their own; `delay` is in seconds."""
    files = StoreFolder(folder / f"together-{threads}-{delay}")
    with closing(StoreWriter(files, lambda *_, **__: None, delay)) as writer:
        waits: list[float] = []
        end = time.monotonic() + MEASURED_SECONDS

        def put_until_end(thread: int) -> None:
            number = 0
            while time.monotonic() < end:
                started = time.monotonic()
                writer.put([(f"k{thread}/{number % KEYS_PER_THREAD}", RECORD)]).result()
                waits.append(time.monotonic() - started)
                number += 1

        running = [threading.Thread(target=put_until_end, args=(nth,)) for nth in range(threads)]
        for thread in running:
            thread.start()
        for thread in running:
            thread.join()
    waits.sort()
    return {
        "threads": threads,
        "delay_ms": delay * 1000,
        "changes_per_s": round(len(waits) / MEASURED_SECONDS),
        "changes_per_sync": round(len(waits) / writer.commit_count, 1),
        "wait_ms": {
            "p50": round(waits[len(waits) // 2] * 1000, 2),
            "p99": round(waits[int(len(waits) * 0.99)] * 1000, 2),
        },
    }


def recovery(
    folder: pathlib.Path, record_count: int, key_count: int, compacted: bool
) -> dict[str, Any]:
    """Fill a log, and measure how long it takes to open."""
    path = folder / f"r{record_count}-{key_count}-{compacted}"
    with closing(StoreFolder(path)) as files:
        log = WriteAheadLog(files)
        for first in range(0, record_count, BATCHES_PER_COMMIT):
            numbers = range(first, first + BATCHES_PER_COMMIT)
            log.commit([[(f"k{nth % key_count}", {**RECORD, "nth": nth})] for nth in numbers])
            while compacted and log.compaction_due():
                log.compact()
    stored_bytes = sum(file.stat().st_size for file in path.iterdir())
    started = time.monotonic()
    with closing(StoreFolder(path)) as files:
        recovered = WriteAheadLog(files)
        seconds = time.monotonic() - started
    assert len(recovered.index) == key_count and not recovered.data_lost
    return {
        "records": record_count,
        "keys": key_count,
        "compacted": compacted,
        "kept_mb": round(stored_bytes / 1e6, 2),
        "open_ms": round(seconds * 1000, 1),
        "amplification": round(1 + log.copied_bytes / log.committed_bytes, 2),
    }


def append_round(folder: pathlib.Path) -> dict[str, int]:
    """Measure each kind of append once."""
    folder.mkdir()
    return {
        "plain_fsync_per_s": round(plain_appends(folder)),
        "one_after_the_other_per_s": round(log_commits(folder)),
        "sqlite_per_s": round(sqlite_commits(folder)),
    }


def main() -> None:
    """Run all measurements, write the result to benchmarks/results/store.json and print it."""
    with tempfile.TemporaryDirectory(dir=sys.argv[1] if len(sys.argv) > 1 else None) as folder_name:
        folder = pathlib.Path(folder_name)
        rounds = [append_round(folder / f"{nth}") for nth in range(ROUNDS)]
        groups = [
            group_commits(folder, threads, delay)
            for threads, delay in ((1, 0.0), (8, 0.0), (64, 0.0), (64, 0.002))
        ]
        recovered = [
            recovery(folder, record_count, KEY_COUNT, compacted)
            for record_count in (2000, 20_000, 100_000)
            for compacted in (False, True)
        ]
        recovered += [recovery(folder, 20_000, key_count, True) for key_count in (50, 5000)]
    result = {
        "what": "the store",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "record_bytes": len(json.dumps(RECORD)),
        "appends": rounds,
        "together": groups,
        "recovery": recovered,
    }
    (ROOT / "benchmarks/results/store.json").write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
