"""What the store costs: python benchmarks/store.py

Commits a second, one after the other and from 64 threads together, against plain appends with fsync to one file of the same bytes and
against SQLite as it comes with Python, by turns in one run; recovery over the size of the log, with and without compaction; bytes written by compaction over bytes committed.
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

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from indigodeck.store.files import Folder  # noqa: E402
from indigodeck.store.write_ahead_log import WriteAheadLog  # noqa: E402
from indigodeck.store.writer import Writer  # noqa: E402

ROOT = pathlib.Path(__file__).parent.parent
BODY = {"lines": {f"host-{nth}": 1.25 + nth for nth in range(8)}, "cause": "server leaves"}
SECONDS = 2.0


def plain(folder):
    """Appends with fsync, one after the other, a second."""
    file, many, data = (
        os.open(folder / "plain", os.O_WRONLY | os.O_CREAT | os.O_APPEND),
        0,
        json.dumps(BODY).encode(),
    )
    began = time.monotonic()
    while time.monotonic() - began < SECONDS:
        os.write(file, data)
        os.fsync(file)
        many += 1
    os.close(file)
    return many / (time.monotonic() - began)


def alone(folder):
    log, many = WriteAheadLog(Folder(folder / "alone")), 0
    began = time.monotonic()
    while time.monotonic() - began < SECONDS:
        log.commit([[(f"k{many % 500}", BODY)]])
        many += 1
    return many / (time.monotonic() - began)


def tables_in_sqlite(folder):
    """The same, in a database with a write-ahead log that is synced at every commit."""
    base, many = sqlite3.connect(folder / "base", isolation_level=None), 0
    base.execute("pragma journal_mode=wal")
    base.execute("pragma synchronous=full")
    base.execute("create table held (key text primary key, value blob)")
    began = time.monotonic()
    while time.monotonic() - began < SECONDS:
        base.execute(
            "insert or replace into held values (?, ?)", (f"k{many % 500}", json.dumps(BODY))
        )
        many += 1
    base.close()
    return many / (time.monotonic() - began)


def together(folder, threads, delay):
    writer, done, waits = (
        Writer(Folder(folder / f"together-{threads}-{delay}"), lambda *_, **__: None, delay),
        [],
        [],
    )
    end = time.monotonic() + SECONDS

    def put(nth):
        many = 0
        while time.monotonic() < end:
            began = time.monotonic()
            writer.put([(f"k{nth}/{many % 50}", BODY)]).result()
            waits.append(time.monotonic() - began)
            many += 1
        done.append(many)

    running = [threading.Thread(target=put, args=(nth,)) for nth in range(threads)]
    for one in running:
        one.start()
    for one in running:
        one.join()
    commits = writer.commits
    writer.close()
    waits.sort()
    return {
        "threads": threads,
        "delay_ms": delay * 1000,
        "changes_per_s": round(sum(done) / SECONDS),
        "changes_per_sync": round(sum(done) / commits, 1),
        "wait_ms": {
            "p50": round(waits[len(waits) // 2] * 1000, 2),
            "p99": round(waits[int(len(waits) * 0.99)] * 1000, 2),
        },
    }


def recovery(folder, records, keys, compacted):
    log = WriteAheadLog(Folder(folder / f"r{records}-{keys}-{compacted}"))
    for first in range(0, records, 500):
        log.commit(
            [[(f"k{nth % keys}", {**BODY, "nth": nth})] for nth in range(first, first + 500)]
        )
        while compacted and log.due():
            log.compact()
    log.files.close()
    kept = sum(
        path.stat().st_size for path in (folder / f"r{records}-{keys}-{compacted}").iterdir()
    )
    began = time.monotonic()
    again = WriteAheadLog(Folder(folder / f"r{records}-{keys}-{compacted}"))
    took = time.monotonic() - began
    assert len(again.index) == keys and not again.lost
    return {
        "records": records,
        "keys": keys,
        "compacted": compacted,
        "kept_mb": round(kept / 1e6, 2),
        "open_ms": round(took * 1000, 1),
        "amplification": round(1 + log.copied_bytes / log.written, 2),
    }


def main():
    with tempfile.TemporaryDirectory(dir=sys.argv[1] if len(sys.argv) > 1 else None) as made:
        folder, rounds = pathlib.Path(made), []
        for nth in range(3):
            (folder / f"{nth}").mkdir()
            rounds.append(
                {
                    "plain_fsync_per_s": round(plain(folder / f"{nth}")),
                    "one_after_the_other_per_s": round(alone(folder / f"{nth}")),
                    "sqlite_per_s": round(tables_in_sqlite(folder / f"{nth}")),
                }
            )
        groups = [
            together(folder, threads, delay)
            for threads, delay in ((1, 0.0), (8, 0.0), (64, 0.0), (64, 0.002))
        ]
        recovered = [
            recovery(folder, records, 500, compacted)
            for records in (2000, 20_000, 100_000)
            for compacted in (False, True)
        ]
        recovered += [recovery(folder, 20_000, keys, True) for keys in (50, 5000)]
    result = {
        "what": "the store",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "record_bytes": len(json.dumps(BODY)),
        "appends": rounds,
        "together": groups,
        "recovery": recovered,
    }
    (ROOT / "benchmarks/results/store.json").write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
