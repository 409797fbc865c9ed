"""Explores schedules of leader elections on all cores: python benchmarks/schedules.py [COUNT]."""

import json
import multiprocessing
import time
from typing import Any

from common import command_line_argument, machine, write_result

from indigodeck.leadership import model, mutants

SEEDS_PER_PART = 250
MUTANT_SEEDS = 20_000
GROUP_SIZES = (3, 5, 2, 7)


def explore_part(first_seed: int) -> Any:
    """Explore the schedules of `SEEDS_PER_PART` seeds on one core."""
    seeds = range(first_seed, first_seed + SEEDS_PER_PART)
    return model.explore(seeds, members=GROUP_SIZES)


def main(count: int) -> None:
    """Explore all schedules, count those it takes to catch each mutant, and write the result."""
    started = time.perf_counter()
    with multiprocessing.Pool() as pool:
        results = pool.map(explore_part, range(0, count, SEEDS_PER_PART), chunksize=1)
    elapsed = time.perf_counter() - started
    caught = {
        mutant.__name__: model.explore(range(MUTANT_SEEDS), election_class=mutant)[0]
        for mutant in mutants.MUTANTS
    }
    document = {
        "what": "schedules of takeovers, 60 s of simulated time each",
        "machine": machine(),
        "schedules": sum(schedules for schedules, _, _ in results),
        "takeovers": sum(takeovers for _, takeovers, _ in results),
        "schedules_a_second": round(count / elapsed, 1),
        "broken": [problem for _, _, problem in results if problem],
        "mutants_caught_after": caught,
    }
    print(json.dumps(document))
    write_result("schedules", document)


if __name__ == "__main__":
    main(command_line_argument(1, 100_000))
