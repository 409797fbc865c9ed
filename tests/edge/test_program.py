"""Tests of the program as the platform starts it, on loopback, with signals at critical moments."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

from harness import SECOND
from support import until
from tornado.httpserver import HTTPServer
from tornado.locks import Event
from tornado.netutil import bind_sockets
from tornado.testing import AsyncTestCase, bind_unused_port, gen_test
from tornado.web import Application, RequestHandler

from edge.stand_ins import (
    PLATFORM_SETTINGS,
    PROXY_JOINED,
    DelayingRelay,
    ScriptedDiscovery,
    ScriptedRelay,
    list_answer,
    list_entry,
)
from indigodeck.edge import collector_protocol, connecting
from indigodeck.edge.json_fields import pack


class MembersHandler(RequestHandler):
    """A discovery that serves one version of the endpoint list."""

    def get(self):
        """Answer a poll."""
        requested_versions = self.get_argument("after", None)
        self.application.requested_versions.append(requested_versions)
        self.write(
            {
                "seq": 5,
                "whole": requested_versions is None,
                "hosts": [list_entry("s-1"), list_entry("s-2")]
                if requested_versions is None
                else [],
            }
        )


class ProgramTest(AsyncTestCase):
    """Start, reload and stop; invalid configurations."""

    def serve_list(self):
        """Start a discovery; return it and its port."""
        application = Application([("/catalog/members", MembersHandler)])
        application.requested_versions = []
        server = HTTPServer(application)
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        return application, sockets[0].getsockname()[1]

    def test_the_service_loads_no_package_of_other_commands(self):
        """Memory on the platform is scarce, so unused packages must not be imported."""
        loaded = "import sys, indigodeck.edge.service; print(sorted(sys.modules))"
        names = subprocess.run(
            [sys.executable, "-c", loaded],
            capture_output=True,
            text=True,
            timeout=30,
            check=True,
        ).stdout
        for unused in (
            "grpc",
            "msgpack",
            "structlog",
            "jsonschema",
            "click",
            "indigodeck.store",
            "indigodeck.leadership",
            "indigodeck.frontends",
        ):
            self.assertNotIn(f"'{unused}", names)

    @gen_test(timeout=60)
    async def test_it_serves_reloads_on_sighup_and_stops_on_sigterm(self):
        """It assigns tables, ignores a truncated file, applies a new one, and exits with 0."""
        lists = [self.serve_list() for _ in range(2)]
        relays = [ScriptedRelay(), ScriptedRelay()]
        addresses = [relay.listen_on_free_port() for relay in relays]
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "config.json"

            def configure(number):
                path.write_text(
                    json.dumps(
                        {
                            "name": "n0",
                            "listen": f"127.0.0.1:{port}",
                            "discovery": f"127.0.0.1:{lists[number][1]}",
                            "seed": "8c1f",
                            "limits": {"sockets": 256},
                            "registry": {"address": "{}:{}".format(*addresses[number])},
                            "known": {"seq": 1, "whole": True, "hosts": [list_entry("s-1")]},
                            "settings": PLATFORM_SETTINGS,
                        }
                    )
                )

            configure(0)
            program = subprocess.Popen(
                [sys.executable, "-m", "indigodeck", "edge"],
                env=dict(os.environ, EDGE_CONFIG=str(path)),
                stderr=subprocess.PIPE,
            )
            try:
                await until(lambda: relays[0].state.assignments, 20)
                stream = await connecting.connect(("127.0.0.1", port), SECOND)
                await stream.write(b'{"type":"probe"}\n')
                self.assertEqual(
                    await connecting.read_line(stream, 5 * SECOND),
                    collector_protocol.HEALTH_CHECK_RESPONSE,
                )
                await until(lambda: "5" in lists[0][0].requested_versions, 20)
                path.write_text("{ cut")
                program.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.3)
                configure(1)
                program.send_signal(signal.SIGHUP)
                await until(
                    lambda: len(relays[1].subscriptions) == 2 and lists[1][0].requested_versions, 20
                )
                self.assertIsNone(program.poll())
                program.send_signal(signal.SIGTERM)
                await until(lambda: program.poll() is not None, 20)
                self.assertEqual(program.returncode, 0)
                self.assertIn(b"configuration_rejected", program.stderr.read())
            finally:
                program.kill()
                program.wait()
                program.stderr.close()

    def test_an_invalid_configuration_ends_it_with_exit_code_2(self):
        """The message on stderr names the fault."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "config.json"
            for text, word in (
                ("{", "not valid JSON"),
                ("{}", "listen"),
                ('{"listen":"127.0.0.1:1","discovery":"127.0.0.1:x"}', "discovery"),
            ):
                path.write_text(text)
                completed = subprocess.run(
                    [sys.executable, "-m", "indigodeck", "edge"],
                    capture_output=True,
                    text=True,
                    timeout=30,
                    env=dict(os.environ, EDGE_CONFIG=str(path)),
                )
                self.assertEqual(completed.returncode, 2)
                self.assertIn(word, completed.stderr)


class ProgramEndingsTest(AsyncTestCase):
    """Signals that arrive during other events, in a forced order (docs/edge.md)."""

    def setUp(self):
        """Create a folder, and choose a free port."""
        super().setUp()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = pathlib.Path(self.folder.name) / "config.json"
        accepting, self.port = bind_unused_port()
        accepting.close()

    def configuration(self, discovery, relay, **changes):
        """Return a configuration file's text."""
        return json.dumps(
            dict(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": "{}:{}".format(*discovery.address),
                    "seed": "8c1f",
                    "limits": {"sockets": 256},
                    "registry": {"address": "{}:{}".format(*relay)},
                    "known": list_answer(list_entry("s-1"), list_entry("s-2")),
                    "settings": PLATFORM_SETTINGS,
                },
                **changes,
            )
        )

    def start_program(self):
        """Start the program, with its log in a file."""
        self.log_path = pathlib.Path(self.folder.name) / "log"
        with self.log_path.open("wb") as log:
            program = subprocess.Popen(
                [sys.executable, "-m", "indigodeck", "edge"],
                env=dict(os.environ, EDGE_CONFIG=str(self.path)),
                stderr=log,
            )
        self.addCleanup(program.wait)
        self.addCleanup(program.kill)
        return program

    def logged(self):
        """Return the content of the log."""
        return self.log_path.read_text()

    @gen_test(timeout=60)
    async def test_a_drain_pending_behind_a_call_is_sent_before_the_program_exits(self):
        """After SIGTERM the program waits for the call in flight and the pending orders."""
        changed = Event()
        relay = DelayingRelay()
        discovery = ScriptedDiscovery(
            list_answer(list_entry("s-1"), list_entry("s-2")),
            changed,
            list_answer(list_entry("s-1", state="DRAINING"), version=2, complete=False),
        )
        address = relay.listen_on_free_port()
        self.path.write_text(self.configuration(discovery, address))
        program = self.start_program()
        await until(lambda: relay.state.assignments and len(discovery.requested_versions) == 2, 20)
        relay.release = Event()
        before = len(relay.calls)
        # A join, so that a call is in flight.
        await relay.send_event(relay.subscriptions[0], "hello", dict(PROXY_JOINED, proxy=5))
        relay.state.joined.add(5)
        await until(lambda: len(relay.calls) > before, 20)
        changed.set()
        # The drain has been received; its order is pending behind that call.
        await until(lambda: len(discovery.requested_versions) > 2, 20)
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGTERM)
        await until(lambda: "planner_stopping" in self.logged(), 20)
        relay.release.set()
        relay.release = None
        await until(lambda: program.poll() is not None, 20)
        self.assertEqual((program.returncode, relay.state.ejected), (0, {"s-1"}))

    @gen_test(timeout=60)
    async def test_it_exits_in_time_although_the_relay_rejects_calls(self):
        """It exits with 0, and logs that orders were left unsent."""
        relay = ScriptedRelay()
        relay.state.apply = lambda line: pack(
            {"id": json.loads(line)["id"], "error": {"message": "throttled"}}
        )
        self.path.write_text(self.configuration(ScriptedDiscovery(), relay.listen_on_free_port()))
        program = self.start_program()
        await until(lambda: len(relay.calls) > 1, 20)
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGHUP)
        await until(lambda: program.poll() is not None, 20)
        self.assertEqual(program.returncode, 0)
        self.assertIn("orders_left_unsent", self.logged())

    @gen_test(timeout=60)
    async def test_sighup_before_the_first_configuration_is_read_is_not_lost(self):
        """The new configuration is read after the start."""
        relays = [ScriptedRelay(), ScriptedRelay()]
        addresses = [relay.listen_on_free_port() for relay in relays]
        os.mkfifo(self.path)  # the program blocks on reading it until the test writes to it

        def write(number):
            try:
                file = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:  # the program has not opened it yet
                return False
            if number == 0:
                program.send_signal(signal.SIGHUP)
            os.write(file, self.configuration(discovery, addresses[number]).encode())
            os.close(file)
            return True

        discovery = ScriptedDiscovery()
        program = self.start_program()
        await until(lambda: write(0), 20)
        # The first configuration has been read completely.
        await until(lambda: "planner_listening" in self.logged(), 20)
        await until(lambda: write(1), 20)
        await until(lambda: relays[1].state.assignments, 20)
        self.assertIsNone(program.poll())

    @gen_test(timeout=60)
    async def test_a_configuration_of_another_planner_or_with_other_settings_changes_no_table(self):
        """The first is rejected; of the second only the addresses are applied."""
        relays = [ScriptedRelay(), ScriptedRelay(), ScriptedRelay()]
        discovery = ScriptedDiscovery(list_answer(list_entry("s-1"), list_entry("s-2")))
        addresses = [relay.listen_on_free_port() for relay in relays]
        self.path.write_text(self.configuration(discovery, addresses[0]))
        program = self.start_program()
        await until(lambda: relays[0].state.assignments, 20)
        self.path.write_text(self.configuration(discovery, addresses[1], name="n7"))
        program.send_signal(signal.SIGHUP)
        await until(lambda: "configuration_rejected" in self.logged(), 20)
        other = dict(
            PLATFORM_SETTINGS,
            classes=[
                dict(class_settings, name=f"other {class_settings['name']}")
                for class_settings in PLATFORM_SETTINGS["classes"]
            ],
        )
        self.path.write_text(self.configuration(discovery, addresses[2], settings=other))
        program.send_signal(signal.SIGHUP)
        await until(lambda: relays[2].subscriptions, 20)
        relays[2].state.joined.add(6)
        await relays[2].send_event(relays[2].subscriptions[0], "hello", dict(PROXY_JOINED, proxy=6))
        await until(lambda: relays[2].state.assignments, 20)
        self.assertFalse(relays[1].subscriptions)
        # Discovery's address is unchanged, so its polls were not restarted.
        self.assertEqual(discovery.requested_versions.count(None), 1)
        route_names = {
            route
            for call in relays[2].calls
            for order in call["params"]["ops"]
            for route in order.get("routes", ())
        }
        self.assertLessEqual(
            route_names, {class_settings["name"] for class_settings in PLATFORM_SETTINGS["classes"]}
        )
