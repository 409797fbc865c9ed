"""The xDS front: versions and acknowledgements without sockets, load reports, and a client that nobody here wrote."""

import asyncio
import difflib
import json
import os
import sys
import tempfile
import time
import unittest
from collections import Counter

import grpc
import structlog
from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from hypothesis import given, settings
from hypothesis import strategies as some

os.environ.setdefault("GRPC_VERBOSITY", "NONE")

from rig import Loop, TraceCase  # noqa: E402
from support import ROOT, Planner, now, until  # noqa: E402

from indigodeck.client import Tables  # noqa: E402
from indigodeck.client.sasp import SaspClient  # noqa: E402
from indigodeck.client.xds import (
    XdsClient,  # noqa: E402
    read_assignment,
)
from indigodeck.errors import LimitExceededError  # noqa: E402
from indigodeck.frontends.xds import codec  # noqa: E402
from indigodeck.frontends.xds.codec import CLUSTER, ENDPOINTS, LISTENER, RESOURCE_TYPES, ROUTE  # noqa: E402
from indigodeck.frontends.xds.proxies import Bounds, XdsProxy  # noqa: E402
from indigodeck.frontends.xds.streams import MAX_UNANSWERED, Stream  # noqa: E402
from indigodeck.planner.planner_settings import PlannerSettings  # noqa: E402
from indigodeck.serve import assemble  # noqa: E402
from indigodeck.testbed.grpc_host import GrpcHost  # noqa: E402
from indigodeck.testbed.scripted_conversation import ScriptedConversation  # noqa: E402

SHORT = {CLUSTER: "cluster", ENDPOINTS: "endpoints", LISTENER: "listener", ROUTE: "route"}
NAMED = {short: kind for kind, short in SHORT.items()}


class Fleet(Loop):
    """A shelf and a planner_host in one: resources are what a test says they are."""

    def __init__(self, *names):
        super().__init__()
        self.made = {(kind, name): "1" for kind in RESOURCE_TYPES for name in names}
        self.taken, self.parcels, self.known = [], [], {}
        self.class_indices = {name: place for place, name in enumerate(names)}
        self.proxy = XdsProxy("r1", 0, self, self, self, Bounds(names=16, streams=2))

    def names(self):
        return {name for _, name in self.made}

    def resource(self, kind, name, proxy):
        version = self.made.get((kind, name))
        return None if version is None else codec.Resource(version, b"")

    def take_updates(self, proxy):
        return self.parcels.pop() if self.parcels else None

    def lease_epoch(self, proxy):
        return 3

    def on_content_rejected(self, proxy_id, name, version):
        self.known[name] = version

    def rejected_content(self, proxy_id):
        return dict(self.known)

    def on_delivered(self, parcel):
        self.note(f"parcel {parcel} is applied")

    def set(self, version, kind="endpoints", name="read"):
        self.made[NAMED[kind], name] = version

    def drop(self, name):
        self.made = {key: version for key, version in self.made.items() if key[1] != name}


class Peer:
    """A relay's end of one stream, that prints what it is sent and can answer any of it."""

    def __init__(self, fleet, delta=False):
        self.fleet, self.nonces, self.names = fleet, {}, {}
        self.stream = Stream.open(fleet.proxy, self, delta)

    def request_write(self):
        pass

    def later(self, after, call, *given):
        """No test here waits for so long."""

    def send(self, kind, version, nonce, resources, removed):
        self.nonces.setdefault(kind, []).append(nonce)
        told = " ".join(f"{name}={held}" for name, held, _ in resources) + "".join(
            f" -{name}" for name in removed
        )
        self.fleet.note(f"{SHORT[kind]} #{nonce}: {told}")

    def ask(self, kind, *names, nonce="", error=None):
        kind = NAMED[kind]
        self.names[kind] = names
        self.stream.on_full_request(kind, names, nonce, error)

    def change(self, kind, subscribe=(), unsubscribe=(), holding=None, nonce="", error=None):
        self.stream.on_delta_request(
            NAMED[kind], subscribe, unsubscribe, holding or {}, nonce, error
        )

    def drain(self):
        while self.stream.send_next():
            self.fleet.proxy.take_updates()

    def answer(self, kind, which=-1, error=None):
        nonce, kind = self.nonces[NAMED[kind]][which], NAMED[kind]
        if self.stream.is_delta:
            self.stream.on_delta_request(kind, (), (), {}, nonce, error)
        else:
            self.stream.on_full_request(kind, self.names.get(kind, ()), nonce, error)


class Streams(TraceCase):
    def test_make_before_break_stale_answers_and_refusals(self):
        fleet = Fleet("read", "write")
        peer = Peer(fleet)
        for kind in ("listener", "route", "cluster", "endpoints"):
            peer.ask(kind, "read", "write")
        peer.drain()
        for kind in SHORT.values():
            peer.answer(kind)
        fleet.note("three states go out before the first is answered; a fourth waits")
        for version in ("4", "5", "6", "7"):
            fleet.set(version)
            fleet.parcels.append(version)
            fleet.proxy.take_updates()
            peer.drain()
        fleet.note("the one before the newest is acknowledged, then the newest")
        peer.answer("endpoints", -2)
        peer.drain()
        peer.answer("endpoints")
        fleet.note("it refuses 8, which is not sent again, and takes 9")
        fleet.set("8")
        peer.drain()
        peer.answer("endpoints", error="no such host")
        peer.drain()
        peer.drain()
        fleet.set("9")
        peer.drain()
        peer.answer("endpoints")
        fleet.note("a subscription that grows and shrinks; a nonce of long ago asks for nothing")
        peer.ask("endpoints", "read", nonce=peer.nonces[ENDPOINTS][-1])
        fleet.set("2", name="write")
        peer.drain()
        peer.ask("endpoints", "read", "write", nonce="1")
        peer.drain()
        peer.ask("endpoints", "read", "write", nonce=peer.nonces[ENDPOINTS][-1])
        peer.drain()
        self.compare("xds-whole", fleet)

    def test_removals_come_after_what_leads_to_them(self):
        fleet = Fleet("read", "write")
        peer = Peer(fleet, delta=True)
        for kind in ("listener", "route", "cluster", "endpoints"):
            peer.change(kind, ("read", "write", "other"))
        peer.drain()
        for kind in SHORT.values():
            peer.answer(kind)
        fleet.note("write is renamed to store while its endpoints change")
        fleet.set("2", name="write")
        peer.drain()
        fleet.drop("write")
        for kind in SHORT.values():
            fleet.made[NAMED[kind], "store"] = "1"
            peer.change(kind, ("store",), ())
        peer.drain()
        fleet.note("its route and listener are acknowledged")
        peer.answer("listener")
        peer.answer("route")
        peer.drain()
        self.compare("xds-removals", fleet)

    def test_a_relay_that_comes_back_gets_only_what_it_lacks(self):
        fleet = Fleet("read", "write", "store")
        peer = Peer(fleet, delta=True)
        peer.change(
            "endpoints",
            ("read", "write", "store", "lost"),
            holding={"read": "1", "write": "of another planner", "lost": "7"},
        )
        peer.drain()
        other = Peer(fleet, delta=True)
        fleet.note("a wildcard of clusters, on a second stream")
        other.change("cluster")
        other.drain()
        fleet.drop("store")
        other.drain()
        other.change("cluster", (), ("*",))
        other.drain()
        self.compare("xds-back", fleet)

    def test_bounds(self):
        fleet = Fleet("read")
        peer, _ = Peer(fleet), Peer(fleet)
        with self.assertRaises(LimitExceededError):
            Peer(fleet)
        with self.assertRaises(LimitExceededError):
            peer.ask("endpoints", *[f"n{nth}" for nth in range(17)])
        peer.stream.on_full_request("type.googleapis.com/unknown", ["x"] * 1000, "", None)
        peer.drain()

    @settings(max_examples=300, deadline=None)
    @given(
        some.booleans(),
        some.lists(
            some.tuples(
                some.sampled_from(
                    ["ask", "set", "answer", "refuse", "stale", "drain", "drop", "add"]
                ),
                some.sampled_from(sorted(NAMED)),
                some.sampled_from(["read", "write", "none"]),
                some.integers(0, 9),
            ),
            max_size=40,
        ),
    )
    def test_whatever_is_said_every_relay_ends_on_the_newest_state(self, delta, steps):
        fleet = Fleet("read", "write")
        peer = Peer(fleet, delta)
        for kind in SHORT.values():
            peer.change(kind, ("read", "write")) if delta else peer.ask(kind, "read", "write")
        for step, kind, name, number in steps:
            if step == "ask" and not delta:
                peer.stream.on_full_request(
                    NAMED[kind], peer.names.get(NAMED[kind], ()), f"{number}", None
                )
            elif step == "set" and (NAMED[kind], name) in fleet.made:
                fleet.set(f"v{number}", kind, name)
            elif step in ("answer", "refuse") and peer.nonces.get(NAMED[kind]):
                peer.answer(
                    kind,
                    -1 - number % len(peer.nonces[NAMED[kind]]),
                    "no" if step == "refuse" else None,
                )
            elif step == "drop" and name != "read":
                fleet.drop(name)
            elif step == "add" and name == "write":
                for each in RESOURCE_TYPES:
                    fleet.made.setdefault((each, name), "1")
            elif step == "drain":
                peer.drain()
            for each in RESOURCE_TYPES:
                self.assertLessEqual(
                    len(peer.stream.subscriptions[each].unanswered), MAX_UNANSWERED
                )
        for nth in range(20):
            peer.drain()
            for kind in SHORT.values():
                for which in range(len(peer.nonces.get(NAMED[kind], ()))):
                    peer.answer(kind, which)
        for (kind, name), version in fleet.made.items():
            held = peer.stream.subscriptions[kind]
            self.assertIn(
                version,
                (held.acknowledged.get(name), held.rejected.get(name)),
                f"{SHORT[kind]} {name}",
            )


class Resources(unittest.TestCase):
    def test_endpoints_carry_weights_halls_drains_and_levels(self):
        version, data = codec.endpoints(
            "read",
            [("hall-a", "h1", "10.0.0.1", 80, 300), ("hall-b", "h2", "::1", 81, 1)],
            [("hall-a", "h3", "10.0.0.3", 80, 0)],
            0.25,
        )
        again, _ = codec.endpoints(
            "read",
            [("hall-b", "h2", "::1", 81, 1), ("hall-a", "h1", "10.0.0.1", 80, 300)],
            [("hall-a", "h3", "10.0.0.3", 80, 0)],
            0.25,
        )
        self.assertEqual(version, again)
        response = codec.delta_response(ENDPOINTS, "1", "n", [("read", version, data)], [])
        name, entries, level, names = read_assignment(response.resources[0].resource.value)
        self.assertEqual((name, level), ("read", 0.25))
        self.assertEqual(
            entries,
            [
                (("10.0.0.1", 80), 300, True, False),
                (("::1", 81), 1, True, False),
                (("10.0.0.3", 80), 0, True, True),
            ],
        )
        self.assertEqual(names["::1", 81], ("hall-b", "h2"))


class Stock(unittest.IsolatedAsyncioTestCase):
    """Hosts, planner and probes share this process with what it can carry on this machine: relays have few exchanges under way,
    and asyncio's debug mode, which costs as much again as all of them, is off.
    """

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)

    async def test_the_stock_client_follows_the_tables_with_a_bootstrap_alone(self):
        hosts = [GrpcHost(now, f"host-{nth}", 5_000) for nth in range(8)]
        for host in hosts:
            await host.open()
            self.addAsyncCleanup(host.server.stop, 0)
        planner = Planner(hosts=0, reports={"over": "grpc"})
        planner.document["fronts"] = {"xds": {"address": "127.0.0.1", "port": 0}}
        for nth, host in enumerate(hosts):
            planner.hosts[host.name] = {
                "port": host.port,
                "weight": 2 + 4 * (nth % 2),
                "hall": f"hall-{'abc'[nth % 3]}",
            }
        planner.keep()
        async with planner:
            relays = [
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "indigodeck",
                    "standin",
                    "stock",
                    "--planner",
                    f"127.0.0.1:{planner.port}",
                    "--uid",
                    f"hall-a/r{nth}",
                    "--hall",
                    "hall-a",
                    "--class",
                    "reading",
                    "--class",
                    "setpoint",
                    "--rate",
                    "150",
                    "--concurrency",
                    "16",
                    "--seconds",
                    "7",
                    stdout=asyncio.subprocess.PIPE,
                    cwd=ROOT,
                )
                for nth in range(2)
            ]

            # Shares count from when both are connected to every host, in both classes; the planner's probes are not of them.
            def brought(host):
                return [(relay, kind) for _, relay, kind in host.receipts if relay != "planner"]

            await until(lambda: all(len(set(brought(host))) == 4 for host in hosts), 60)
            before = [len(brought(host)) for host in hosts]
            await until(lambda: sum(len(brought(host)) for host in hosts) > sum(before) + 600, 60)
            counts = [len(brought(host)) - met for host, met in zip(hosts, before)]
            total = sum(counts)
            for nth, count in enumerate(counts):
                share = (2 + 4 * (nth % 2)) / 32
                self.assertAlmostEqual(
                    count / total, share, delta=5 * (share * (1 - share) / total) ** 0.5, msg=counts
                )
            drained = now()
            planner.keep(host_1="draining")
            said = [
                json.loads(line)
                for relay in relays
                for line in (await relay.communicate())[0].splitlines()
            ]
            self.assertEqual(Counter(line["outcome"] for line in said), {"ok": len(said)})
            late = [
                at - drained
                for at, relay, _ in hosts[1].receipts
                if relay != "planner" and at > drained
            ]
            self.assertLess(max(late, default=0), planner.service.settings.deployment.drain_grace)
            # What they met and what came to them reached the assigner: it is told of nothing else here.
            self.assertGreater(planner.service.frontends[0].reports_counted, 4)
            self.assertTrue(planner.service.planner_host.assigner.admission.fleet.completion_rates)
            # Marks of the last orders were answered by acknowledgements.
            self.assertLessEqual(
                len(planner.service.planner_host.assigner.state.channel.pending_acks), 2
            )

    async def test_stock_clients_in_several_processes_on_a_bad_day(self):
        hosts = [GrpcHost(now, f"host-{nth}", 5_000) for nth in range(15)]
        for host in hosts:
            await host.open()
            self.addAsyncCleanup(host.server.stop, 0)
        planner = Planner(
            hosts=0,
            reports={"over": "grpc", "period_ms": 500, "probes_per_s": 60, "probes_at_once": 40},
        )
        planner.document["fronts"] = {"xds": {"address": "127.0.0.1", "port": 0}}
        planner.document["rules"]["cold_ms"] = 4000
        for host in hosts[:9]:
            planner.hosts[host.name] = {"port": host.port}
        planner.keep()
        async with planner:
            planner.service.health_checker.timeout = 1_000_000
            planner.document["fronts"]["xds"]["port"] = planner.port
            relays = [
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "indigodeck",
                    "standin",
                    "stock",
                    "--planner",
                    f"127.0.0.1:{planner.port}",
                    "--uid",
                    f"hall-{hall}/r",
                    "--class",
                    "reading",
                    "--class",
                    "setpoint",
                    "--rate",
                    "80",
                    "--seconds",
                    "15",
                    "--concurrency",
                    "32",
                    stdout=asyncio.subprocess.PIPE,
                    cwd=ROOT,
                )
                for hall in "abc"
            ]
            await until(
                lambda: all(
                    len({relay for _, relay, _ in host.receipts} - {"planner"}) == 3
                    for host in hosts[:9]
                ),
                60,
            )
            hosts[0].hangs = True
            await until(
                lambda: (
                    not any(0 in lines for lines in planner.service.planner_host.tables.values())
                ),
                10,
            )
            # Two thirds are replaced by cold successors at once, and the planner starts over in the middle of it.
            drained = now()
            for host in hosts[9:]:
                planner.hosts[host.name] = {
                    "port": host.port,
                    "started_ms": int(time.time() * 1000),
                }
            planner.keep(**{f"host_{nth}": "draining" for nth in range(3, 9)})
            await until(lambda: len(planner.service.planner_host.ejected_servers) == 6)
            planner.service.close()
            await asyncio.sleep(0.5)
            planner.service = assemble(PlannerSettings(planner.document, planner.folder.name))
            planner.service.health_checker.timeout = 1_000_000
            said = [
                json.loads(line)
                for relay in relays
                for line in (await relay.communicate())[0].splitlines()
            ]
            grace = planner.service.settings.deployment.drain_grace
            lost, outcomes = (
                [line for line in said if line["outcome"] != "ok"],
                Counter(line["outcome"][:30] for line in said),
            )
            hung = [at for at, relay, _ in hosts[0].receipts if relay != "planner"]
            # What failed was sent to the hung host, before it was out and before the planner that started over had found it
            # anew; nothing failed for drains or the restart.
            self.assertLessEqual(len(lost), len(hung), outcomes)
            self.assertEqual([at for at in hung if at > said[-1]["at"] - 3_000_000], [], outcomes)
            late = [
                (host.name, at - drained)
                for host in hosts[3:9]
                for at, relay, _ in host.receipts
                if relay != "planner" and at > drained + grace
            ]
            self.assertEqual(late, [])
            self.assertTrue(
                all(any(relay != "planner" for _, relay, _ in host.receipts) for host in hosts[9:])
            )


class Fronts(unittest.IsolatedAsyncioTestCase):
    """Both fronts on one planner."""

    def planner(self, hosts=6, **more):
        planner = Planner(hosts=hosts, **more)
        planner.document["fronts"] = {
            wire: {"address": "127.0.0.1", "port": 0} for wire in ("sasp", "xds")
        }
        planner.keep()
        return planner

    def relay(self, planner, wire, uid):
        tables, errors = Tables(["reading", "setpoint"], now), []
        port = dict(zip(planner.service.settings.frontends, planner.service.frontends))
        client = {"sasp": SaspClient, "xds": XdsClient}[wire](
            uid, lambda: [("127.0.0.1", port[wire].port())], tables, connection_lost=errors.append
        )
        client.backoff.first_delay, client.backoff.max_delay = 50_000, 400_000
        return tables, client, asyncio.get_running_loop().create_task(client.run()), errors

    async def test_one_name_over_both_protocols_is_one_proxy_and_the_newest_speaks_for_it(self):
        async with self.planner() as planner:
            sasp = self.relay(planner, "sasp", "hall-a/r1")
            await until(lambda: len(sasp[0].lines["reading"]) == 6)
            xds = self.relay(planner, "xds", "hall-a/r1")
            await until(lambda: xds[0].versions and sasp[3])
            self.assertEqual(len(planner.service.planner_host.pending_updates), 1)
            sasp[1].stop()
            planner.keep(host_3="draining")
            await until(lambda: len(xds[0].lines["reading"]) == 5)
            xds[1].stop()
            await asyncio.gather(sasp[2], xds[2])

    async def test_a_flood_of_requests_from_one_relay_costs_the_others_nothing(self):
        async with self.planner() as planner:
            tables, client, task, _ = self.relay(planner, "xds", "hall-b/r2")
            await until(lambda: len(tables.lines["reading"]) == 6)
            channel = grpc.aio.insecure_channel(f"127.0.0.1:{planner.service.frontends[1].port()}")
            stream = ads_pb2_grpc.AggregatedDiscoveryServiceStub(
                channel
            ).StreamAggregatedResources()
            flooding = True

            async def flood():
                nth = 0
                while flooding:
                    nth += 1
                    await stream.write(
                        discovery_pb2.DiscoveryRequest(
                            node=base_pb2.Node(id="hall-a/flood"),
                            type_url=ENDPOINTS,
                            response_nonce="",
                            resource_names=[("reading", "setpoint", f"n{nth}")[nth % 3]],
                        )
                    )

            flooder = asyncio.get_running_loop().create_task(flood())
            for nth in range(3):
                planner.keep(**{f"host_{nth}": "draining"})
                await until(lambda: len(tables.lines["reading"]) == 5 - nth)
            flooding = False
            await flooder
            wrote = planner.service.proxies.message_quota("hall-a/flood").written
            self.assertLessEqual(len(wrote), planner.service.settings.message_limits.max_messages)
            # More names than are allowed end its stream, with the reason.
            with self.assertRaises(grpc.aio.AioRpcError) as caught:
                await stream.write(
                    discovery_pb2.DiscoveryRequest(
                        type_url=ENDPOINTS, resource_names=[f"n{nth}" for nth in range(999)]
                    )
                )
                while await stream.read() is not grpc.aio.EOF:
                    pass
                raise await_error(stream, await stream.code(), await stream.details())
            self.assertEqual(caught.exception.code(), grpc.StatusCode.RESOURCE_EXHAUSTED)
            await channel.close()
            client.stop()
            await task

    async def test_a_planner_restarts_and_all_come_back_over_both_fronts_never_bare(self):
        bare, many = [], 24
        async with self.planner(hosts=12) as planner:
            relays = [
                self.relay(planner, ("sasp", "xds")[nth % 2], f"hall-{'abc'[nth % 3]}/r{nth}")
                for nth in range(many)
            ]
            await until(
                lambda: all(len(tables.lines["setpoint"]) >= 4 for tables, *_ in relays), 20
            )
            for tables, *_ in relays:
                tables.changed = lambda name, tables=tables: tables.lines[name] or bare.append(name)
            planner.service.close()
            await asyncio.sleep(0.3)
            planner.service = assemble(PlannerSettings(planner.document, planner.folder.name))
            for tables, client, *_ in relays:
                front = planner.service.frontends[isinstance(client, XdsClient)]
                client.planners = lambda front=front: [("127.0.0.1", front.port())]
            await until(lambda: len(planner.service.proxies.frontend_of) == many, 20)
            planner.keep(host_5="draining")
            await until(
                lambda: all(
                    ("127.0.0.1", 9005) not in tables.lines["reading"] for tables, *_ in relays
                ),
                10,
            )
            service = planner.service
            settings = service.settings
            self.assertEqual(bare, [])
            self.assertLess(
                service.planner_host.most_waiting_lines,
                settings.deployment.channel.max_waiting_lines,
            )
            self.assertLessEqual(
                max(len(held.written) for held in service.proxies.message_quotas.values()),
                settings.message_limits.max_messages,
            )
            for _, client, *_ in relays:
                client.stop()
            await asyncio.gather(*(task for _, _, task, _ in relays))


def await_error(call, code, details):
    return grpc.aio.AioRpcError(code, None, None, details)


class Conversation(unittest.IsolatedAsyncioTestCase):
    async def test_one_scripted_conversation_over_both_protocols(self):
        structlog.configure(processors=[lambda *_: (_ for _ in ()).throw(structlog.DropEvent)])
        script = json.loads((ROOT / "examples/conversation.json").read_text())
        with tempfile.TemporaryDirectory() as folder:
            traces = await ScriptedConversation(script, folder).play()
        path = ROOT / "tests/traces/conversation.txt"
        if os.environ.get("INDIGODECK_WRITE_TRACES"):
            path.write_text("\n".join(traces["sasp"]) + "\n")
        for wire, lines in traces.items():
            differing = "\n".join(
                difflib.unified_diff(
                    path.read_text().splitlines(), lines, "kept", wire, lineterm=""
                )
            )
            self.assertFalse(differing, "\n" + differing)


if __name__ == "__main__":
    unittest.main()
