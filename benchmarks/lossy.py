"""Schedules of lost, late and repeated messages, far more than CI plays: python benchmarks/lossy.py [MANY]"""

import json
import os
import pathlib
import platform
import sys
import time
from concurrent.futures import ProcessPoolExecutor

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import test_relays  # noqa: E402
from versions import test_replication  # noqa: E402


def played(play, seeds):
    """(schedules, what they count, the first that broke or None)"""
    total = 0
    for nth, seed in enumerate(seeds):
        try:
            total += play(seed)
        except AssertionError as error:
            return nth + 1, total, str(error)
    return len(seeds), total, None


def main(many):
    began, result = time.monotonic(), {}
    with ProcessPoolExecutor(4) as pool:
        for name, play, most in (
            ("relays", test_relays.schedule, many),
            ("controllers", test_replication.play_schedule, many // 4),
        ):
            parts = list(
                pool.map(
                    played,
                    [play] * 16,
                    [range(10_000 + nth, 10_000 + most, 16) for nth in range(16)],
                )
            )
            result[name] = {
                "schedules": sum(part[0] for part in parts),
                "proved": sum(part[1] for part in parts),
                "broken": [part[2] for part in parts if part[2]],
            }
    result.update(
        machine=f"{os.cpu_count()} cores, {platform.python_version()}",
        seconds=round(time.monotonic() - began),
    )
    (ROOT / "benchmarks/results/lossy.json").write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 8000)
