"""How fast the SASP codec reads and writes: python benchmarks/codec.py"""

import json
import os
import pathlib
import platform
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from indigodeck.frontends.sasp import codec  # noqa: E402


class Nobody:
    def __getattr__(self, name):
        return lambda *given: None


def rate(call, seconds=1.0):
    calls, end = 0, time.perf_counter() + seconds
    while time.perf_counter() < end:
        call()
        calls += 1
    return calls / seconds


def main():
    results, nobody = [], Nobody()
    for members in (1, 10, 105, 1000):
        groups = [
            (
                (b"hall-a/relay-1", b"reading"),
                [
                    codec.Entry(
                        codec.Member.at("127.0.0.1", 1 + nth, b"host-%d" % nth), 1 + nth, 0x90
                    )
                    for nth in range(members)
                ],
            )
        ]
        data = codec.send_weights(1, groups)
        wrote, read = (
            rate(lambda: codec.send_weights(1, groups)),
            rate(lambda: codec.dispatch(data, nobody)),
        )
        results.append(
            {
                "entries": members,
                "bytes": len(data),
                "written_a_second": round(wrote),
                "read_a_second": round(read),
                "entries_written_a_second": round(wrote * members),
                "entries_read_a_second": round(read * members),
            }
        )
        print(json.dumps(results[-1]))
    kept = {
        "what": "SASP codec, one core",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "results": results,
    }
    (pathlib.Path(__file__).parent / "results/codec.json").write_text(
        json.dumps(kept, indent=1) + "\n"
    )


if __name__ == "__main__":
    main()
