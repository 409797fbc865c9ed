"""Random schedules of lost, late and repeated messages: python benchmarks/lossy.py [COUNT].

Runs the schedules of the tests in far larger numbers than CI.
"""

import json
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from common import command_line_argument, machine, write_result

# These need the import above, which puts them on the import path.
from frontends import lossy_network  # isort: skip
from versions import test_replication  # isort: skip

FIRST_SEED = 10_000
PARTS = 16


class ScheduleResults(NamedTuple):
    """Counts of schedules and of the tables or versions checked in them, and the first problem."""

    schedules: int
    checked: int
    problem: str | None


def run_schedules(schedule: Callable[[int], int], seeds: Sequence[int]) -> ScheduleResults:
    """Run schedules until one fails."""
    checked = 0
    for index, seed in enumerate(seeds):
        try:
            checked += schedule(seed)
        except AssertionError as error:
            return ScheduleResults(index + 1, checked, str(error))
    return ScheduleResults(len(seeds), checked, None)


def main(count: int) -> None:
    """Run schedules for relays, and a quarter as many for controllers; write the result."""
    started = time.monotonic()
    result: dict[str, object] = {}
    with ProcessPoolExecutor(4) as pool:
        for name, schedule, schedules in (
            ("relays", lossy_network.play_schedule, count),
            ("controllers", test_replication.play_schedule, count // 4),
        ):
            seeds = [
                range(FIRST_SEED + part, FIRST_SEED + schedules, PARTS) for part in range(PARTS)
            ]
            parts = list(pool.map(run_schedules, [schedule] * PARTS, seeds))
            result[name] = {
                "schedules": sum(part.schedules for part in parts),
                "proved": sum(part.checked for part in parts),
                "broken": [part.problem for part in parts if part.problem],
            }
    result.update(machine=machine(), seconds=round(time.monotonic() - started))
    write_result("lossy", result)
    print(json.dumps(result))


if __name__ == "__main__":
    main(command_line_argument(1, 8000))
