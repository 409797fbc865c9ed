"""Tests of the admin API: operator requests as JSON, and the answers to them."""

import unittest

from indigodeck.versions.admin_api import MAX_PAGE_ENTRIES, AdminApi

from .support import SERVER_IDS, StubPlanner


class AdminApiTest(unittest.TestCase):
    """Requests to a stub planner that has published two versions."""

    def setUp(self):
        """Publish version 1.1, and version 1.2 with a changed table 0."""
        self.planner = StubPlanner()
        self.api = AdminApi(self.planner.publisher, self.planner)
        self.planner.change_table(0, "server 3 is slow", h0=2.0, h1=1.0, h2=1.0, h8=1.0)

    def test_list_returns_versions_newest_first_and_active_rollbacks(self):
        """The list contains the metadata of each version, and the author of each rollback."""
        self.api.answer(
            {
                "what": "rollback",
                "number": "1.1",
                "author": "duty",
                "reason": "faults",
                "classes": ["read"],
            }
        )
        answer = self.api.answer({"what": "list"})
        self.assertEqual(
            [version["number"] for version in answer["versions"]], ["1.3", "1.2", "1.1"]
        )
        self.assertEqual(
            [
                (version["parent"], version["cause"], version["author"])
                for version in answer["versions"]
            ],
            [
                ("1.2", "rollback of read to 1.1: faults", "duty"),
                ("1.1", "server 3 is slow", ""),
                (None, "in charge under epoch 1", ""),
            ],
        )
        self.assertEqual(
            (answer["newest"], answer["more"], answer["in_charge"]), ("1.3", False, True)
        )
        pin = answer["holds"]["read"]
        self.assertEqual((pin["number"], pin["author"], pin["reason"]), ("1.1", "duty", "faults"))
        older = self.api.answer({"what": "list", "before": "1.3"})
        self.assertEqual([version["number"] for version in older["versions"]], ["1.2", "1.1"])

    def test_long_list_is_paginated(self):
        """One answer has one page of versions, and says that there are more."""
        for index in range(MAX_PAGE_ENTRIES):
            self.planner.change_table(0, h0=3.0 + index)
        answer = self.api.answer({"what": "list"})
        self.assertEqual((len(answer["versions"]), answer["more"]), (MAX_PAGE_ENTRIES, True))
        rest = self.api.answer({"what": "list", "before": answer["versions"][-1]["number"]})
        self.assertEqual((len(rest["versions"]), rest["more"]), (2, False))

    def test_diff_returns_old_and_new_weight_of_each_changed_line(self):
        """The diff has only changed lines; in the opposite direction, old and new are swapped."""
        answer = self.api.answer({"what": "diff", "old": "1.1", "new": "1.2"})
        lines = {"host-0": [1.0, 2.0], "host-3": [1.0, None], "host-8": [None, 1.0]}
        self.assertEqual(
            answer,
            {
                "tables": {"0": {"class": "read", "level": [[1.0, 1], [1.0, 1]], "lines": lines}},
                "more": False,
            },
        )
        reverse = self.api.answer({"what": "diff", "old": "1.2", "new": "1.1"})
        self.assertEqual(
            reverse["tables"]["0"]["lines"], {name: line[::-1] for name, line in lines.items()}
        )

    def test_show_is_paginated_to_fit_messages(self):
        """A version's tables come in pages; each request names the last table received so far."""
        self.planner.weights = {table: dict.fromkeys(range(12), 1.0) for table in range(400)}
        self.planner.revisions = dict.fromkeys(range(400), 0)
        self.planner.publisher.publish("turn")
        tables = {}
        answers = 0
        after = {}
        more = True
        while more:
            answer = self.api.answer({"what": "show", "number": "1.3", **after})
            self.assertEqual(answer["version"]["number"], "1.3")
            tables.update(answer["tables"])
            after = {"after": max(answer["tables"])}
            more = answer["more"]
            answers += 1
        self.assertGreater(answers, 3)
        self.assertEqual(len(tables), 400)
        self.assertEqual(
            tables["7"],
            {"class": "write", "level": [1.0, 1], "lines": dict.fromkeys(SERVER_IDS, 1.0)},
        )

    def test_relays_returns_the_version_each_relay_holds(self):
        """The answer says whether each relay is up to date and has confirmed its version."""
        relay_versions = self.planner.publisher.relay_versions
        first = min(self.planner.publisher.version_log.versions)
        relay_versions.on_delivered(0, first)
        relay_versions.on_delivered(1, self.planner.publisher.newest_version(), confirmed=False)
        answer = self.api.answer({"what": "relays"})
        self.assertEqual(
            [list(status) for status in answer["relays"]],
            [["relay-0", "1.1", False, True], ["relay-1", "1.2", True, False]],
        )
        rest = self.api.answer({"what": "relays", "after": "relay-0"})
        self.assertEqual(
            ([status[0] for status in rest["relays"]], rest["more"]), (["relay-1"], False)
        )

    def test_change_returns_its_serial(self):
        """Pinning a version again changes nothing, so the serial stays the same."""
        pin = {"what": "pin", "number": "1.1", "on": True}
        self.assertEqual(self.api.answer(pin), {"done": "1.1 is pinned", "serial": [1, 1]})
        self.assertEqual(self.api.answer(pin), {"done": "1.1 is pinned", "serial": [1, 1]})
        versions = self.api.answer({"what": "list"})["versions"]
        self.assertEqual([version["pinned"] for version in versions], [False, True])
        self.assertEqual(
            self.api.answer({"what": "release", "author": "duty", "reason": ""}),
            {"done": "nothing was held: nothing changes", "serial": [1, 1]},
        )

    def test_rejected_request_returns_the_reason(self):
        """Unknown requests, versions and classes, and a controller that does not lead."""
        rollback = {"what": "rollback", "number": "1.1", "author": "duty", "reason": ""}
        for request, reason in (
            ({"what": "pin", "number": "9.9", "on": True}, "version 9.9 is not kept"),
            ({"what": "show", "number": "9.9"}, "version 9.9 is not kept"),
            ({"what": "diff", "old": "1.1", "new": "9.9"}, "1.1 or 9.9 is not kept"),
            ({**rollback, "author": ""}, "a rollback needs an author"),
            (
                {**rollback, "classes": ["none"]},
                "unknown class 'none': the classes are ['read', 'write']",
            ),
        ):
            with self.subTest(request=request):
                self.assertEqual(self.api.answer(request), {"why_not": reason})
        for request in ({"what": "nonsense"}, {**rollback, "number": "1"}):
            with self.subTest(request=request):
                self.assertEqual(self.api.answer(request).keys(), {"why_not"})
        self.planner.publisher.lose_leadership()
        self.assertIn("another controller is in charge", self.api.answer(rollback)["why_not"])


if __name__ == "__main__":
    unittest.main()
