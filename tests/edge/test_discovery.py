"""Tests of the polls of the endpoint list, against a scripted discovery."""

from support import until
from tornado.locks import Event
from tornado.testing import AsyncTestCase, gen_test

from edge.stand_ins import (
    CODEC,
    EventRecorder,
    ScriptedDiscovery,
    http_response,
    list_answer,
    list_entry,
)
from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.edge.discovery import MAX_REJECTIONS, DiscoveryClient


class DiscoveryClientTest(AsyncTestCase):
    """Answers that are late, old, empty, truncated or missing."""

    def setUp(self):
        """Create records of lists and log lines."""
        super().setUp()
        self.lists = []
        self.log = EventRecorder()

    def start_client(self, discovery, has_servers=False):
        """Start and return a client."""
        client = DiscoveryClient(
            discovery.address, CODEC, self.on_list, self.log, SeededRandom(1), has_servers
        )
        client.start()
        return client

    def on_list(self, answer):
        """Record a list that was accepted."""
        names = [endpoint.name for endpoint in answer.endpoints]
        self.lists.append((answer.version, answer.complete, names))

    @gen_test(timeout=30)
    async def test_an_answer_in_flight_during_an_address_change_is_accepted(self):
        """A change that the former address reports after the address change is handled."""
        written = Event()
        silent = Event()
        former_discovery = ScriptedDiscovery(
            list_answer(list_entry("s-1"), list_entry("s-2")),
            written,
            list_answer(list_entry("s-1", state="DRAINING"), version=2, complete=False),
        )
        new_discovery = ScriptedDiscovery(
            silent, list_answer(list_entry("s-1", state="DRAINING"), list_entry("s-2"), version=2)
        )
        client = self.start_client(former_discovery)
        await until(lambda: len(former_discovery.requested_versions) == 2)
        client.set_address(new_discovery.address)
        await until(lambda: new_discovery.requested_versions)
        written.set()
        await until(lambda: len(self.lists) == 2)
        self.assertEqual(self.lists[1], (2, False, ["s-1"]))
        silent.set()
        await until(lambda: len(self.lists) == 3)
        self.assertEqual(new_discovery.requested_versions[0], None)

    @gen_test(timeout=30)
    async def test_an_older_answer_of_the_former_address_is_ignored(self):
        """A late answer does not undo a newer answer from the new address."""
        written = Event()
        former_discovery = ScriptedDiscovery(
            list_answer(list_entry("s-1")),
            written,
            list_answer(list_entry("s-9"), version=2, complete=False),
        )
        new_discovery = ScriptedDiscovery(
            list_answer(list_entry("s-1"), list_entry("s-2"), version=3)
        )
        client = self.start_client(former_discovery)
        await until(lambda: len(former_discovery.requested_versions) == 2)
        client.set_address(new_discovery.address)
        await until(lambda: len(self.lists) == 2 and len(new_discovery.requested_versions) > 1)
        written.set()
        await until(lambda: len(new_discovery.requested_versions) > 2)
        self.assertEqual(self.lists, [(1, True, ["s-1"]), (3, True, ["s-1", "s-2"])])

    @gen_test(timeout=30)
    async def test_an_older_list_is_accepted_only_after_repeated_requests(self):
        """An old list is requested again; if it is repeated, discovery has restarted."""
        older = list_answer(list_entry("s-1"), version=3)
        discovery = ScriptedDiscovery(
            list_answer(list_entry("s-1"), list_entry("s-2"), version=9),
            older,
            list_answer(list_entry("s-2"), version=9),
            *[older] * (MAX_REJECTIONS + 1),
        )
        client = self.start_client(discovery)
        await until(lambda: self.lists)
        client.fetch()
        await until(lambda: len(self.lists) > 1)
        self.assertEqual(self.lists[1], (9, True, ["s-2"]))
        client.fetch()
        await until(lambda: len(self.lists) > 2)
        # Discovery kept repeating the older list, so it has restarted.
        self.assertEqual(self.lists[2], (3, True, ["s-1"]))
        self.assertEqual(
            [line for line in self.log.lines if "doubted" in line],
            ["endpoint_list_doubted version=3 servers=1"] * (MAX_REJECTIONS + 2),
        )

    @gen_test(timeout=30)
    async def test_an_empty_list_is_accepted_only_if_it_is_repeated(self):
        """An empty list removes no server unless it is repeated."""
        empty = list_answer(version=2)
        discovery = ScriptedDiscovery(empty, list_answer(list_entry("s-1"), version=3))
        self.start_client(discovery, has_servers=True)
        await until(lambda: self.lists)
        self.assertEqual(self.lists, [(3, True, ["s-1"])])
        discovery = ScriptedDiscovery(*[empty] * (MAX_REJECTIONS + 1))
        self.lists.clear()
        self.start_client(discovery, has_servers=True)
        await until(lambda: self.lists)
        self.assertEqual(self.lists, [(2, True, [])])

    @gen_test(timeout=60)
    async def test_failed_polls_are_repeated_from_the_same_version(self):
        """After truncated, empty, malformed and failed responses, no change is missed."""
        valid = http_response(list_answer(list_entry("s-2"), version=2, complete=False))
        head = valid.index(b"\r\n\r\n") + 4
        discovery = ScriptedDiscovery(
            list_answer(list_entry("s-1")),
            b"",
            valid[:10],
            valid[:head],
            valid[:-5],
            b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n",
            http_response({"seq": "x"}),
            [valid[:head], valid[head:-7], valid[-7:]],
        )
        self.start_client(discovery)
        await until(lambda: len(self.lists) == 2, 30)
        self.assertEqual(self.lists, [(1, True, ["s-1"]), (2, False, ["s-2"])])
        self.assertEqual(discovery.requested_versions[:8], [None] + [1] * 7)

    @gen_test(timeout=60)
    async def test_a_silent_poll_times_out_wherever_it_stops(self):
        """A poll times out without a header, without a body, and with a part of the body."""
        valid = http_response(list_answer(list_entry("s-2"), version=2, complete=False))
        discovery = ScriptedDiscovery(
            list_answer(list_entry("s-1")),
            None,
            [valid[: valid.index(b"\r\n\r\n") + 4], None],
            [valid[:-5], None],
            list_answer(list_entry("s-3"), version=3, complete=False),
        )
        self.start_client(discovery)
        await until(lambda: len(self.lists) == 2, 40)
        self.assertEqual(self.lists[1], (3, False, ["s-3"]))
        self.assertEqual(discovery.requested_versions[:5], [None, 1, 1, 1, 1])

    @gen_test(timeout=30)
    async def test_a_fetch_during_a_poll_loses_neither_answer(self):
        """The change is handled, and the whole list follows."""
        written = Event()
        discovery = ScriptedDiscovery(
            list_answer(list_entry("s-1")),
            written,
            list_answer(list_entry("s-1", state="DRAINING"), version=2, complete=False),
            list_answer(list_entry("s-1", state="DRAINING"), list_entry("s-2"), version=3),
        )
        client = self.start_client(discovery)
        await until(lambda: len(discovery.requested_versions) == 2)
        client.fetch()
        written.set()
        await until(lambda: len(self.lists) == 3)
        self.assertEqual([answer[:2] for answer in self.lists], [(1, True), (2, False), (3, True)])
        self.assertEqual(discovery.requested_versions[2], None)
