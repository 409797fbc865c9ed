"""End-to-end tests of several controllers as processes, with relays connected to them."""

import asyncio
import json
import os
import pathlib
import signal
import tempfile
import unittest
import unittest.mock

# gRPC reads this variable when it is imported.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

from support import ROOT, start_stock_client, until  # noqa: E402

from indigodeck.client import Tables  # noqa: E402
from indigodeck.client.xds import XdsClient  # noqa: E402
from indigodeck.client.xds_session import XdsSession  # noqa: E402
from indigodeck.clock import now  # noqa: E402
from indigodeck.testbed.faulty_link import FaultyLink  # noqa: E402
from indigodeck.testbed.fleet_scenario import FleetScenarioRunner  # noqa: E402
from indigodeck.testbed.grpc_host import GrpcHost  # noqa: E402
from leadership.controllers import ControllersTestCase  # noqa: E402


class ControllerProcesses(ControllersTestCase):
    """Controllers that are suspended, partitioned, upgraded, added, removed and restarted."""

    async def test_a_suspended_leader_is_replaced_and_its_orders_have_no_effect_when_it_resumes(
        self,
    ):
        """A suspended leader is replaced; after it resumes, none of its orders reaches a relay."""
        await self.set_up()
        old = self.fleet.leader()
        self.fleet.signal(old, signal.SIGSTOP)
        await until(lambda: self.fleet.leader() not in (None, old), 15)
        new = self.fleet.leader()
        self.fleet.set_host_states(h2="draining")
        await until(lambda: self.all_relays_hold({0, 1, 3, 4, 5, 6, 7}), 20)
        epochs = [
            tables.epoch for tables, client, _ in self.relays if isinstance(client, XdsClient)
        ]
        # The old leader resumes with an outdated endpoint list, and must not send it to any relay.
        changes = []
        for tables, *_ in self.relays:
            tables.changed = lambda name, tables=tables: changes.append(dict(tables.lines[name]))
        self.fleet.signal(old, signal.SIGCONT)
        await until(lambda: not self.fleet.lease_changes(old)[-1].acquired, 10)
        await asyncio.sleep(1)
        self.assertEqual(changes, [])
        self.assertTrue(self.all_relays_hold({0, 1, 3, 4, 5, 6, 7}))
        self.assertGreater(
            self.fleet.lease_changes(new)[-1].epoch, self.fleet.lease_changes(old)[-1].epoch
        )
        self.assertEqual(set(epochs), {self.fleet.lease_changes(new)[-1].epoch})

    async def test_transfer_of_leadership_and_restart_of_all_controllers(self):
        """Epochs increase and relays always have servers, even when all controllers restart."""
        await self.set_up()
        old = self.fleet.leader()
        self.assertEqual(await self.fleet.command("handover"), (0, f"{old} handed over fleet"))
        await until(lambda: self.fleet.leader() not in (None, old), 15)
        self.fleet.set_host_states(h3="draining")
        await until(lambda: self.all_relays_hold({0, 1, 2, 4, 5, 6, 7}), 20)
        # All controllers are killed, and one of them loses its record.
        highest_epoch = max(
            change.epoch
            for name in self.fleet.member_ports
            for change in self.fleet.lease_changes(name)
        )
        for name in self.fleet.member_ports:
            await self.fleet.kill(name)
        (self.fleet.folder / "c1.record").unlink(missing_ok=True)
        for name in self.fleet.member_ports:
            await self.fleet.start(name)
        self.fleet.set_host_states(h4="draining")
        await until(lambda: self.all_relays_hold({0, 1, 2, 5, 6, 7}), 30)
        self.assertGreater(
            max(
                change.epoch
                for name in self.fleet.member_ports
                for change in self.fleet.lease_changes(name)
            ),
            highest_epoch,
        )
        self.assertEqual(self.emptied_classes, [])

    async def test_a_scenario_of_takeovers_and_transfers_breaks_no_rule(self):
        """A scenario with suspended leaders and transfers of leadership breaks no audit rule."""
        script = json.loads((ROOT / "examples/bad-day.json").read_text())
        script.update(
            seconds=18,
            troubles=[
                {"at": 2, "kind": "deploy", "part": 0.5, "size": 0.5, "seconds": 10},
                {"at": 4, "kind": "takeover", "seconds": 3},
                {"at": 5, "kind": "stall", "seconds": 1},
                {"at": 9, "kind": "handover"},
                {"at": 12, "kind": "takeover", "seconds": 2},
            ],
        )
        script["relays"]["rate"] = 60
        script["charter"]["fronts"]["sasp"]["interval_s"] = 1
        script["charter"]["channel"].update(messages_most=60, answers_most=30)
        with tempfile.TemporaryDirectory() as folder:
            runner = FleetScenarioRunner(script, pathlib.Path(folder))
            result = await runner.run()
            acquisitions = runner.lease_acquisitions()
        self.assertEqual(
            [rule["rule"] for rule in result["rules"] if not rule["kept"]], [], result["rules"]
        )
        self.assertGreaterEqual(len(acquisitions), 3)
        self.assertGreater(result["service"]["whole"], 0.9)

    async def test_a_leader_cut_off_from_its_peers_only_is_replaced(self):
        """A leader that reaches relays but no peers is replaced; one controller serves relays."""
        await self.set_up(with_links=True)
        old = self.fleet.leader()
        self.fleet.partition(old)  # relays still reach all three controllers
        await until(lambda: self.fleet.leader() not in (None, old), 15)
        self.fleet.set_host_states(h2="draining")
        await until(lambda: self.all_relays_hold({0, 1, 3, 4, 5, 6, 7}), 20)
        await self.assert_served_by(self.fleet.leader())
        self.assertFalse(self.fleet.lease_changes(old)[-1].acquired)
        self.fleet.partition()
        await asyncio.sleep(1.5)
        await self.assert_served_by(self.fleet.leader())
        self.assertEqual(self.emptied_classes, [])

    async def test_a_minority_with_all_relays_sends_no_orders(self):
        """Two of five controllers, with all relays, send no orders until the others are removed."""
        await self.set_up(with_links=True, members=5, known_controllers=("c0", "c1"))
        self.fleet.partition("c0", "c1")
        await until(lambda: self.fleet.leader() in ("c2", "c3", "c4"), 15)
        await asyncio.sleep(1.5)
        # The minority holds no lease, so it rejects its relays, and their tables do not change.
        self.fleet.set_host_states(h2="draining")
        lines_before = [dict(tables.lines) for tables, *_ in self.relays]
        await asyncio.sleep(1.5)
        self.assertEqual([dict(tables.lines) for tables, *_ in self.relays], lines_before)
        self.assertEqual(await self.controllers_by_relay(), {})
        for name in ("c0", "c1"):
            self.assertNotIn(
                True, [change.acquired for change in self.fleet.lease_changes(name)[-1:]]
            )
        # After the partition ends, the other three are removed one by one, and a remaining
        # controller serves the relays.
        self.fleet.partition()
        for name in ("c4", "c3", "c2"):
            await until(self.fleet.leader, 10)
            for _ in range(10):
                code, output = await self.fleet.command("fleet", "remove", name)
                if not code:
                    break
                await asyncio.sleep(0.5)
            self.assertEqual(code, 0, output)
        await until(lambda: self.all_relays_hold({0, 1, 3, 4, 5, 6, 7}), 20)
        await self.assert_served_by(self.fleet.leader())
        self.assertIn(self.fleet.leader(), ("c0", "c1"))

    async def test_an_added_controller_replaces_two_that_are_lost(self):
        """One controller is added, others are lost, and the last one is forced as only member."""
        await self.set_up(spare=1)
        self.assertEqual(self.fleet.lease_changes("c3"), [])
        code, output = await self.fleet.command(
            "fleet", "add", "c3", f"127.0.0.1:{self.fleet.member_ports['c3']}"
        )
        self.assertEqual((code, output), (0, "members by number 1: c0, c1, c2, c3"))
        old = self.fleet.leader()
        removed = "c1" if old != "c1" else "c2"
        code, output = await self.fleet.command("fleet", "remove", removed, controller=old)
        self.assertEqual(code, 0, output)
        await self.fleet.kill(removed)
        # After a restart the added member still knows the members, whatever its charter says.
        await self.fleet.kill("c3")
        await self.fleet.start("c3")
        self.fleet.set_host_states(h3="draining")
        await until(lambda: self.all_relays_hold({0, 1, 2, 4, 5, 6, 7}), 20)
        for _ in range(50):
            statuses = json.loads(
                (await self.fleet.command("fleet", "--format", "json", controller=old))[1]
            )
            if statuses["c3"].get("settled"):
                break
            await asyncio.sleep(0.2)
        self.assertEqual(
            (statuses["c3"]["number"], sorted(statuses["c3"]["members"])),
            (2, sorted({"c0", "c1", "c2", "c3"} - {removed})),
        )
        await self.fleet.kill(old)  # of the first three one remains, besides the added one
        await until(lambda: self.fleet.leader() not in (None, old, removed), 15)
        self.fleet.set_host_states(h2="draining")
        await until(lambda: self.all_relays_hold({0, 1, 4, 5, 6, 7}), 20)
        # The last but one is lost: the remaining controller may lead only after an operator forces
        # the membership.
        last = next(name for name in self.fleet.member_ports if name not in (old, removed, "c3"))
        await self.fleet.kill("c3")
        self.fleet.set_host_states(h4="draining")
        await asyncio.sleep(2.5)
        self.assertEqual((await self.fleet.command("fleet", "force", last, controller=last))[0], 2)
        self.assertEqual(
            await self.fleet.command("fleet", "force", last, "--others-are-gone", controller=last),
            (0, f"{last} holds {last} to be the whole fleet"),
        )
        await until(lambda: self.all_relays_hold({0, 1, 5, 6, 7}), 20)
        self.assertEqual(self.emptied_classes, [])

    async def test_a_fleet_is_upgraded_one_controller_at_a_time(self):
        """Controllers of versions 1 and 2 work together; members change once all use version 2."""
        await self.set_up(spare=1, takeover={"speaks": 1})
        for index, name in enumerate(("c2", "c1", "c0", "c3")):
            if index == 1:
                code, output = await self.fleet.command("fleet", "remove", "c2")
                self.assertEqual(code, 1, output)  # the others still use version 1
            await self.fleet.kill(name)
            self.fleet.change_settings(name, speaks=2)
            await self.fleet.start(name)
            await until(
                lambda: (
                    self.fleet.leader()
                    and self.fleet.processes[self.fleet.leader()].returncode is None
                ),
                15,
            )
            self.fleet.set_host_states(**{f"h{index}": "draining"})
            await until(lambda index=index: self.all_relays_hold(set(range(index + 1, 8))), 20)
        for _ in range(10):
            code, output = await self.fleet.command(
                "fleet", "add", "c3", f"127.0.0.1:{self.fleet.member_ports['c3']}"
            )
            if not code:
                break
            await asyncio.sleep(0.5)
        self.assertEqual((code, output), (0, "members by number 1: c0, c1, c2, c3"))
        self.assertEqual(self.emptied_classes, [])

    async def test_an_outdated_lease_record_is_detected(self):
        """A controller restarted with an old record learns the newer serial from its peers."""
        await self.set_up()
        holder = self.fleet.leader()
        other = next(name for name in self.fleet.member_ports if name != holder)
        record = self.fleet.folder / f"{other}.record"
        await until(record.exists, 5)
        old_bytes, old_epoch = record.read_bytes(), self.fleet.lease_changes(holder)[-1].epoch
        self.assertEqual((await self.fleet.command("handover"))[0], 0)
        await until(
            lambda: (
                self.fleet.leader() not in (None, holder)
                or self.fleet.lease_changes(holder)[-1].epoch > old_epoch
            ),
            15,
        )
        await until(lambda: record.read_bytes() != old_bytes, 10)
        await asyncio.sleep(1)  # its peers see the serial of the newer record
        await self.fleet.kill(other)
        record.write_bytes(old_bytes)
        await self.fleet.start(other)
        await until(
            lambda: "lease_record_outdated" in (self.fleet.folder / f"{other}.log").read_text(), 10
        )
        await until(self.fleet.leader, 15)
        self.fleet.set_host_states(h2="draining")
        await until(lambda: self.all_relays_hold({0, 1, 3, 4, 5, 6, 7}), 20)

    async def test_a_truncated_message_to_a_relay_has_no_effect(self):
        """Relays of both protocols ignore a message that a suspended leader wrote in part."""
        await self.set_up()
        old, frontend_ports = self.fleet.leader(), self.fleet.frontend_ports
        links = {
            protocol: FaultyLink(frontend_ports[old][protocol]) for protocol in ("sasp", "xds")
        }
        for protocol, link in links.items():
            port = await link.listen()
            self.addCleanup(link.close)
            others = [
                ("127.0.0.1", ports[protocol])
                for name, ports in frontend_ports.items()
                if name != old
            ]
            self.relays.append(
                self.fleet.connect_relay(
                    protocol, f"hall-a/half-{protocol}", [("127.0.0.1", port), *others]
                )
            )
        relays = self.relays[-2:]
        await until(lambda: self.all_relays_hold(range(8)), 20)
        lines_before = [dict(tables.lines) for tables, *_ in relays]
        for link in links.values():
            link.response_bytes_left = 25  # ends within the next message of either protocol
        self.fleet.set_host_states(h2="draining", h3="draining")
        await until(lambda: not any(link.response_bytes_left for link in links.values()), 10)
        self.fleet.signal(old, signal.SIGSTOP)
        self.assertEqual([dict(tables.lines) for tables, *_ in relays], lines_before)
        await until(lambda: self.fleet.leader() not in (None, old), 15)
        await until(lambda: self.all_relays_hold({0, 1, 4, 5, 6, 7}), 20)
        self.fleet.signal(old, signal.SIGCONT)
        await until(lambda: not self.fleet.lease_changes(old)[-1].acquired, 10)
        self.assertTrue(self.all_relays_hold({0, 1, 4, 5, 6, 7}))

    async def test_a_rejected_table_is_not_sent_again_after_all_controllers_restart(self):
        """A relay gets no table twice that it rejected, even if all controllers restart."""
        await self.set_up()
        tables, client, _ = next(relay for relay in self.relays if isinstance(relay[1], XdsClient))
        sent, on_response = [], XdsSession.on_response

        def reject(session, response):
            if session.tables is not tables:
                return on_response(session, response)
            sent.extend((resource.name, resource.version) for resource in response.resources)
            answer = on_response(
                XdsSession(Tables([], lambda: 0), {}), response
            )  # a session without classes rejects every table
            self.assertTrue(answer.error_detail.message)
            return answer

        with unittest.mock.patch.object(XdsSession, "on_response", reject):
            self.fleet.set_host_states(h2="draining")
            await until(lambda: len(sent) >= 2, 20)
            await asyncio.sleep(1.5)
            for name in self.fleet.member_ports:
                await self.fleet.kill(name)
            for name in self.fleet.member_ports:
                await self.fleet.start(name)
            others = [relay for relay in self.relays if relay[0] is not tables]
            self.fleet.set_host_states(h3="draining")
            await until(
                lambda: all(
                    {port - 9000 for _, port in lines} == {0, 1, 4, 5, 6, 7}
                    for other, *_ in others
                    for lines in other.lines.values()
                ),
                30,
            )
            await asyncio.sleep(1)
        self.assertEqual(len(set(sent)), len(sent))
        self.assertEqual(
            {port - 9000 for _, port in tables.lines["reading"]}, set(range(8))
        )  # keeps the tables that it held

    async def test_zones_have_leases_of_their_own_that_spread_over_controllers(self):
        """Each zone has a leader, and not all zones have the same one."""
        await self.set_up(takeover={"wards": "halls"}, known_controllers=())
        await until(lambda: self.all_relays_hold(range(8)), 20)
        statuses = json.loads((await self.fleet.command("fleet", "--format", "json"))[1])
        leaders = {
            group: name
            for name, status in statuses.items()
            for group, lease in status["wards"].items()
            if lease["held"]
        }
        self.assertEqual(
            set(leaders), set(json.loads((ROOT / "examples/charter.json").read_text())["halls"])
        )
        self.assertGreater(len(set(leaders.values())), 1)
        await self.assert_served_by(leaders["hall-a"])
        lease = statuses[leaders["hall-a"]]["wards"]["hall-a"]
        self.assertEqual(lease["followers"], len(self.relays))
        await self.fleet.kill(leaders["hall-a"])
        self.fleet.set_host_states(h2="draining")
        await until(lambda: self.all_relays_hold({0, 1, 3, 4, 5, 6, 7}), 20)

    async def test_a_stock_grpc_client_follows_the_new_leader(self):
        """A stock gRPC client that knows all controllers connects to the new leader."""
        await self.set_up(known_controllers=("c0",))
        hosts = [GrpcHost(now, f"host-{index}", 1000) for index in range(2)]
        for host in hosts:
            await host.open()
            self.addAsyncCleanup(host.server.stop, 0)
        self.fleet.host_states = {}
        self.fleet.host_port = lambda index: hosts[index].port
        self.fleet.set_host_states(h0="ready")
        target = "ipv4:" + ",".join(
            f"127.0.0.1:{ports['xds']}" for ports in self.fleet.frontend_ports.values()
        )
        stock = await start_stock_client(target, "hall-a/stock", ["reading"], rate=20, seconds=12)
        await until(lambda: hosts[0].receipts, 15)
        old = self.fleet.leader()
        await self.fleet.kill(old)
        await until(lambda: self.fleet.leader() not in (None, old), 15)
        self.fleet.set_host_states(h0="draining", h1="ready")
        await until(lambda: hosts[1].receipts, 15)
        lines = (await stock.communicate())[0].decode().splitlines()
        outcomes = [json.loads(line)["outcome"] for line in lines]
        # The settings expect two hosts. While only one is up, requests may be dropped by the
        # admission level, which does not count as a failure.
        self.assertLessEqual(set(outcomes), {"ok", "UNAVAILABLE: EDS-configured drop: level"})
        self.assertGreater(outcomes.count("ok"), 0.5 * len(outcomes))


if __name__ == "__main__":
    unittest.main()
