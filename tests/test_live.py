"""The planner over sockets on loopback: rude peers, deaf relays, hung hosts, misbehaving planners, whole days."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from support import EXAMPLE, ROOT, Planner, peer, ports, until

from indigodeck.client import MalformedResponseError, RequestRejectedError, Tables, UnreachableError
from indigodeck.client.sasp import SaspClient, table_entry
from indigodeck.clock import now
from indigodeck.frontends.sasp import codec
from indigodeck.testbed import scenario as day
from indigodeck.testbed.discovery_server import DiscoveryServer
from indigodeck.testbed.host_pool import HostPool

HELLO = codec.set_balancer(1, b"raw", 127, True, True, True) + codec.register(
    2, True, [((b"raw", b"reading"), [])]
)


class Sockets(unittest.IsolatedAsyncioTestCase):
    async def test_rude_peers_are_cut_off_with_one_line_and_the_others_do_not_notice(self):
        async with Planner(message_ms=200, message_bytes=4096) as planner:
            tables, client, task = planner.client()
            await until(lambda: ports(tables) == set(range(6)))
            rude = {
                "half a message": HELLO[:20],
                "a huge length": codec.HEADER.pack(0x2010, 13, 1, 1 << 30, 1),
                "version 2": codec.HEADER.pack(0x2010, 13, 2, 17, 1) + bytes(4),
                "rubbish": b"GET / HTTP/1.1\r\n\r\n",
                "an unknown type": codec.message(1, 0x7777),
            }
            for nth, (what, data) in enumerate(rude.items()):
                with self.subTest(what):
                    async with peer(planner.port) as (reader, writer):
                        writer.write(data)
                        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
                        await until(lambda: len(planner.said("cut off")) == nth + 1)
            # Wrong lengths within a whole message are answered with the protocol's code, and the peer goes on.
            async with peer(planner.port) as (reader, writer):
                wrong = bytearray(codec.register(9, True, [((b"raw", b"reading"), [])]))
                wrong[25] = 200
                writer.write(bytes(wrong) + HELLO)
                code, fine = (
                    (await asyncio.wait_for(reader.readexactly(18), 5))[-1],
                    await reader.readexactly(18),
                )
                self.assertEqual((code, fine[-1]), (codec.NOT_UNDERSTOOD, codec.DONE))
            planner.keep(host_2="draining")
            await until(lambda: ports(tables) == {0, 1, 3, 4, 5})
            client.stop()
            await task

    async def test_one_byte_at_a_time_is_slow_and_fine(self):
        async with Planner() as planner, peer(planner.port) as (reader, writer):
            for byte in HELLO:
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(0.001)
            answers = await asyncio.wait_for(reader.readexactly(36), 5)
            self.assertEqual((answers[17], answers[35]), (0, 0))
            pushed = await asyncio.wait_for(reader.readexactly(13), 5)
            self.assertEqual(pushed[:5], bytes.fromhex("2010000d01"))

    async def test_a_relay_that_asks_too_often_waits_and_delays_nobody(self):
        channel = {
            "messages_most": 8,
            "answers_most": 4,
            "messages_span_ms": 500,
            "way_longest_ms": 20,
        }
        async with Planner(channel=channel) as planner:
            tables, client, task = planner.client()
            async with peer(planner.port) as (reader, writer):
                ask = codec.get_weights(3, [(b"raw", b"reading")])
                writer.write(HELLO + ask * 20)
                times = []
                while len(times) < 12:
                    head = await asyncio.wait_for(reader.readexactly(13), 10)
                    await reader.readexactly(int.from_bytes(head[5:9], "big") - 13)
                    times.append(now())
                    if len(times) == 6:
                        planner.keep(host_1="draining")
                        await until(lambda: ports(tables) == {0, 2, 3, 4, 5})
                # No more than eight within the span, whatever is asked: the ninth comes after it.
                self.assertGreaterEqual(min(b - a for a, b in zip(times, times[8:])), 450_000)
            client.stop()
            await task

    async def test_a_deaf_relay_holds_up_nobody_and_ends_on_the_newest_state(self):
        async with Planner(hosts=40, channel={"messages_most": 0}) as planner:
            deaf = socket.socket()
            deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            deaf.connect(("127.0.0.1", planner.port))
            deaf.sendall(HELLO)
            tables, client, task = planner.client()
            await until(lambda: len(ports(tables)) >= 4)
            for nth in range(30):
                planner.keep(**{f"host_{nth}": "draining"})
                await until(lambda: not ports(tables) & set(range(nth + 1)))
            limit = planner.service.desk.settings.channel.max_waiting_lines
            self.assertLess(planner.service.desk.most_waiting, limit)
            held, data = Tables(["reading"], now), b""
            deaf.setblocking(False)
            idle = 0
            while idle < 50 or planner.service.desk.waits(planner.service.relays.index(b"raw")):
                await asyncio.sleep(0.01)
                try:
                    data, idle = data + deaf.recv(65536), 0
                except BlockingIOError:
                    idle += 1
            messages = 0
            while len(data) >= 13:
                whole = int.from_bytes(data[5:9], "big")
                codec.dispatch(data[:whole], Reading(held))
                data, messages = data[whole:], messages + 1
            self.assertLess(messages, 30)
            self.assertEqual(set(held.lines["reading"]), set(tables.lines["reading"]))
            deaf.close()
            client.stop()
            await task

    async def test_a_hung_host_loses_its_share_within_three_periods_and_comes_back_by_ramp(self):
        with open(os.devnull, "w") as nowhere:
            yard = HostPool(now, nowhere, {"reading": 20_000, "setpoint": 20_000})
            async with Planner(
                hosts=0, reports={"period_ms": 1000, "probes_per_s": 60, "probes_at_once": 40}
            ) as planner:
                for nth in range(8):
                    planner.hosts[f"host-{nth}"] = {
                        "port": yard.start(f"host-{nth}", cores=4, slots=8, room=16)
                    }
                planner.service.patience = 800_000
                planner.keep()
                tables, client, task = planner.client()
                hung = ("127.0.0.1", yard.hosts["host-3"].port)
                turns, old = [], planner.service.evidence.turn
                planner.service.evidence.turn = lambda *given: (turns.append(now()), old(*given))
                await until(lambda: hung in tables.lines["reading"] and len(turns) > 2)
                full = tables.lines["reading"][hung]
                yard.hosts["host-3"].hurt("hang")
                begun = len(turns)
                await until(
                    lambda: (
                        hung not in tables.lines["reading"] and hung not in tables.lines["setpoint"]
                    )
                )
                self.assertLessEqual(
                    len(turns) - begun, 4
                )  # the first of them may end a period that began before
                yard.hosts["host-3"].hurt(None)
                await until(lambda: hung in tables.lines["reading"], 30)
                self.assertLess(tables.lines["reading"][hung], full)
                client.stop()
                await task
                for host in yard.hosts.values():
                    await host.shut()

    async def test_the_list_from_a_service_that_pushes_or_is_asked_and_fails_for_a_while(self):
        for asked in (False, True):
            with self.subTest(asked=asked):
                keeper = DiscoveryServer(late=100_000)
                port = keeper.listen()
                hosts = [
                    {
                        "id": f"host-{nth}",
                        "address": "127.0.0.1",
                        "port": 9000 + nth,
                        "state": "ready",
                    }
                    for nth in range(6)
                ]
                keeper.say(hosts)
                planner = Planner()
                planner.document["roster"] = {
                    "service": f"http://127.0.0.1:{port}",
                    "asked": asked,
                    "look_every_ms": 50,
                }
                async with planner:
                    tables, client, task = planner.client()
                    await until(lambda: ports(tables) == set(range(6)))
                    keeper.set(dict(hosts[1], state="draining"))
                    await until(lambda: ports(tables) == {0, 2, 3, 4, 5})
                    keeper.refusing = True
                    await until(
                        lambda: planner.said("list not read") or planner.said("list not followed")
                    )
                    keeper.set(dict(hosts[2], state="gone"))
                    await asyncio.sleep(0.3)
                    self.assertEqual(ports(tables), {0, 2, 3, 4, 5})
                    keeper.refusing = False
                    await until(lambda: 2 not in planner.service.desk.assigner.state.servers, 12)
                    client.stop()
                    await task
                keeper.server.stop()

    async def test_a_stall_is_caught_up_without_a_burst(self):
        async with Planner(channel={"messages_most": 30, "answers_most": 10}) as planner:
            tables, client, task = planner.client()
            await until(lambda: ports(tables) == set(range(6)))
            wrote = planner.service.fronts[0].allowance(b"hall-a/r1").written
            before = len(wrote)
            time.sleep(2)  # the whole loop stands still
            planner.keep(host_0="draining")
            await until(lambda: ports(tables) == set(range(1, 6)))
            self.assertLessEqual(len(wrote) - before, 4)
            client.stop()
            await task


class Reading:
    def __init__(self, tables):
        self.tables = tables

    def answered(self, *_):
        pass

    def sent_weights(self, number, groups):
        for (_, name), entries in groups:
            self.tables.update(name.decode(), [table_entry(entry) for entry in entries])


class Clients(unittest.IsolatedAsyncioTestCase):
    async def test_it_survives_planners_that_stall_lie_and_restart(self):
        table = [
            (
                (b"r", b"reading"),
                [codec.Entry(codec.Member.at("127.0.0.1", 9001), 7, codec.CONFIDENT)],
            )
        ]
        good = codec.answer(1, codec.BALANCER_SET, 0) + codec.answer(2, codec.REGISTERED, 0)
        half = codec.send_weights(
            9,
            [
                (
                    (b"r", b"reading"),
                    [codec.Entry(codec.Member.at("127.0.0.1", 9002), 7, codec.CONFIDENT)],
                )
            ],
        )
        says = [
            good + codec.send_weights(9, table),
            good + half[:30],
            b"",
            b"nonsense, at length, in place of a header",
            codec.answer(1, codec.BALANCER_SET, codec.NOT_ACCEPTED),
            codec.answer(77, codec.REGISTERED, 0),
            good + codec.send_weights(9, [((b"r", b"other"), table[0][1])]),
            good + codec.send_weights(9, table),
        ]
        errors, calls, held = [], [], []

        async def planner(reader, writer):
            calls.append(now())
            said = says[len(calls) - 1] if len(calls) <= len(says) else says[-1]
            writer.write(said)
            if len(calls) in (1, 7):
                await asyncio.sleep(0.1)
                writer.close()  # it restarts
            else:
                await reader.read()
                writer.close()

        server = await asyncio.start_server(planner, "127.0.0.1", 0)
        tables = Tables(["reading"], now)
        client = SaspClient(
            "r",
            [server.sockets[0].getsockname()[:2]],
            tables,
            response_timeout=0.3,
            connection_lost=lambda error: (
                errors.append(type(error)),
                held.append(dict(tables.lines["reading"])),
            ),
        )
        client.backoff.first_delay, client.backoff.max_delay = 10_000, 40_000
        task = asyncio.get_running_loop().create_task(client.run())
        await until(lambda: len(calls) >= 8)
        self.assertEqual(
            errors[:7],
            [
                UnreachableError,
                UnreachableError,
                UnreachableError,
                MalformedResponseError,
                RequestRejectedError,
                MalformedResponseError,
                UnreachableError,
            ],
        )
        # Whatever came after it, the table that was given once is kept, and its age is known.
        self.assertEqual(held, [{("127.0.0.1", 9001): 7}] * len(held))
        self.assertGreater(tables.age("reading"), 0)
        client.stop()
        await task
        server.close()


class Commands(unittest.TestCase):
    def run_command(self, *words, **more):
        return subprocess.run(
            [sys.executable, "-m", "indigodeck", *words],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
            **more,
        )

    def test_check_names_places_and_exit_codes(self):
        self.assertEqual(
            self.run_command(
                "check", "examples/charter.json", "examples/roster.json", "examples/bad-day.json"
            ).returncode,
            0,
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "day.json"
            path.write_text(
                json.dumps(dict(EXAMPLE, troubles=[{"at": 1, "kind": "flood"}], colour=1))
            )
            done = self.run_command("check", str(path))
            self.assertEqual(done.returncode, 1)
            self.assertIn("troubles/0/kind: 'flood' is not one of", done.stdout)
            self.assertIn("'colour' was unexpected", done.stdout)
            path.write_text("{")
            self.assertEqual(self.run_command("serve", "--charter", str(path)).returncode, 2)

    def test_serve_says_where_it_listens_weights_asks_it_and_sigterm_ends_it(self):
        with tempfile.TemporaryDirectory() as folder:
            charter = json.loads((ROOT / "examples/charter.json").read_text())
            charter["fronts"]["sasp"]["port"] = 0
            (pathlib.Path(folder) / "charter.json").write_text(json.dumps(charter))
            (pathlib.Path(folder) / "roster.json").write_text(
                (ROOT / "examples/roster.json").read_text()
            )
            serve = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "indigodeck",
                    "serve",
                    "--charter",
                    folder + "/charter.json",
                ],
                stdout=subprocess.PIPE,
                text=True,
                cwd=ROOT,
            )
            try:
                lines = iter(serve.stdout.readline, "")
                told = next(line for line in map(json.loads, lines) if line["event"] == "listening")
                self.assertEqual(told["front"], "sasp")
                asked = self.run_command(
                    "weights", f"127.0.0.1:{told['port']}", "--class", "reading", "--format", "json"
                )
                shares = json.loads(asked.stdout)["reading"]
                self.assertGreaterEqual(len(shares), 4)
                self.assertAlmostEqual(sum(shares.values()), 1, places=3)
                serve.send_signal(signal.SIGTERM)
                self.assertEqual(serve.wait(10), 0)
            finally:
                serve.kill()
                serve.stdout.close()
                serve.wait()
            self.assertEqual(
                self.run_command(
                    "weights", f"127.0.0.1:{told['port']}", "--class", "reading"
                ).returncode,
                3,
            )


class Days(unittest.TestCase):
    def play(self, script):
        self.assertEqual(day.check(script), [])
        (result,) = asyncio.run(day.run(script))
        return result, [rule["rule"] for rule in result["rules"] if not rule["kept"]]

    def test_drains_amid_joins_cold_hosts_and_a_planner_killed_between_waves(self):
        # The kind of trouble of day h8334b8: relays near their message limit while others' drains are due.
        result, broken = self.play(json.loads((ROOT / "examples/drains-day.json").read_text()))
        self.assertEqual(broken, [], day.printed(result))
        self.assertGreater(result["service"]["whole"], 0.8, day.printed(result))

    def test_a_whole_hall_is_cold_and_the_planner_starts_in_the_middle_of_it(self):
        script = json.loads((ROOT / "examples/drains-day.json").read_text())
        script.update(
            seconds=10,
            troubles=[
                {
                    "at": 1,
                    "kind": "deploy",
                    "hall": "hall-b",
                    "part": 1.0,
                    "size": 1.0,
                    "seconds": 1,
                },
                {"at": 2.5, "kind": "planner_killed", "size": 0.2},
            ],
        )
        result, broken = self.play(script)
        self.assertEqual(broken, [], day.printed(result))

    def test_relays_that_ignore_drains_and_repeat_effects_are_called(self):
        script = json.loads((ROOT / "examples/drains-day.json").read_text())
        script.update(
            seconds=12,
            troubles=[
                {"at": 1, "kind": "shrink", "part": 0.5, "size": 1.0, "seconds": 1},
                {"at": 2, "kind": "errors", "part": 0.5, "size": 1.0, "seconds": 9},
            ],
        )
        script["relays"].update(
            unruly={"hall-a/relay-0": "keeps", "hall-b/relay-1": "repeats"}, retries=0
        )
        result, broken = self.play(script)
        self.assertEqual(broken, ["no effect twice", "drains kept"], day.printed(result))
        self.assertEqual(
            {case["who"] for rule in result["rules"] for case in rule["cases"]},
            {"hall-a/relay-0", "hall-b/relay-1"},
        )


if __name__ == "__main__":
    unittest.main()
