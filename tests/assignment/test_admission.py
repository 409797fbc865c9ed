"""Admission control: when admission is cut and raised, and for which classes."""

import itertools

from harness import RecordingHost, TraceTestCase

from assignment.scenarios import fleet, zone_bound_host
from indigodeck.assignment.interface import LoadReport
from indigodeck.clock import SECOND


class AdmissionTest(TraceTestCase):
    """Tests of the fleet's admission controller."""

    def test_overload_is_shed_by_priority_weight_and_admitted_again(self):
        """The class with the lowest priority weight is cut; later everything is admitted."""
        host = RecordingHost()
        host.start(fleet())
        host.run(6, lambda host: host.report())
        host.recorded.clear()
        host.run(4, lambda host: host.report(lambda index: 900_000, lambda index: 6, 30, (80, 40)))
        host.run(20, lambda host: host.report(tries=14))
        self.assert_matches_trace("flood", host)

    def test_planner_without_proxies_cuts_no_level(self):
        """Load from other planners' proxies does not cut the levels of proxies that join later."""
        host = RecordingHost()
        host.start(fleet())
        for proxy in range(2):
            host.assigner.on_proxy_left(proxy)
        host.run(12, lambda host: host.report(lambda index: 900_000, lambda index: 6, 30))
        self.assertEqual(host.assigner.admission.fleet.admitted_share, 1.0)
        for proxy in range(2):
            host.assigner.on_proxy_joined(proxy, 0, 50.0, False)
        host.run(6, lambda host: host.report(lambda index: 900_000, lambda index: 6, 30, (80, 40)))
        self.assertLess(host.assigner.admission.fleet.admitted_share, 1.0)

    def test_overload_without_any_answer_cuts_admission(self):
        """If no request completes, this counts as the most severe overload."""
        host = RecordingHost()
        host.start(fleet())
        host.run(8, lambda host: host.report(failed=lambda index: 40, tries=40))
        levels = [line for line in host.recorded if "level" in line and "level 1.00" not in line]
        self.assertTrue(levels)

    def test_admitted_share_rises_by_half_at_most_in_a_step(self):
        """Each raise of the admitted share is limited."""
        host = RecordingHost()
        host.start(fleet())
        host.run(6, lambda host: host.report())
        host.run(
            8, lambda host: host.report(lambda index: 900_000, lambda index: 15, 30, (160, 80))
        )
        host.run(16, lambda host: host.report(tries=6, demand=(12, 8)))
        shares = [
            float(line.split("admitted_share=")[1].split()[0])
            for line in host.recorded
            if "admission_changed" in line
        ]
        self.assertLess(shares[0], 0.6)
        self.assertTrue(
            all(after <= 1.51 * before + 0.01 for before, after in itertools.pairwise(shares)),
            shares,
        )

    def test_a_level_is_cut_again_only_by_reports_begun_after_the_last_cut(self):
        """Reports whose period began before a cut do not cause a second cut."""
        host = RecordingHost()
        span = 5 * SECOND
        cuts = []

        def reports(host):
            # Each second only some servers are reported, as where the rate of reports is limited;
            # from the first cut on the reports are far worse.
            cuts[:] = [
                float(line.split()[0])
                for line in host.recorded
                if "admission_changed zone=None" in line
            ]
            latency = 200_000
            failed = 0
            if host.clock > 10 * SECOND:
                latency = 900_000
                failed = 45 if cuts else 6
            for index in range(host.clock // SECOND % 5, 12, 5):
                host.assigner.on_load_report(LoadReport(0, index, 60, failed, latency, span))

        host.start(fleet())
        host.run(40, reports)
        self.assertGreater(len(cuts), 1)
        self.assertGreater(cuts[1] - cuts[0], span / SECOND)

    def test_failures_with_low_latencies_cut_nothing(self):
        """Failures alone are not a sign of overload."""
        host = RecordingHost()
        host.start(fleet())
        host.run(
            12, lambda host: host.report(failed=lambda index: 6 if host.clock > 6 * SECOND else 0)
        )
        self.assertFalse([line for line in host.recorded if "admission_changed" in line])

    def test_long_requests_are_not_taken_for_overload(self):
        """Latencies that have always been high do not cut admission."""
        host = RecordingHost()
        host.start(fleet())
        host.run(3, lambda host: host.report(lambda index: 380_000))
        host.run(8, lambda host: host.report(lambda index: 455_000))
        self.assertFalse([line for line in host.recorded if "admitted_share=0" in line])

    def test_rising_latencies_are_extrapolated(self):
        """A rise of latencies cuts admission one period ahead."""
        host = RecordingHost()
        host.start(fleet())
        for latency in (200_000, 330_000, 460_000):
            host.run(2, lambda host, latency=latency: host.report(lambda index: latency))
        self.assertTrue([line for line in host.recorded if "admitted_share=0" in line])


class ZoneAdmissionTest(TraceTestCase):
    """Tests of the controllers of zones with zone-bound classes."""

    def test_overload_of_one_zone_does_not_cut_the_other(self):
        """Only the levels of the overloaded zone are cut."""
        host = zone_bound_host()
        host.run(6, lambda host: host.report())
        host.recorded.clear()
        host.run(
            5,
            lambda host: host.report(
                lambda index: 900_000 if index % 2 else 200_000, lambda index: 8 if index % 2 else 0
            ),
        )
        host.recorded = [line for line in host.recorded if "level" in line]
        self.assert_matches_trace("one-zone", host)

    def test_reports_of_few_servers_do_not_cut_a_zone(self):
        """At least half of a zone's servers must have reports."""
        host = zone_bound_host()

        def reports(host):
            host.report(tries=40)
            for index in (1, 3):
                host.assigner.on_load_report(
                    LoadReport(
                        1,
                        index,
                        9,
                        0,
                        900_000 if host.clock > 6 * SECOND else 200_000,
                        SECOND,
                        None,
                    )
                )
            for index in (5, 7, 9, 11):
                host.assigner.state.health[index].reports.clear()

        host.run(12, reports)
        self.assertFalse([line for line in host.recorded if "admission_changed zone=1" in line])
