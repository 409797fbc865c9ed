"""The endpoint list of a planner (`planner.endpoint_list`)."""

import json
import unittest

from indigodeck.assignment.interface import ServerState
from indigodeck.clock import SECOND
from indigodeck.id_registry import IdRegistry
from indigodeck.json_documents import InvalidDocumentError
from indigodeck.planner.endpoint_list import EndpointList, parse_endpoint_list


class EndpointListTest(unittest.TestCase):
    """Updates that are late, repeated or out of order; the test case is the listener."""

    def setUp(self):
        """Start with an empty list."""
        self.calls = []
        self.endpoint_list = EndpointList(self, IdRegistry(), ["a", "b"], ["std"], 5 * SECOND)

    def on_endpoint_update(self, kind, servers):
        """Record an update."""
        self.calls.append(
            (
                kind,
                [(server.stable_id.decode(), server.state, server.started) for server in servers],
            )
        )

    def on_stale_list(self, entries):
        """Record a list that was ignored."""
        self.stale_entries = entries

    def fetch_endpoint_list(self):
        """Record that the full list was requested."""
        self.calls.append("fetch")

    def log_event(self, event, **fields):
        """Record a log event."""
        self.calls.append((event, fields))

    def document(self, version, *hosts, **extra):
        """Return a list of hosts in zone b, given as (id, state)."""
        return dict(
            {
                "version": version,
                "hosts": [
                    {"id": name, "address": "127.0.0.1", "port": 9000, "state": state, "hall": "b"}
                    for name, state in hosts
                ],
            },
            **extra,
        )

    def test_late_repeated_and_out_of_order_updates(self):
        """Stale lists are ignored, a gap causes a fetch, and a new epoch is accepted."""
        self.endpoint_list.apply_incremental(self.document(3, ("x", "ready")))
        self.endpoint_list.apply_full(self.document(4, ("x", "ready"), ("y", "ready")))
        self.endpoint_list.apply_incremental(self.document(4, ("x", "gone")))
        self.endpoint_list.apply_incremental(self.document(5, ("x", "draining")))
        self.endpoint_list.apply_incremental(self.document(7, ("y", "gone")))
        self.endpoint_list.apply_full(self.document(2, ("y", "ready")))
        self.endpoint_list.apply_full(self.document(1, ("y", "ready"), epoch=1))
        self.assertEqual(
            self.calls,
            [
                "fetch",
                ("cached", [("x", ServerState.READY, 0), ("y", ServerState.READY, 0)]),
                ("changes", [("x", ServerState.DRAINING, 0)]),
                "fetch",
                ("endpoint_list_stale", {"version": 2, "held_version": 5}),
                ("whole", [("y", ServerState.READY, 0)]),
            ],
        )

    def test_a_quiesced_host_drains_until_it_reports_otherwise(self):
        """The host's own report overrides a list in which it is ready."""
        self.endpoint_list.apply_full(self.document(1, ("x", "ready")))
        self.assertTrue(self.endpoint_list.set_quiesced("127.0.0.1", 9000, True))
        self.endpoint_list.apply_full(self.document(2, ("x", "ready")))
        self.endpoint_list.set_quiesced("127.0.0.1", 9000, False)
        self.assertEqual(
            [servers[0][1] for _, servers in self.calls],
            [ServerState.READY, ServerState.DRAINING, ServerState.DRAINING, ServerState.READY],
        )

    def test_errors_name_the_place_in_the_document(self):
        """An error names the entry and the key."""
        for text, expected in (
            ('{"version": 1}', "roster: 'hosts' is a required property"),
            ("{", "roster: not valid JSON: "),
            (json.dumps(self.document(1, ("x", "ready"), ("x", "ready"))), "hosts/1/id"),
            (json.dumps(self.document(1, ("x", "up"))), "hosts/0/state"),
            (json.dumps(dict(self.document(1), colour=1)), "'colour' was unexpected"),
        ):
            with self.assertRaises(InvalidDocumentError) as caught:
                parse_endpoint_list(text)
            self.assertIn(expected, str(caught.exception))
