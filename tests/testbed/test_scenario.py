"""Scenarios on loopback that the audit checks."""

import asyncio
import json
import unittest

from support import ROOT

from indigodeck.testbed import scenario, scenario_script
from indigodeck.testbed.scenario_result import format_result


class ScenarioTest(unittest.TestCase):
    """Scripts that are run, and the rules that they keep or break."""

    def run_script(self, script):
        """Run a script; return its result and the names of the broken rules."""
        self.assertEqual(scenario_script.check(script), [])
        (result,) = asyncio.run(scenario.run(script))
        return result, [rule["rule"] for rule in result["rules"] if not rule["kept"]]

    def test_a_deploy_with_a_planner_killed_between_waves(self):
        """A deploy during which the planner is killed breaks no rule.

        Relays join and cold hosts start meanwhile. Relays are then near their message limit while
        drains of other hosts are due. The faults are those of benchmark scenario h8334b8.
        """
        result, broken = self.run_script(
            json.loads((ROOT / "examples/drains-day.json").read_text())
        )
        self.assertEqual(broken, [], format_result(result))
        self.assertGreater(result["service"]["whole"], 0.8, format_result(result))

    def test_a_planner_restart_while_a_zone_is_cold(self):
        """A planner restart while all hosts of a zone are cold breaks no rule."""
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
        result, broken = self.run_script(script)
        self.assertEqual(broken, [], format_result(result))

    def test_relays_that_ignore_drains_or_retry_executed_requests(self):
        """The audit names misbehaving relays and the rules that they break."""
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
        result, broken = self.run_script(script)
        self.assertEqual(broken, ["no effect twice", "drains kept"], format_result(result))
        self.assertEqual(
            {case["who"] for rule in result["rules"] for case in rule["cases"]},
            {"hall-a/relay-0", "hall-b/relay-1"},
        )


if __name__ == "__main__":
    unittest.main()
