"""The endpoint list as a planner is given it (`planner.endpoint_list`)."""

import json
import unittest

from indigodeck.assignment.interface import ServerState
from indigodeck.clock import SECOND
from indigodeck.id_registry import IdRegistry
from indigodeck.json_documents import InvalidDocumentError
from indigodeck.planner.endpoint_list import EndpointList, parse_endpoint_list


class EndpointListTest(unittest.TestCase):
    """What a list says, late, twice and out of order; the test is its listener."""

    def setUp(self):
        """Start at time 0."""
        self.calls = []
        self.endpoint_list = EndpointList(self, IdRegistry(), ["a", "b"], ["std"], 5 * SECOND)

    def on_endpoint_update(self, kind, servers):
        """Keep what is listed."""
        self.calls.append(
            (kind, [(one.stable_id.decode(), one.state, one.started) for one in servers])
        )

    def on_stale_list(self, hosts):
        """Keep what was left aside."""
        self.left_aside = hosts

    def fetch_endpoint_list(self):
        """Keep that the whole list was asked for."""
        self.calls.append("ask")

    def log_event(self, event, **facts):
        """Keep a log event."""
        self.calls.append((event, facts))

    def document(self, version, *hosts, **more):
        """Return a list of hosts in zone b."""
        return dict(
            {
                "version": version,
                "hosts": [
                    {"id": name, "address": "127.0.0.1", "port": 9000, "state": state, "hall": "b"}
                    for name, state in hosts
                ],
            },
            **more,
        )

    def test_lists_late_twice_and_out_of_order(self):
        """Stale lists are left aside, gaps are fetched, a new epoch counts anew."""
        self.endpoint_list.apply_changes(self.document(3, ("x", "ready")))
        self.endpoint_list.apply_whole(self.document(4, ("x", "ready"), ("y", "ready")))
        self.endpoint_list.apply_changes(self.document(4, ("x", "gone")))
        self.endpoint_list.apply_changes(self.document(5, ("x", "draining")))
        self.endpoint_list.apply_changes(self.document(7, ("y", "gone")))
        self.endpoint_list.apply_whole(self.document(2, ("y", "ready")))
        self.endpoint_list.apply_whole(self.document(1, ("y", "ready"), epoch=1))
        self.assertEqual(
            self.calls,
            [
                "ask",
                ("cached", [("x", ServerState.READY, 0), ("y", ServerState.READY, 0)]),
                ("changes", [("x", ServerState.DRAINING, 0)]),
                "ask",
                ("endpoint_list_stale", {"version": 2, "held_version": 5}),
                ("whole", [("y", ServerState.READY, 0)]),
            ],
        )

    def test_a_quiesced_host_drains_at_once_and_until_it_says_otherwise(self):
        """Its own word outlasts a list that calls it ready."""
        self.endpoint_list.apply_whole(self.document(1, ("x", "ready")))
        self.assertTrue(self.endpoint_list.set_quiesced("127.0.0.1", 9000, True))
        self.endpoint_list.apply_whole(self.document(2, ("x", "ready")))
        self.endpoint_list.set_quiesced("127.0.0.1", 9000, False)
        self.assertEqual(
            [servers[0][1] for _, servers in self.calls],
            [ServerState.READY, ServerState.DRAINING, ServerState.DRAINING, ServerState.READY],
        )

    def test_bad_documents_say_the_place(self):
        """An error names the entry and the key."""
        for text, said in (
            ('{"version": 1}', "roster: 'hosts' is a required property"),
            ("{", "roster: no JSON"),
            (json.dumps(self.document(1, ("x", "ready"), ("x", "ready"))), "hosts/1/id"),
            (json.dumps(self.document(1, ("x", "up"))), "hosts/0/state"),
            (json.dumps(dict(self.document(1), colour=1)), "'colour' was unexpected"),
        ):
            with self.assertRaises(InvalidDocumentError) as caught:
                parse_endpoint_list(text)
            self.assertIn(said, str(caught.exception))
