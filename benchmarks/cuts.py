"""The store's crash tests at ten times the size that CI plays: python benchmarks/cuts.py [TIMES]"""

import json
import os
import pathlib
import platform
import sys
import time
from concurrent.futures import ProcessPoolExecutor

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import test_store  # noqa: E402

from indigodeck.store import write_ahead_log as log  # noqa: E402


def part(nth, times):
    """Every `times`-th of all cases: (played, the first that broke or None)."""
    log.SEGMENT, log.AT_LEAST, log.GARBAGE = 700, 900, 1
    most, played = test_store.play(1, 40)[1], 0
    cases = [
        (seed, dict(cut_at=cut, process_only=bool(seed % 2)))
        for cut in range(most)
        for seed in range(1, 4 * times + 1)
    ]
    cases += [
        (cut * 7 + again, dict(cut_at=cut, again=again))
        for cut in range(most)
        for again in range(2 * times)
    ]
    for seed, given in cases[nth::8]:
        played += 1
        broken = test_store.play(seed, 40, **given)[0]
        if broken:
            return played, broken
    return played, None


def every_byte(seed):
    """Each file of one more store, cut and flipped at every byte."""
    found = test_store.Damage("test_each_file_cut_at_every_byte")
    found.setUp()
    found.disk, found.states = test_store.filled(30 + seed % 20, seed)
    found.files = {name: found.disk.read(name) for name in found.disk.names()}
    found.history = {key: [state.get(key) for state in found.states] for key in test_store.KEYS}
    if len(log.numbered(found.files, "base")) > 1:
        found.test_each_file_cut_at_every_byte()
        found.test_each_file_with_a_bit_flipped_anywhere()
    return 2 * sum(map(len, found.files.values()))


def main(times):
    began = time.monotonic()
    with ProcessPoolExecutor(4) as pool:
        cuts = list(pool.map(part, range(8), [times] * 8))
        damage = list(pool.map(every_byte, range(5, 5 + times)))
    result = {
        "what": "crash tests of the store",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "power_cuts": sum(played for played, _ in cuts),
        "broken": [broken for _, broken in cuts if broken],
        "files_cut_or_flipped": sum(damage),
        "seconds": round(time.monotonic() - began),
    }
    (ROOT / "benchmarks/results/cuts.json").write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
