"""Startup from a stored endpoint list (`planner.cached_endpoint_list`)."""

from harness import SimulatedLoop, TraceTestCase

from indigodeck.clock import SECOND
from indigodeck.planner.cached_endpoint_list import CachedEndpointList
from indigodeck.versions.version_log import DAY


class StubEnvironment(SimulatedLoop):
    """Simulates hosts that answer checks or not, and records the entries in use."""

    def __init__(self, hosts, answering, age=3600, checks_enabled=True, **states):
        super().__init__()
        self.answering = set(answering)
        self.checked = []
        self.used = {}
        entries = [
            {
                "id": name,
                "state": states.get(name, "ready"),
                "weight": 1.0,
                "address": "h",
                "port": 1,
            }
            for name in hosts
        ]
        self.cached_list = CachedEndpointList(
            self,
            {
                "hosts": entries,
                "at": self.wall_clock() - age * SECOND,
                "version": 7,
                "epoch": 0,
                "quiet": [],
            },
            checks_enabled,
        )

    def wall_clock(self):
        """Return a time of day one day ahead of the loop's clock."""
        return self.clock + DAY

    def check_cached_host(self, host):
        """Answer after 50 ms, or time out after a second."""
        self.checked.append(host["id"])
        answers = host["id"] in self.answering
        self.call_later(
            50_000 if answers else SECOND,
            lambda: (
                self.cached_list.on_check_succeeded if answers else self.cached_list.on_check_failed
            )(host["id"]),
        )

    def use_cached_entries(self, hosts, is_first):
        """Record the entries in use by host id."""
        self.used = {**({} if is_first else self.used), **{host["id"]: host for host in hosts}}
        self.log_event(
            "entries in use:" if is_first else "entries added:",
            hosts=",".join(
                f"{host['id']}{'' if host['state'] == 'ready' else ' ' + host['state']}"
                for host in hosts
            ),
        )


class CachedEndpointListTest(TraceTestCase):
    """The cached list with hosts that answer, do not answer, or recover."""

    def test_hosts_that_do_not_answer_are_left_out_and_draining_hosts_stay_draining(self):
        """A host that answers only later counts as newly started."""
        stub = StubEnvironment("abcdefgh", "abcefg", h="draining")
        stub.run(4)
        self.assertEqual(sorted(stub.used), list("abcefgh"))
        self.assertEqual(stub.used["h"]["state"], "draining")
        self.assertNotIn("h", stub.checked)
        stub.answering.add("d")
        stub.run(8)
        self.assertIn("d", stub.used)
        # The host was down in between, so it counts as newly started.
        self.assertGreater(stub.used["d"]["started_ms"], 0)
        self.assertNotIn("started_ms", stub.used["a"])
        self.assert_matches_trace("cached-list", stub)

    def test_nothing_is_used_before_half_of_the_weight_has_answered(self):
        """Otherwise the first few hosts to answer would receive all requests."""
        stub = StubEnvironment(
            [f"h{number:02}" for number in range(80)], [f"h{number:02}" for number in range(30, 80)]
        )
        stub.run(1.1)
        self.assertEqual(stub.used, {})
        stub.run(6)
        self.assertGreaterEqual(len(stub.used), 40)
        self.assertLessEqual(max(stub.checked.count(name) for name in set(stub.checked)), 2)

    def test_a_list_from_the_source_replaces_the_cached_list(self):
        """If it arrives within the first second, no host is checked at all."""
        early, late = StubEnvironment("abc", "abc"), StubEnvironment("abc", "abc")
        early.cached_list.on_newer_list({"a": {}})
        early.run(20)
        self.assertEqual((early.checked, early.recorded), ([], []))
        late.run(3)
        late.cached_list.on_newer_list({"a": {}, "z": {}})
        late.run(20)
        self.assertEqual((len(late.checked), late.cached_list.superseded), (3, True))
        self.assertIn("more=1 fewer=2", late.recorded[-1])

    def test_a_stale_list_adds_hosts_that_answer_and_removes_none(self):
        """Hosts that only the stale list names are checked."""
        stub = StubEnvironment("abc", "abcz")
        stub.run(2)
        stub.cached_list.on_stale_list(
            {
                name: {"id": name, "state": "ready", "address": "h", "port": 2}
                for name in ("a", "y", "z")
            }
        )
        stub.run(4)
        self.assertEqual(sorted(stub.used), list("abcz"))

    def test_without_health_checks_trust_decays_with_age(self):
        """All hosts are used; trust halves in a day."""
        recent, old = (
            StubEnvironment("ab", "", 60, False),
            StubEnvironment("ab", "", 7 * 24 * 3600, False),
        )
        for stub in (recent, old):
            stub.run(2)
            self.assertEqual((sorted(stub.used), stub.checked), (list("ab"), []))
        self.assertGreater(recent.cached_list.trust(), 0.99)
        self.assertLess(old.cached_list.trust(), 0.01)
