"""Schedules of lost, late and repeated messages: python benchmarks/lossy.py [COUNT].

Far more than CI plays.
"""

import json
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from common import command_line_argument, machine, write_result

# These follow the import above, which puts them on the path.
from frontends import lossy_network  # isort: skip
from versions import test_replication  # isort: skip

FIRST_SEED = 10_000
PARTS = 16


class PlayedSchedules(NamedTuple):
    """How many schedules were played, what they proved, and the first problem, if any."""

    schedules: int
    proved: int
    problem: str | None


def play_schedules(schedule: Callable[[int], int], seeds: Sequence[int]) -> PlayedSchedules:
    """Play schedules up to the first that fails."""
    proved = 0
    for index, seed in enumerate(seeds):
        try:
            proved += schedule(seed)
        except AssertionError as error:
            return PlayedSchedules(index + 1, proved, str(error))
    return PlayedSchedules(len(seeds), proved, None)


def main(count: int) -> None:
    """Play schedules of relays, and a quarter as many of controllers; keep the result."""
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
            parts = list(pool.map(play_schedules, [schedule] * PARTS, seeds))
            result[name] = {
                "schedules": sum(part.schedules for part in parts),
                "proved": sum(part.proved for part in parts),
                "broken": [part.problem for part in parts if part.problem],
            }
    result.update(machine=machine(), seconds=round(time.monotonic() - started))
    write_result("lossy", result)
    print(json.dumps(result))


if __name__ == "__main__":
    main(command_line_argument(1, 8000))
