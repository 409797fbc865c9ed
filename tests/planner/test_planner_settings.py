"""The planner's settings file (`planner.planner_settings`)."""

import json
import pathlib
import unittest

from indigodeck.json_documents import InvalidDocumentError
from indigodeck.planner.planner_settings import PlannerSettings

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples/charter.json"


class PlannerSettingsTest(unittest.TestCase):
    """Validation and limits of settings."""

    def test_errors_name_the_place_in_the_document(self):
        """Violations of the schema and inconsistent settings are reported alike."""
        text = EXAMPLE.read_text()
        self.assertEqual(PlannerSettings(json.loads(text)).deployment.channel.max_messages, 20)
        for place, value, expected in (
            (("hall",), "hall-z", "hall: 'hall-z'"),
            (("classes", 0, "patience_ms"), 1, "classes/0/patience_ms"),
            (("rules", "colour"), 1, "rules: Additional"),
            (("channel", "answers_most"), 30, "channel/answers_most"),
            (("classes", 1, "name"), "reading", "classes/1/name"),
            (("seed",), "x", "seed"),
        ):
            broken = section = json.loads(text)
            for key in place[:-1]:
                section = section[key]
            section[place[-1]] = value
            with self.assertRaises(InvalidDocumentError) as caught:
                PlannerSettings(broken)
            self.assertIn(expected, str(caught.exception))

    def test_times_without_an_upper_bound_are_read_exactly(self):
        """A very long warm-up time must not be read as none."""
        document = json.loads(EXAMPLE.read_text())
        document["rules"]["cold_ms"] = 2e15
        deployment = PlannerSettings(document).deployment
        self.assertEqual(deployment.warm_up_time, 2 * 10**18)
        document["classes"][0].update(agreed_time_ms=2e15, patience_ms=3e15)
        reading = PlannerSettings(document).deployment.classes[0]
        self.assertEqual((reading.latency_objective, reading.deadline), (2 * 10**18, 3 * 10**18))
