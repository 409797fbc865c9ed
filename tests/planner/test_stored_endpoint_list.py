"""Tests that an endpoint list kept by commit bb80827 stays readable."""

import unittest

from stored_data import FIRST_PUBLISHED_AT, StoredFolderCase, json_round_trip

from indigodeck.planner.endpoint_list import EndpointList


class StoredEndpointListTest(StoredFolderCase):
    """The endpoint list under the store's key `roster`."""

    def test_the_list_of_hosts_that_was_kept_is_taken_up_again(self):
        """Its version, its servers and the quiesced one."""

        class Listener:
            """Keeps the servers of the last update."""

            def on_endpoint_update(self, kind, servers):
                """Keep the servers."""
                self.servers = servers

        class IdRegistry:
            """Takes the number in a host's name for its index."""

            def index(self, name):
                """Return the index."""
                return int(name.removeprefix("host-"))

        kept = self.open_store().held["roster"]
        listener = Listener()
        endpoint_list = EndpointList(
            listener, IdRegistry(), ["north", "south"], ["small", "big"], 1_749_999_000_000_000 - 7
        )
        endpoint_list.restore(kept, kept["hosts"], True)
        self.assertEqual(
            (endpoint_list.version, endpoint_list.epoch, endpoint_list.quiesced_ids),
            (1042, 2, {"host-7"}),
        )
        self.assertEqual(
            [
                json_round_trip(
                    [one.index, one.cell, one.machine_type, one.zone, one.weight, one.started]
                )
                for one in listener.servers
            ],
            [[3, 1, 1, 0, 2.5, 7], [7, 0, 2, 0, 1.0, 0], [9, 0, 2, 1, 1.0, 0]],
        )
        self.assertEqual({**endpoint_list.to_record(), "at": FIRST_PUBLISHED_AT}, kept)


if __name__ == "__main__":
    unittest.main()
