"""Speed of the SASP codec, reading and writing: python benchmarks/codec.py."""

import json
import os
import pathlib
import platform
import sys
import time
from collections.abc import Callable

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from indigodeck.frontends.sasp import codec  # noqa: E402 - path set above

RESULT_FILE = ROOT / "benchmarks/results/codec.json"
ENTRY_COUNTS = (1, 10, 105, 1000)
MEASURED_SECONDS = 1.0
ENTRY_FLAGS = 0x90


class NullHandler:
    """Accepts any message and ignores it."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Return a method that does nothing."""
        return lambda *arguments: None


def calls_per_second(call: Callable[[], object]) -> float:
    """Return the number of calls per second."""
    calls = 0
    end = time.perf_counter() + MEASURED_SECONDS
    while time.perf_counter() < end:
        call()
        calls += 1
    return calls / MEASURED_SECONDS


def measure(entry_count: int) -> dict[str, int]:
    """Return the size and rates for messages with a number of entries."""
    entries = [
        codec.Entry(
            codec.Member.at("127.0.0.1", 1 + number, b"host-%d" % number), 1 + number, ENTRY_FLAGS
        )
        for number in range(entry_count)
    ]
    groups = [((b"hall-a/relay-1", b"reading"), entries)]
    handler = NullHandler()
    data = codec.send_weights(1, groups)
    written = calls_per_second(lambda: codec.send_weights(1, groups))
    read = calls_per_second(lambda: codec.dispatch(data, handler))
    return {
        "entries": entry_count,
        "bytes": len(data),
        "written_a_second": round(written),
        "read_a_second": round(read),
        "entries_written_a_second": round(written * entry_count),
        "entries_read_a_second": round(read * entry_count),
    }


def main() -> None:
    """Print one JSON line for each size, and write the results."""
    results = []
    for entry_count in ENTRY_COUNTS:
        results.append(measure(entry_count))
        print(json.dumps(results[-1]))
    document = {
        "what": "SASP codec, one core",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "results": results,
    }
    RESULT_FILE.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
