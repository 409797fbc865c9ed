"""The crash tests of the store, with ten times as many cases as in CI.

    python benchmarks/cuts.py [TIMES]

TIMES replaces the factor of ten.
"""

import json
import os
import pathlib
import platform
import sys
import time
import unittest.mock
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from store.crash_scenarios import SMALL_LIMITS, CrashScenario  # noqa: E402 - path set above
from store.test_damage import DamagedFileTest  # noqa: E402 - path set above

from indigodeck.store import segments, write_ahead_log  # noqa: E402 - path set above
from indigodeck.store.segments import FileType  # noqa: E402 - path set above

PARTS = 8  # into which the power cuts are divided for the pool of processes


class PowerCutResults(NamedTuple):
    """The number of scenarios run, and the problem of the first that failed, or None."""

    scenario_count: int
    problem: str | None


def run_power_cuts(part: int, times: int) -> PowerCutResults:
    """Run one of `PARTS` parts of the scenarios until one fails."""
    with unittest.mock.patch.multiple(write_ahead_log, **SMALL_LIMITS):
        operation_count = CrashScenario(seed=1).run().operation_count
        scenarios = [
            CrashScenario(seed, cut_at, process_crash_only=bool(seed % 2))
            for cut_at in range(operation_count)
            for seed in range(1, 4 * times + 1)
        ]
        scenarios += [
            CrashScenario(cut_at * 7 + restart_cut_at, cut_at, restart_cut_at)
            for cut_at in range(operation_count)
            for restart_cut_at in range(2 * times)
        ]
        scenario_count = 0
        for scenario in scenarios[part::PARTS]:
            scenario_count += 1
            problem = scenario.run().problem
            if problem:
                return PowerCutResults(scenario_count, problem)
        return PowerCutResults(scenario_count, None)


def damage_every_byte(seed: int) -> int:
    """Cut each file of a new store at every byte and flip bits; return the number of cases."""
    test = DamagedFileTest("test_each_file_cut_at_every_byte")
    test.setUp()
    try:
        test.fill(30 + seed % 20, seed)
        if len(segments.numbered_files(test.files, FileType.BASE)) > 1:
            test.test_each_file_cut_at_every_byte()
            test.test_each_file_with_a_bit_flipped_anywhere()
    finally:
        test.doCleanups()
    return 2 * sum(map(len, test.files.values()))


def main(times: int) -> None:
    """Run all scenarios, write the result to benchmarks/results/cuts.json and print it."""
    started = time.monotonic()
    with ProcessPoolExecutor(4) as pool:
        cuts = list(pool.map(run_power_cuts, range(PARTS), [times] * PARTS))
        damage = list(pool.map(damage_every_byte, range(5, 5 + times)))
    result = {
        "what": "crash tests of the store",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "power_cuts": sum(part.scenario_count for part in cuts),
        "broken": [part.problem for part in cuts if part.problem],
        "files_cut_or_flipped": sum(damage),
        "seconds": round(time.monotonic() - started),
    }
    (ROOT / "benchmarks/results/cuts.json").write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
