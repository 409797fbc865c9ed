"""Compares service in the bad day with two baselines: python benchmarks/bad_day.py.

The baselines are equal weights over the whole list, and the weights at the start. Each policy has
its own fleet; all three run at the same time on this machine. The result also compares the bytes of
all messages to relays with those of the entries that changed.
"""

import asyncio
import json
import pathlib
import tempfile
from typing import Any

from common import broken_rules, example_document, machine, write_result

from indigodeck.frontends.sasp import codec
from indigodeck.testbed.recording_proxy import StreamEventType
from indigodeck.testbed.scenario import ScenarioRunner

POLICIES = ("indigodeck", "equal", "frozen")


class ChangeCounter:
    """Counts the bytes of all weight entries, and of those that changed since last sent."""

    def __init__(self) -> None:
        self.entry_bytes = 0
        self.changed_bytes = 0
        self._last_sent: dict[Any, tuple[int, int]] = {}

    def answered(self, *_: Any) -> None:
        """Ignore an answer without weights (called by the codec)."""

    def weights(self, number: int, code: int, interval: int, groups: Any) -> None:
        """Count an answer with weights (called by the codec)."""
        self.sent_weights(number, groups)

    def sent_weights(self, number: int, groups: Any) -> None:
        """Count weights that were pushed (called by the codec)."""
        for group, entries in groups:
            for entry in entries:
                size = len(codec.entry_bytes(entry))
                key = (group, entry.member.endpoint())
                content = (entry.weight, entry.flags)
                self.entry_bytes += size
                if self._last_sent.get(key) != content:
                    self.changed_bytes += size
                self._last_sent[key] = content


def policy_result(result: dict[str, Any], own_service: float) -> dict[str, Any]:
    """Return the part of one policy's result that is written."""
    service = result["service"]
    lost = 1 - service["whole"]
    return {
        "service": service["whole"],
        "worst_10_s": service["worst_10_s"],
        "worst_class": service["worst_class"],
        "by_5_s": service["by_5_s"],
        "rules_broken": broken_rules(result),
        "lost_over_ours": round(lost / max(1e-9, 1 - own_service), 2),
    }


async def main() -> None:
    """Run the three policies at the same time, and write the results."""
    script = example_document("bad-day.json")
    with tempfile.TemporaryDirectory() as folder:
        runners = [
            ScenarioRunner(script, pathlib.Path(folder) / policy, policy) for policy in POLICIES
        ]
        results = await asyncio.gather(*(runner.run() for runner in runners))
    counter = ChangeCounter()
    proxy = runners[0].proxy
    for event in proxy.events:
        if event.type == StreamEventType.MESSAGE:
            codec.dispatch(event.data, counter)
    own_service = results[0]["service"]["whole"]
    document = {
        "what": "the scripted bad day",
        "machine": machine(),
        "hosts": script["hosts"]["many"],
        "relays": script["relays"]["many"],
        "rate": script["relays"]["rate"],
        "policies": {result["policy"]: policy_result(result, own_service) for result in results},
        "bytes": {
            "all": proxy.bytes_sent,
            "entries": counter.entry_bytes,
            "changed_entries": counter.changed_bytes,
            "entries_over_changed": round(counter.entry_bytes / counter.changed_bytes, 2),
        },
    }
    print(json.dumps(document, indent=1))
    write_result("bad-day", document)


if __name__ == "__main__":
    asyncio.run(main())
