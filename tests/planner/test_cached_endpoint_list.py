"""Starting from a stored endpoint list (`planner.cached_endpoint_list`)."""

from harness import SimulatedLoop, TraceTestCase

from indigodeck.clock import SECOND
from indigodeck.planner.cached_endpoint_list import CachedEndpointList
from indigodeck.versions.version_log import DAY


class StubEnvironment(SimulatedLoop):
    """Hosts that answer or not; prints what is gone by."""

    def __init__(self, hosts, there, age=3600, checks_enabled=True, **states):
        super().__init__()
        self.answering = set(there)
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
        """Return a time of day, a day ahead of the loop's clock."""
        return self.clock + DAY

    def check_cached_host(self, host):
        """Answer after 50 ms, or let a second pass without an answer."""
        self.checked.append(host["id"])
        there = host["id"] in self.answering
        self.call_later(
            50_000 if there else SECOND,
            lambda: (self.cached_list.on_answer if there else self.cached_list.on_no_answer)(
                host["id"]
            ),
        )

    def use_cached_entries(self, hosts, fresh):
        """Keep what is used by id."""
        self.used = {**({} if fresh else self.used), **{host["id"]: host for host in hosts}}
        self.log_event(
            "goes by" if fresh else "and",
            hosts=",".join(
                f"{host['id']}{'' if host['state'] == 'ready' else ' ' + host['state']}"
                for host in hosts
            ),
        )


class CachedEndpointListTest(TraceTestCase):
    """The cached list against hosts that answer, are silent, or come back."""

    def test_hosts_that_do_not_answer_are_left_out_and_drains_stay_drains(self):
        """A host that answers later counts as one that has just started."""
        stub = StubEnvironment("abcdefgh", "abcefg", h="draining")
        stub.run(4)
        self.assertEqual(sorted(stub.used), list("abcefgh"))
        self.assertEqual(stub.used["h"]["state"], "draining")
        self.assertNotIn("h", stub.checked)
        stub.answering.add("d")
        stub.run(8)
        self.assertIn("d", stub.used)
        self.assertGreater(stub.used["d"]["started_ms"], 0)  # not there a moment ago: cold
        self.assertNotIn("started_ms", stub.used["a"])
        self.compare("cached-list", stub)

    def test_the_first_few_to_answer_do_not_get_the_load_of_all(self):
        """Nothing is used before half of the weight has answered."""
        stub = StubEnvironment(
            [f"h{nth:02}" for nth in range(80)], [f"h{nth:02}" for nth in range(30, 80)]
        )
        stub.run(1.1)
        self.assertEqual(stub.used, {})
        stub.run(6)
        self.assertGreaterEqual(len(stub.used), 40)
        self.assertLessEqual(max(stub.checked.count(name) for name in set(stub.checked)), 2)

    def test_a_list_in_time_is_all_that_counts_and_a_late_one_supersedes(self):
        """Within the first second no host is checked at all."""
        early, late = StubEnvironment("abc", "abc"), StubEnvironment("abc", "abc")
        early.cached_list.on_list({"a": {}})
        early.run(20)
        self.assertEqual((early.checked, early.printed), ([], []))
        late.run(3)
        late.cached_list.on_list({"a": {}, "z": {}})
        late.run(20)
        self.assertEqual((len(late.checked), late.cached_list.superseded), (3, True))
        self.assertIn("more=1 fewer=2", late.printed[-1])

    def test_a_stale_list_adds_who_answers_and_takes_nobody_away(self):
        """What it names beyond the cached list is checked."""
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

    def test_without_health_checks_trust_goes_by_age(self):
        """All hosts are used; trust halves in a day."""
        young, old = (
            StubEnvironment("ab", "", 60, False),
            StubEnvironment("ab", "", 7 * 24 * 3600, False),
        )
        for stub in (young, old):
            stub.run(2)
            self.assertEqual((sorted(stub.used), stub.checked), (list("ab"), []))
        self.assertGreater(young.cached_list.trust(), 0.99)
        self.assertLess(old.cached_list.trust(), 0.01)
