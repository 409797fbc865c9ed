"""Schedules of takeovers explored on all cores: python benchmarks/schedules.py [HOW MANY]"""

import json
import multiprocessing
import os
import pathlib
import platform
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from indigodeck.leadership import model, mutants  # noqa: E402

EACH = 250


def some(first):
    return model.explore(range(first, first + EACH), members=(3, 5, 2, 7))


def main(many):
    began = time.perf_counter()
    with multiprocessing.Pool() as pool:
        results = pool.map(some, range(0, many, EACH), chunksize=1)
    took = time.perf_counter() - began
    caught = {
        mutant.__name__: model.explore(range(20_000), make=mutant)[0] for mutant in mutants.MUTANTS
    }
    kept = {
        "what": "schedules of takeovers, 60 s of simulated time each",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "schedules": sum(played for played, _, _ in results),
        "takeovers": sum(seen for _, seen, _ in results),
        "schedules_a_second": round(many / took, 1),
        "broken": [what for _, _, what in results if what],
        "mutants_caught_after": caught,
    }
    print(json.dumps(kept))
    (pathlib.Path(__file__).parent / "results/schedules.json").write_text(
        json.dumps(kept, indent=1) + "\n"
    )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 100_000)
