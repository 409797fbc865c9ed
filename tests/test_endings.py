"""Paths that end something, over real sockets, with the crossing forced: a stand-in holds the byte, the answer or the signal
until the other side has happened. What is owed at each, and who pays it, stands in docs/edge.md.
"""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import unittest.mock

from rig import SECOND
from support import until
from test_edge import (
    CHARTER,
    HELLO,
    OUTCOMES,
    STATED,
    WORDS,
    Environment,
    Held,
    Script,
    Told,
    catalog,
    entry,
)
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.iostream import StreamClosedError
from tornado.locks import Event
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer
from tornado.testing import AsyncTestCase, bind_unused_port, gen_test

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.clock import now
from indigodeck.edge import codec, dialling, listener, relay_client
from indigodeck.edge.assigner_host import Desk
from indigodeck.edge.discovery import DOUBTS, Discovery
from indigodeck.edge.membership import Membership
from indigodeck.edge.outbox import Outbox
from indigodeck.settings import settings_from_object


def listing(*entries, version=1, whole=True):
    return {"seq": version, "whole": whole, "hosts": list(entries)}


def http(given):
    body = json.dumps(given).encode()
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        % len(body)
        + body
    )


class Registry(TCPServer):
    """Discovery as a script. Each question takes the next of `answers`: an object, bytes or a list of such pieces that end the
    connection, an `Event` to wait for before the answer after it, or None, as a piece too, for silence; with none left, nothing
    is new.
    """

    def __init__(self, *answers):
        super().__init__()
        self.answers, self.asked = list(answers), []
        sockets = bind_sockets(0, "127.0.0.1")
        self.add_sockets(sockets)
        self.place = sockets[0].getsockname()[:2]

    async def handle_stream(self, stream, address):
        try:
            request = await stream.read_until(b"\r\n\r\n")
            after = request.split(b" ")[1].partition(b"after=")[2].partition(b"&")[0]
            self.asked.append(int(after) if after else None)
            answer = (
                self.answers.pop(0)
                if self.answers
                else listing(version=self.asked[-1] or 1, whole=not after)
            )
            while isinstance(answer, Event):
                await answer.wait()
                answer = self.answers.pop(0)
            for piece in answer if isinstance(answer, list) else [answer]:
                if piece is None:
                    await stream.read_until_close()
                await stream.write(piece if isinstance(piece, bytes) else http(piece))
            stream.close()
        except StreamClosedError:
            pass


class Holding(Script):
    """A relay that holds its answers while `held_back` is set to an event."""

    def __init__(self):
        super().__init__()
        self.held_back = None

    async def handle_stream(self, stream, address):
        write = stream.write

        async def late(data):
            if self.held_back is not None and b"accepted" in data:
                await self.held_back.wait()
            await write(data)

        stream.write = late
        await super().handle_stream(stream, address)


class Watches(AsyncTestCase):
    """discovery.py against a scripted address."""

    def setUp(self):
        super().setUp()
        self.told, self.noted = [], []

    def watched(self, registry, filled=False):
        made = Discovery(
            registry.place, WORDS, self.heard, self.noted.append, SeededRandom(1), filled
        )
        made.start()
        return made

    def heard(self, found):
        self.told.append((found.version, found.whole, [server.name for server in found.entries]))

    @gen_test(timeout=30)
    async def test_an_answer_on_its_way_when_the_address_moves_counts_as_told(self):
        written, silent = Event(), Event()
        old = Registry(
            listing(entry("s-1"), entry("s-2")),
            written,
            listing(entry("s-1", health="DRAINING"), version=2, whole=False),
        )
        new = Registry(silent, listing(entry("s-1", health="DRAINING"), entry("s-2"), version=2))
        made = self.watched(old)
        await until(lambda: len(old.asked) == 2)
        made.move(new.place)
        await until(lambda: new.asked)
        written.set()
        await until(lambda: len(self.told) == 2)
        self.assertEqual(self.told[1], (2, False, ["s-1"]))
        silent.set()
        await until(lambda: len(self.told) == 3)
        self.assertEqual(new.asked[0], None)

    @gen_test(timeout=30)
    async def test_an_older_answer_of_the_former_address_changes_nothing(self):
        written = Event()
        old = Registry(
            listing(entry("s-1")), written, listing(entry("s-9"), version=2, whole=False)
        )
        new = Registry(listing(entry("s-1"), entry("s-2"), version=3))
        made = self.watched(old)
        await until(lambda: len(old.asked) == 2)
        made.move(new.place)
        await until(lambda: len(self.told) == 2 and len(new.asked) > 1)
        written.set()
        await until(lambda: len(new.asked) > 2)
        self.assertEqual(self.told, [(1, True, ["s-1"]), (3, True, ["s-1", "s-2"])])

    @gen_test(timeout=30)
    async def test_a_list_that_turns_back_is_asked_for_again_and_believed_in_the_end(self):
        older = listing(entry("s-1"), version=3)
        registry = Registry(
            listing(entry("s-1"), entry("s-2"), version=9),
            older,
            listing(entry("s-2"), version=9),
            *[older] * (DOUBTS + 1),
        )
        made = self.watched(registry)
        await until(lambda: self.told)
        made.fetch()
        await until(lambda: len(self.told) > 1)
        self.assertEqual(self.told[1], (9, True, ["s-2"]))
        made.fetch()
        await until(lambda: len(self.told) > 2)
        self.assertEqual(
            self.told[2], (3, True, ["s-1"])
        )  # it says so again and again: it has begun anew
        self.assertEqual(
            [note for note in self.noted if "in doubt" in note],
            ["a list in doubt: version 3, 1 servers"] * (DOUBTS + 2),
        )

    @gen_test(timeout=30)
    async def test_an_empty_list_takes_no_server_away_unless_it_lasts(self):
        empty = listing(version=2)
        registry = Registry(empty, listing(entry("s-1"), version=3))
        self.watched(registry, filled=True)
        await until(lambda: self.told)
        self.assertEqual(self.told, [(3, True, ["s-1"])])
        registry = Registry(*[empty] * (DOUBTS + 1))
        self.told.clear()
        self.watched(registry, filled=True)
        await until(lambda: self.told)
        self.assertEqual(self.told, [(2, True, [])])

    @gen_test(timeout=60)
    async def test_watches_that_die_in_any_way_are_begun_again_from_where_they_were(self):
        sound = http(listing(entry("s-2"), version=2, whole=False))
        head = sound.index(b"\r\n\r\n") + 4
        registry = Registry(
            listing(entry("s-1")),
            b"",
            sound[:10],
            sound[:head],
            sound[:-5],
            b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n",
            http({"seq": "x"}),
            [sound[:head], sound[head:-7], sound[-7:]],
        )
        self.watched(registry)
        await until(lambda: len(self.told) == 2, 30)
        self.assertEqual(self.told, [(1, True, ["s-1"]), (2, False, ["s-2"])])
        self.assertEqual(registry.asked[:8], [None] + [1] * 7)

    @gen_test(timeout=60)
    async def test_silence_before_and_after_the_header_ends(self):
        sound = http(listing(entry("s-2"), version=2, whole=False))
        registry = Registry(
            listing(entry("s-1")),
            None,
            [sound[: sound.index(b"\r\n\r\n") + 4], None],
            [sound[:-5], None],
            listing(entry("s-3"), version=3, whole=False),
        )
        self.watched(registry)
        await until(lambda: len(self.told) == 2, 40)
        self.assertEqual(self.told[1], (3, False, ["s-3"]))
        self.assertEqual(registry.asked[:5], [None, 1, 1, 1, 1])

    @gen_test(timeout=30)
    async def test_the_whole_list_asked_for_while_a_change_is_under_way_loses_neither(self):
        written = Event()
        registry = Registry(
            listing(entry("s-1")),
            written,
            listing(entry("s-1", health="DRAINING"), version=2, whole=False),
            listing(entry("s-1", health="DRAINING"), entry("s-2"), version=3),
        )
        made = self.watched(registry)
        await until(lambda: len(registry.asked) == 2)
        made.fetch()
        written.set()
        await until(lambda: len(self.told) == 3)
        self.assertEqual([told[:2] for told in self.told], [(1, True), (2, False), (3, True)])
        self.assertEqual(registry.asked[2], None)


class Connections(AsyncTestCase):
    """What ends on the way to the relay and at the planner's own address."""

    def setUp(self):
        super().setUp()
        self.noted = []

    def linked(self, script):
        self.relay, told = Outbox(now, self.noted.append), Told()
        made = relay_client.RelayClient(
            self.relay, Membership(told, now), told, WORDS, now, self.noted.append, SeededRandom(1)
        )
        made.start(script.listen_somewhere())
        return made, told

    def pinging(self, *scripts):
        """Signs of life on every connection for news, or silence would end them."""

        def ping():
            for stream in [
                stream for script in scripts for stream in script.news if not stream.closed()
            ]:
                IOLoop.current().add_callback(Script.say, stream, "ping", {})

        pings = PeriodicCallback(ping, 200)
        pings.start()
        self.addCleanup(pings.stop)

    async def settled(self):
        await until(lambda: self.relay.wait() is None and self.relay.under_way is None)

    @gen_test(timeout=30)
    async def test_what_comes_together_with_a_time_out_has_come(self):
        accepting, port = bind_unused_port()
        stream = await dialling.dial(("127.0.0.1", port), SECOND)
        other, _ = accepting.accept()
        waiting = asyncio.ensure_future(dialling.next_line(stream, 20_000))
        await dialling.sleep(0)
        other.sendall(b"answer\n")
        end = time.monotonic() + 0.1
        while time.monotonic() < end:
            pass  # a stall of this program: the answer and the time-out are found at once
        self.assertEqual(await waiting, b"answer\n")
        other.close()
        accepting.close()

    @gen_test(timeout=30)
    async def test_a_call_that_never_passes_is_written_slower_each_time(self):
        script = Script(["not done, broken"] * 4)
        made, _ = self.linked(script)
        self.relay.order([WORDS.put(0, "s-1", 1.0)])
        made.wanted()
        await until(lambda: len(script.calls) == 4)
        self.assertGreaterEqual(made.calls.pauses.pause, 8 * dialling.PAUSE)
        await self.settled()
        self.assertEqual(made.calls.pauses.pause, dialling.PAUSE)

    @gen_test(timeout=60)
    async def test_a_call_cut_early_in_the_middle_or_at_its_end_is_sent_again_and_its_orders_stand_once(
        self,
    ):
        script = Script()
        made, _ = self.linked(script)
        cut, whole_line = [], len(codec.call(1, "commit", {"ops": [WORDS.put(0, "s-1", 10.0)]}))

        async def cutting(stream, address):
            if not cut:
                return await Script.handle_stream(script, stream, address)
            try:
                await stream.read_bytes(cut.pop())
            except StreamClosedError:
                pass
            stream.close()

        script.handle_stream = cutting
        await until(lambda: len(script.news) == 2)
        for place, length in enumerate(
            [1, 2, whole_line // 3, whole_line // 2, whole_line - 2, whole_line - 1]
        ):
            made.calls.used_at = 0  # as after a rest: the next call dials
            cut.append(length)
            self.relay.order([WORDS.put(0, "s-1", 10.0 + place)])
            made.wanted()
            await self.settled()
            self.assertEqual(script.held.tables, {0: {"s-1": 10.0 + place}})
        self.assertEqual(self.relay.unknown, 6)

    @gen_test(timeout=30)
    async def test_a_move_while_an_answer_is_out_neither_loses_nor_repeats_the_call(self):
        first, second = Holding(), Script()
        first.held_back = released = Event()
        made, _ = self.linked(first)
        place = second.listen_somewhere()
        self.relay.order([WORDS.put(0, "s-1", 1.0)])
        made.wanted()
        await until(lambda: first.calls)
        made.move(place)
        self.relay.order([WORDS.put(0, "s-2", 2.0)])
        made.wanted()
        await until(lambda: second.news)
        released.set()
        await self.settled()
        self.assertEqual([len(first.calls), len(second.calls)], [1, 1])
        self.assertEqual([order["server"] for order in second.calls[0]["params"]["ops"]], ["s-2"])

    @gen_test(timeout=30)
    async def test_a_connection_closed_as_the_next_call_is_written_loses_nothing(self):
        script = Script()
        made, _ = self.linked(script)
        await until(lambda: len(script.news) == 2)
        for place in range(5):
            made.calls.used_at = now()
            self.relay.order([WORDS.put(0, "s-1", 1.0 + place)])
            made.wanted()
            await self.settled()
            for stream in script.lines:
                if stream not in script.news:
                    stream.close()  # idle, says the relay; the next call may already be on its way
        self.assertEqual(script.held.tables, {0: {"s-1": 5.0}})

    @gen_test(timeout=60)
    async def test_moves_to_and_fro_leave_no_connection_behind(self):
        first, second = Script(), Script()
        made, told = self.linked(first)
        self.pinging(first, second)
        place, other = made.calls.place, second.listen_somewhere()
        for turn in range(6):
            await until(
                lambda: any(
                    made.membership.has_whole(subscription) for subscription in made.subscriptions
                )
            )
            made.move(other if turn % 2 == 0 else place)
        await until(
            lambda: all(
                made.membership.has_whole(subscription) for subscription in made.subscriptions
            )
        )
        for script, most in ((first, 2), (second, 0)):
            await until(
                lambda: len([stream for stream in script.news if not stream.closed()]) == most
            )
        self.assertEqual(len(made.membership.views), 2)
        self.assertEqual(told.said, [("joined", proxy) for proxy in range(4)])

    @gen_test(timeout=60)
    async def test_a_connection_that_comes_up_after_its_successors_are_whole_is_given_up(self):
        first, second, released, held = Script(), Script(), Event(), []
        made, told = self.linked(first)
        await until(lambda: len(first.news) == 2)
        dial, place = relay_client.dial, made.calls.place

        async def late(where, patience):
            stream = await dial(where, patience)
            if where == place:
                held.append(stream)
                await released.wait()
            return stream

        self.pinging(first, second)
        with unittest.mock.patch.object(relay_client, "dial", late):
            first.news[0].close()
            await until(lambda: held)
            made.move(second.listen_somewhere())
            await until(
                lambda: all(
                    made.membership.has_whole(subscription) for subscription in made.subscriptions
                )
            )
            await until(lambda: not made.former)
            released.set()
            await until(lambda: held[0].closed())
        self.assertEqual(len(held), 1)
        self.assertEqual(len(first.news), 2)  # it asked for no news any more
        self.assertEqual(len(made.membership.views), 2)

    @gen_test(timeout=30)
    async def test_a_collector_that_gives_way_in_the_middle_of_a_report_takes_nothing_with_it(self):
        told = Told()
        made = listener.Listener(told, WORDS, now, 128)
        sockets = bind_sockets(0, "127.0.0.1")
        made.add_sockets(sockets)
        line, callers = codec.pack(OUTCOMES) + b"\n", []
        for number in range(listener.COLLECTORS_MOST + 1):
            stream = await dialling.dial(sockets[0].getsockname()[:2], SECOND)
            await stream.write(b'{"type":"agent","zone":"a"}\n' + line + line[:40])
            await until(lambda: len(told.reports) == number + 1)
            callers.append(stream)
        self.assertEqual(await dialling.within(10 * SECOND, callers[0].read_until_close()), b"")
        for stream in callers[1:]:
            await stream.write(line[40:])
        await until(lambda: len(told.reports) == 2 * len(callers) - 1)
        self.assertEqual(made.passed_over, 0)


class Program(AsyncTestCase):
    """The program as the platform starts it, with signals into the middle of things."""

    def setUp(self):
        super().setUp()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = pathlib.Path(self.folder.name) / "config.json"
        accepting, self.port = bind_unused_port()
        accepting.close()

    def configuration(self, registry, relay, **changes):
        return json.dumps(
            dict(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": "%s:%d" % registry.place,
                    "seed": "8c1f",
                    "limits": {"sockets": 256},
                    "registry": {"address": "%s:%d" % relay},
                    "known": listing(entry("s-1"), entry("s-2")),
                    "settings": STATED,
                },
                **changes,
            )
        )

    def begin(self):
        self.log = open(pathlib.Path(self.folder.name) / "log", "w+b")
        program = subprocess.Popen(
            [sys.executable, "-m", "indigodeck", "edge"],
            env=dict(os.environ, EDGE_CONFIG=str(self.path)),
            stderr=self.log,
        )
        self.addCleanup(self.log.close)
        self.addCleanup(program.wait)
        self.addCleanup(program.kill)
        return program

    def logged(self):
        return pathlib.Path(self.log.name).read_text()

    @gen_test(timeout=60)
    async def test_a_drain_that_waits_behind_a_call_is_sent_before_the_program_ends(self):
        told, relay = Event(), Holding()
        registry = Registry(
            listing(entry("s-1"), entry("s-2")),
            told,
            listing(entry("s-1", health="DRAINING"), version=2, whole=False),
        )
        place = relay.listen_somewhere()
        self.path.write_text(self.configuration(registry, place))
        program = self.begin()
        await until(lambda: relay.held.bound and len(registry.asked) == 2, 20)
        relay.held_back, before = Event(), len(relay.calls)
        await relay.say(
            relay.news[0], "hello", dict(HELLO, proxy=5)
        )  # a joining, so that a call is under way
        relay.held.joined.add(5)
        await until(lambda: len(relay.calls) > before, 20)
        told.set()
        await until(
            lambda: len(registry.asked) > 2, 20
        )  # the drain was read; its order waits behind that call
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGTERM)
        await until(lambda: "told to end" in self.logged(), 20)
        relay.held_back.set()
        relay.held_back = None
        await until(lambda: program.poll() is not None, 20)
        self.assertEqual((program.returncode, relay.held.out), (0, {"s-1"}))

    @gen_test(timeout=60)
    async def test_it_ends_in_time_beside_a_relay_that_turns_calls_away(self):
        relay = Script()
        relay.held.carry_out = lambda line: codec.pack(
            {"id": json.loads(line)["id"], "error": {"message": "throttled"}}
        )
        self.path.write_text(self.configuration(Registry(), relay.listen_somewhere()))
        program = self.begin()
        await until(lambda: len(relay.calls) > 1, 20)
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGHUP)
        await until(lambda: program.poll() is not None, 20)
        self.assertEqual(program.returncode, 0)
        self.assertIn("orders are left", self.logged())

    @gen_test(timeout=60)
    async def test_a_signal_before_the_program_can_look_is_not_lost_and_ends_nothing(self):
        relays = [Script(), Script()]
        places = [relay.listen_somewhere() for relay in relays]
        os.mkfifo(self.path)  # reading it waits until it is written

        def write(place):
            try:
                file = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:  # nobody reads yet
                return False
            if place == 0:
                program.send_signal(signal.SIGHUP)
            os.write(file, self.configuration(registry, places[place]).encode())
            os.close(file)
            return True

        registry = Registry()
        program = self.begin()
        await until(lambda: write(0), 20)
        await until(lambda: "listens" in self.logged(), 20)  # the first has been read to its end
        await until(lambda: write(1), 20)
        await until(lambda: relays[1].held.bound, 20)
        self.assertIsNone(program.poll())

    @gen_test(timeout=60)
    async def test_a_configuration_of_another_planner_or_with_other_settings_changes_no_table(self):
        relays, registry = (
            [Script(), Script(), Script()],
            Registry(listing(entry("s-1"), entry("s-2"))),
        )
        places = [relay.listen_somewhere() for relay in relays]
        self.path.write_text(self.configuration(registry, places[0]))
        program = self.begin()
        await until(lambda: relays[0].held.bound, 20)
        self.path.write_text(self.configuration(registry, places[1], name="n7"))
        program.send_signal(signal.SIGHUP)
        await until(lambda: "stays as it was" in self.logged(), 20)
        other = dict(
            STATED, classes=[dict(kind, name=f"other {kind['name']}") for kind in STATED["classes"]]
        )
        self.path.write_text(self.configuration(registry, places[2], settings=other))
        program.send_signal(signal.SIGHUP)
        await until(lambda: relays[2].news, 20)
        relays[2].held.joined.add(6)
        await relays[2].say(relays[2].news[0], "hello", dict(HELLO, proxy=6))
        await until(lambda: relays[2].held.bound, 20)
        self.assertFalse(relays[1].news)
        self.assertEqual(
            registry.asked.count(None), 1
        )  # that address is the same, so its watch goes on
        named = {
            route
            for call in relays[2].calls
            for order in call["params"]["ops"]
            for route in order.get("routes", ())
        }
        self.assertLessEqual(named, {kind["name"] for kind in STATED["classes"]})


class OneProcess(unittest.TestCase):
    """Two deployments in one process, and one after the other, decide as each alone does."""

    OTHER = dict(
        STATED,
        zones=["x", "b", "c"],
        hostTypes=["m2", "m9"],
        classes=[
            dict(kind, name=f"{kind['name']}-2", deadlineMs=9000)
            for kind in reversed(STATED["classes"])
        ],
        domain=dict(STATED["domain"], proxies=40),
    )

    def play(self, *deployments):
        """Plays all of them step by step in turn; the orders of each."""
        made = []
        for stated in deployments:
            charter, outside = settings_from_object(stated), Environment()
            words, relay = codec.MessageCodec(charter), Outbox(outside.now, outside.note)
            made.append((stated, words, outside, relay, Desk(outside, words, relay, charter, 7)))
        ordered = [[] for _ in made]
        for turn in range(12):
            for (stated, words, outside, relay, desk), said in zip(made, ordered):
                zones, kinds = stated["zones"], stated["hostTypes"]
                hosts = [
                    dict(
                        entry(f"s-{number}", zone=zones[number % len(zones)]),
                        **{"class": kinds[number % len(kinds)]},
                    )
                    for number in range(turn, 9 + turn)
                ]
                desk.listed(words.catalog(listing(*hosts, version=turn)), cached=turn == 0)
                desk.proxy_joined(turn, turn % len(zones), 5.0, True)
                for number in range(9):
                    desk.heard(
                        0,
                        f"s-{number + turn}",
                        40,
                        30 if number == turn % 3 else 0,
                        90_000,
                        SECOND,
                        None,
                    )
                outside.run(1)
                while relay.wait() is not None:
                    call = json.loads(relay.call())
                    said.append(call["params"]["ops"])
                    relay.answered(Held.answer(call, len(call["params"]["ops"])))
        return ordered

    def test_in_any_order_and_side_by_side(self):
        alone = [self.play(stated)[0] for stated in (STATED, self.OTHER)]
        self.assertNotEqual(*alone)
        self.assertEqual(self.play(self.OTHER, STATED), alone[::-1])
        self.assertEqual(self.play(STATED, self.OTHER, STATED), alone + alone[:1])


class OneDesk(unittest.TestCase):
    def setUp(self):
        self.outside = Environment()
        self.relay = Outbox(self.outside.now, self.outside.note)
        self.desk = Desk(self.outside, WORDS, self.relay, CHARTER, 7)

    def test_a_probe_of_a_former_process_says_nothing_of_the_one_there_now(self):
        asked, told = [], []
        self.outside.probe = lambda handed, dial: asked.append(handed)
        self.desk.listed(catalog(entry("s-1", born=5000)), cached=True)
        self.desk.check_health(0)
        self.desk.listed(catalog(entry("s-1", born=9000), version=2))
        self.desk.assigner.on_health_check = lambda *found: told.append(found)
        self.desk.check_health(0)
        self.desk.probed(asked[0], "silent", 500_000, None)
        self.assertEqual(told, [])
        self.desk.probed(asked[1], "ok", 100, None)
        self.assertEqual(told, [(0, "ok", 100, None)])

    def test_what_is_gone_before_it_was_known_leaves_nothing_behind(self):
        self.desk.listed(catalog(entry("s-1")), cached=True)
        self.desk.listed(
            catalog(
                *[entry(f"s-{number}", health="DELETED") for number in range(2, 50)],
                version=2,
                whole=False,
            )
        )
        self.assertEqual(sorted(self.desk.index_of), ["s-1"])
        self.assertEqual(len(self.desk.servers), 1)
