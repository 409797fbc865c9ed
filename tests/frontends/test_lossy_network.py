"""Tests of xDS proxies whose messages are lost, delayed, duplicated and reordered."""

import unittest
import unittest.mock

from indigodeck.frontends.xds.streams import Stream

from .lossy_network import LossyNetwork, play_schedule


class PublishedTablesTest(unittest.TestCase):
    """Which tables a published version includes."""

    def test_a_version_includes_a_table_once_a_proxy_is_bound_to_it(self):
        """A table to which no proxy is bound is not published."""
        network = LossyNetwork(1)
        for proxy in network.proxies:
            proxy.incarnation += 1  # invalidates the timer by which the proxy would connect
        network.planner_host.class_of_table.clear()
        network.publisher.retain_tables_until = 0
        for proxy, tables in ((0, ["0", "1"]), (1, ["0", "1", "2", "3"])):
            network.planner_host.on_proxy_joined(
                network.proxy_ids.index(f"r{proxy}".encode()), 0, 1.0, False
            )
            self.assertEqual(sorted(network.publisher.version_log.snapshot), tables)


class LossyNetworkTest(unittest.TestCase):
    """Whichever messages are lost, no proxy serves from a table that was not published."""

    def test_proxies_serve_from_published_tables_only_and_end_on_the_intended_version(self):
        """Plays 1,400 random schedules."""
        self.assertGreater(sum(play_schedule(seed) for seed in range(1400)), 200_000)

    def test_schedules_fail_without_the_handling_of_lost_responses_or_answers(self):
        """If either kind of handling is switched off, at least one of 60 schedules fails."""

        def any_schedule_fails():
            try:
                for seed in range(60):
                    play_schedule(seed)
            except AssertionError:
                return True
            return False

        self.assertFalse(any_schedule_fails())
        with unittest.mock.patch.object(Stream, "_on_skipped", lambda *arguments: []):
            self.assertTrue(any_schedule_fails())
        with unittest.mock.patch.object(Stream, "_on_answer_timeout", lambda *arguments: None):
            self.assertTrue(any_schedule_fails())


if __name__ == "__main__":
    unittest.main()
