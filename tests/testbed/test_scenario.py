"""Whole scenarios on loopback, judged by the audit."""

import asyncio
import json
import unittest

from support import ROOT

from indigodeck.testbed import scenario, scenario_script
from indigodeck.testbed.scenario_result import format_result


class Scenarios(unittest.TestCase):
    """Scripts that are played, and the rules they keep or break."""

    def play(self, script):
        """Play a script; return its result and the rules that were broken."""
        self.assertEqual(scenario_script.check(script), [])
        (result,) = asyncio.run(scenario.run(script))
        return result, [rule["rule"] for rule in result["rules"] if not rule["kept"]]

    def test_drains_with_joins_cold_hosts_and_a_planner_killed_between_waves(self):
        """A release with a planner killed in its middle breaks no rule."""
        # The faults of day h8334b8: relays near their message limit while others' drains are due.
        result, broken = self.play(json.loads((ROOT / "examples/drains-day.json").read_text()))
        self.assertEqual(broken, [], format_result(result))
        self.assertGreater(result["service"]["whole"], 0.8, format_result(result))

    def test_a_zone_is_cold_and_the_planner_restarts_meanwhile(self):
        """A zone of cold hosts and a new planner break no rule."""
        script = json.loads((ROOT / "examples/drains-day.json").read_text())
        script.update(
            seconds=10,
            troubles=[
                {
                    "at": 1,
                    "kind": "deploy",
                    "hall": "hall-b",
                    "part": 1.0,
                    "size": 1.0,
                    "seconds": 1,
                },
                {"at": 2.5, "kind": "planner_killed", "size": 0.2},
            ],
        )
        result, broken = self.play(script)
        self.assertEqual(broken, [], format_result(result))

    def test_relays_that_ignore_drains_and_repeat_effects_are_found(self):
        """Relays that misbehave are named, with the rules they break."""
        script = json.loads((ROOT / "examples/drains-day.json").read_text())
        script.update(
            seconds=12,
            troubles=[
                {"at": 1, "kind": "shrink", "part": 0.5, "size": 1.0, "seconds": 1},
                {"at": 2, "kind": "errors", "part": 0.5, "size": 1.0, "seconds": 9},
            ],
        )
        script["relays"].update(
            unruly={"hall-a/relay-0": "keeps", "hall-b/relay-1": "repeats"}, retries=0
        )
        result, broken = self.play(script)
        self.assertEqual(broken, ["no effect twice", "drains kept"], format_result(result))
        self.assertEqual(
            {case["who"] for rule in result["rules"] for case in rule["cases"]},
            {"hall-a/relay-0", "hall-b/relay-1"},
        )


if __name__ == "__main__":
    unittest.main()
