"""Compatibility with an endpoint list that was stored by commit bb80827."""

import unittest

from stored_data import FIRST_PUBLISHED_AT, StoredFolderCase, json_round_trip

from indigodeck.planner.endpoint_list import EndpointList


class StoredEndpointListTest(StoredFolderCase):
    """The endpoint list under the key `roster` of the store."""

    def test_a_stored_list_is_restored(self):
        """The version, the servers and the quiesced host are restored."""

        class Listener:
            """Records the servers of the last update."""

            def on_endpoint_update(self, kind, servers):
                """Record the servers."""
                self.servers = servers

        class IdRegistry:
            """Uses the number in a host's name as its index."""

            def index(self, name):
                """Return the index."""
                return int(name.removeprefix("host-"))

        stored = self.open_store().values["roster"]
        listener = Listener()
        endpoint_list = EndpointList(
            listener, IdRegistry(), ["north", "south"], ["small", "big"], 1_749_999_000_000_000 - 7
        )
        endpoint_list.restore(stored, stored["hosts"], True)
        self.assertEqual(
            (endpoint_list.version, endpoint_list.epoch, endpoint_list.quiesced_ids),
            (1042, 2, {"host-7"}),
        )
        self.assertEqual(
            [
                json_round_trip(
                    [
                        server.index,
                        server.cell,
                        server.machine_type,
                        server.zone,
                        server.weight,
                        server.started,
                    ]
                )
                for server in listener.servers
            ],
            [[3, 1, 1, 0, 2.5, 7], [7, 0, 2, 0, 1.0, 0], [9, 0, 2, 1, 1.0, 0]],
        )
        self.assertEqual({**endpoint_list.to_record(), "at": FIRST_PUBLISHED_AT}, stored)


if __name__ == "__main__":
    unittest.main()
