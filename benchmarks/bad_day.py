"""Service on the scripted bad day beside two baselines in one run, and bytes on the wire: python benchmarks/bad_day.py

Baselines: equal weights over the whole list, and the weights of the start. Each has a fleet of its own; all three
play at the same time on this machine. Bytes: all that relays were sent, against entries that changed alone.
"""

import asyncio
import json
import os
import pathlib
import platform
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from indigodeck.frontends.sasp import codec  # noqa: E402
from indigodeck.testbed.recording_proxy import StreamEventType  # noqa: E402
from indigodeck.testbed.scenario import ScenarioRunner  # noqa: E402


class Changes:
    """Counts the bytes of weight entries that differ from what the relay was told before."""

    def __init__(self):
        self.told, self.all, self.changed = {}, 0, 0

    def answered(self, *_):
        pass

    def weights(self, number, code, interval, groups):
        self.sent_weights(number, groups)

    def sent_weights(self, number, groups):
        for named, entries in groups:
            for entry in entries:
                size, key = len(codec.entry_bytes(entry)), (named, entry.member.endpoint())
                self.all += size
                if self.told.get(key) != (entry.weight, entry.flags):
                    self.changed += size
                self.told[key] = entry.weight, entry.flags


async def main():
    script = json.loads(
        (pathlib.Path(__file__).parent.parent / "examples/bad-day.json").read_text()
    )
    with tempfile.TemporaryDirectory() as folder:
        plays = [
            ScenarioRunner(script, pathlib.Path(folder) / policy, policy)
            for policy in ("indigodeck", "equal", "frozen")
        ]
        results = await asyncio.gather(*(play.play() for play in plays))
    changes = Changes()
    for event in plays[0].proxy.events:
        if event.type == StreamEventType.MESSAGE:
            codec.dispatch(event.data, changes)
    ours = results[0]["service"]["whole"]
    kept = {
        "what": "the scripted bad day",
        "machine": f"{os.cpu_count()} cores, {platform.python_version()}",
        "hosts": script["hosts"]["many"],
        "relays": script["relays"]["many"],
        "rate": script["relays"]["rate"],
        "policies": {
            result["policy"]: {
                "service": result["service"]["whole"],
                "worst_10_s": result["service"]["worst_10_s"],
                "worst_class": result["service"]["worst_class"],
                "by_5_s": result["service"]["by_5_s"],
                "rules_broken": [rule["rule"] for rule in result["rules"] if not rule["kept"]],
                "lost_over_ours": round((1 - result["service"]["whole"]) / max(1e-9, 1 - ours), 2),
            }
            for result in results
        },
        "bytes": {
            "all": plays[0].proxy.bytes_sent,
            "entries": changes.all,
            "changed_entries": changes.changed,
            "entries_over_changed": round(changes.all / changes.changed, 2),
        },
    }
    print(json.dumps(kept, indent=1))
    (pathlib.Path(__file__).parent / "results/bad-day.json").write_text(
        json.dumps(kept, indent=1) + "\n"
    )


if __name__ == "__main__":
    asyncio.run(main())
