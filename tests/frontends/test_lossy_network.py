"""Proxies whose messages are lost, late, twice and out of order."""

import unittest
import unittest.mock

from indigodeck.frontends.xds.streams import Stream

from .lossy_network import LossyNetwork, play_schedule


class PublishedTablesTest(unittest.TestCase):
    """Which tables a version holds."""

    def test_a_table_is_part_of_the_version_from_when_somebody_is_bound_to_it(self):
        """A table without a proxy is not published."""
        network = LossyNetwork(1)
        for proxy in network.proxies:
            proxy.incarnation += 1  # none connects by itself
        network.planner_host.class_of_table.clear()
        network.publisher.retain_tables_until = 0
        for proxy, tables in ((0, ["0", "1"]), (1, ["0", "1", "2", "3"])):
            network.planner_host.on_proxy_joined(
                network.proxy_ids.index(f"r{proxy}".encode()), 0, 1.0, False
            )
            self.assertEqual(sorted(network.publisher.version_log.snapshot), tables)


class LossyNetworkTest(unittest.TestCase):
    """Whatever is lost, no proxy serves by a table that was not published."""

    def test_all_end_on_the_intended_version_and_never_serve_from_another(self):
        """1,400 schedules."""
        self.assertGreater(sum(play_schedule(seed) for seed in range(1400)), 200_000)

    def test_what_guards_against_it_is_needed(self):
        """Without either guard some schedule of 60 fails."""

        def caught():
            try:
                for seed in range(60):
                    play_schedule(seed)
            except AssertionError:
                return True
            return False

        self.assertFalse(caught())
        with unittest.mock.patch.object(Stream, "_on_skipped", lambda *given: []):
            self.assertTrue(caught())
        with unittest.mock.patch.object(Stream, "_on_answer_timeout", lambda *given: None):
            self.assertTrue(caught())


if __name__ == "__main__":
    unittest.main()
