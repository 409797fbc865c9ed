"""Several controllers: decisions on simulated time, records and messages, and real processes that are stopped and wake."""
import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import unittest

from hypothesis import given, settings, strategies as some

os.environ.setdefault("GRPC_VERBOSITY", "NONE")

from indigodeck.chance import Chance                          # noqa: E402
from indigodeck.client import Tables                          # noqa: E402
from indigodeck.client.xds import Refused, Talk, XdsClient    # noqa: E402
from indigodeck.fronts.xds import codec                       # noqa: E402
from indigodeck.takeover import messages, model               # noqa: E402
from indigodeck.takeover.charge import Charge, Record         # noqa: E402
from indigodeck.takeover.record import RecordFile, pack, unpack      # noqa: E402
from indigodeck.standins.controllers import Fleet             # noqa: E402
from rig import SECOND, Loop                                  # noqa: E402
from test_live import ROOT, until                             # noqa: E402


class Schedules(unittest.TestCase):
    def test_some_hundreds_of_schedules_break_nothing(self):
        played, takeovers, broken = model.explore(range(500))
        self.assertIsNone(broken)
        self.assertGreater(takeovers, played)

    def test_every_mutant_is_caught(self):
        for mutant in model.MUTANTS:
            with self.subTest(mutant.__name__):
                self.assertIsNotNone(model.explore(range(600), make=mutant)[2])

    def test_the_same_seed_plays_the_same_day(self):
        self.assertEqual([model.World(seed).run() for seed in (3, 8)], [model.World(seed).run() for seed in (3, 8)])


class Alone(Loop):
    """One member of three, whose others are played by the test."""

    def __init__(self, record=None, life=2):
        super().__init__()
        self.sent, self.kept, self.broken_disk = [], [], False
        self.charge = Charge(self, "a", ["a", "b", "c"], ["fleet"], 2 * SECOND, 0.05, Chance(1), life, record)

    def later(self, after):
        super().later(after, self.charge_woken)

    def charge_woken(self):
        self.charge.woken()

    def send(self, member, kind, **fields):
        self.sent.append((member, kind, fields))

    def keep(self, record):
        self.kept.append(record)
        return not self.broken_disk

    def in_charge(self, ward, epoch):
        self.note(f"in charge under {epoch}")

    def out_of_charge(self, ward, epoch, why):
        self.note(f"out of charge: {why}")

    def last(self, kind):
        return [fields for _, said, fields in self.sent if said == kind][-1]


class Decisions(unittest.TestCase):
    def settled(self, asks=True, **given):
        alone = Alone(**given)
        if not asks:
            alone.charge.wanted = lambda ward: False
        for member in "bc":
            alone.charge.told(member, alone.charge.hello, {}, 0)
        alone.run(3)
        return alone

    def test_answers_to_an_earlier_life_or_question_do_not_count(self):
        alone, early = Alone(life=2), Alone(life=1)
        self.assertNotEqual(alone.charge.hello, early.charge.hello)
        for member in "bc":
            alone.charge.told(member, early.charge.hello, {}, 0)
        alone.run(5)
        self.assertFalse(alone.charge.settled)
        alone.charge.asked("b", "fleet", 5, 1, 0)
        self.assertEqual(alone.sent[-1][1], "deny")

    def test_a_disk_that_is_an_old_copy_or_lost_is_known_by_what_others_saw(self):
        alone = Alone(record=Record(3, {"fleet": (4, "b")}))
        alone.charge.wanted = lambda ward: False
        alone.charge.told("b", alone.charge.hello, {"fleet": 11}, 9)
        alone.charge.told("c", alone.charge.hello, {"fleet": 8}, 0)
        alone.run(3)
        alone.charge.asked("c", "fleet", 10, 1, 0)
        self.assertEqual((alone.sent[-1][1], alone.sent[-1][2]["highest"]), ("deny", 11))
        alone.charge.asked("c", "fleet", 14, 1, 0)
        self.assertEqual(alone.sent[-1][1], "grant")
        self.assertEqual(alone.kept[-1].serial, 10)

    def test_nothing_is_granted_that_could_not_be_written_down(self):
        alone = self.settled(asks=False)
        alone.broken_disk = True
        before = len(alone.sent)
        alone.charge.asked("b", "fleet", 7, 1, 0)
        self.assertFalse([kind for _, kind, _ in alone.sent[before:] if kind == "grant"])
        alone.broken_disk = False
        alone.charge.asked("b", "fleet", 7, 2, 0)
        self.assertEqual(alone.sent[-1][1], "grant")

    def test_a_lease_counts_from_the_asking_and_ends_by_the_holders_own_clock(self):
        alone = self.settled()
        asked = alone.last("ask")
        alone.charge.granted("b", "fleet", asked["epoch"], asked["round"], 1)
        epoch = alone.charge.holds("fleet")
        self.assertEqual(epoch, asked["epoch"])
        until_ = alone.charge.bids["fleet"].until
        self.assertEqual(until_, alone.charge.bids["fleet"].asked_at + round(1.9 * SECOND))
        alone.clock = until_ - 1
        self.assertTrue(alone.charge.may_write("fleet", epoch))
        alone.clock = until_
        self.assertFalse(alone.charge.may_write("fleet", epoch))      # before any timer has said so
        alone.charge.granted("c", "fleet", asked["epoch"], asked["round"], 1)
        self.assertFalse(alone.charge.may_write("fleet", epoch))

    def test_a_relay_refuses_an_epoch_below_the_highest_it_has_seen(self):
        tables = Tables(["read"], lambda: 0)
        talk = Talk(tables, {})

        def response(epoch, port):
            made = codec.endpoints("read", [("a", "h", "127.0.0.1", port, 5)], [], 1.0)
            return codec.changes(codec.ENDPOINTS, f"{epoch}.1", "n", [("read", *made)], [])

        talk.read(response(7, 80))
        with self.assertRaises(Refused):
            talk.read(response(4, 81))
        self.assertEqual(tables.lines["read"], {("127.0.0.1", 80): 5})
        talk.read(response(8, 82))
        self.assertEqual(tables.lines["read"], {("127.0.0.1", 82): 5})


class Papers(unittest.TestCase):
    def test_a_record_cut_or_flipped_anywhere_is_no_record(self):
        data = pack(Record(12, {"fleet": (31, "c2")}))
        self.assertEqual(unpack(data), Record(12, {"fleet": (31, "c2")}))
        for at in range(len(data)):
            self.assertIsNone(unpack(data[:at]))
            for bit in range(8):
                self.assertIsNone(unpack(data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1:]))

    def test_a_record_is_put_in_place_whole_or_not_at_all(self):
        with tempfile.TemporaryDirectory() as folder:
            file = RecordFile(pathlib.Path(folder) / "c1")
            self.assertIsNone(file.read())
            self.assertTrue(file.keep(Record(1, {"fleet": (4, "c1")})))
            (pathlib.Path(folder) / "c1.new").write_bytes(b"torn")
            self.assertEqual(file.read(), Record(1, {"fleet": (4, "c1")}))
            self.assertFalse(RecordFile(pathlib.Path(folder) / "none" / "c1").keep(Record(1, {})))

    KEY = b"a key that all of them share"

    def test_messages_are_refused_with_a_reason(self):
        def said(data, key=self.KEY):
            with self.assertRaises(messages.Refused) as caught:
                messages.unpack(key, data[messages.HEAD:], {"c1"}.__contains__)
            return str(caught.exception)

        good = messages.pack(self.KEY, "c1", "release", ward="fleet", epoch=3)
        self.assertEqual(messages.unpack(self.KEY, good[4:], {"c1"}.__contains__), ("c1", "release", {"ward": "fleet", "epoch": 3}))
        self.assertEqual(said(good, b"another key"), "not sealed with the key of this fleet")
        self.assertEqual(said(messages.pack(self.KEY, "c9", "release", ward="fleet", epoch=3)), "'c9' is none of this fleet")
        self.assertEqual(said(messages.pack(self.KEY, "c1", "release", ward="fleet")), "'release' with fields ['ward']")
        self.assertEqual(said(messages.pack(self.KEY, "c1", "release", ward="fleet", epoch=-1)), "epoch is -1")
        self.assertEqual(said(messages.pack(self.KEY, "c1", "tell", hello=1, epochs={"fleet": "x"}, serial=0)), "epochs are not numbers by ward")
        with self.assertRaises(messages.Refused):
            messages.length((1 << 30).to_bytes(4, "big"))

    @settings(max_examples=300, deadline=None)
    @given(some.integers(0, 200), some.binary(min_size=1, max_size=8))
    def test_damage_anywhere_is_refused(self, at, put):
        good = messages.pack(self.KEY, "c1", "ask", ward="fleet", epoch=3, round=1 << 40, serial=2)[4:]
        at %= len(good)
        damaged = good[:at] + put + good[at + len(put):]
        if damaged != good:
            with self.assertRaises(messages.Refused):
                messages.unpack(self.KEY, damaged, {"c1"}.__contains__)


class Processes(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = Fleet(self.folder.name, json.loads((ROOT / "examples/charter.json").read_text()))
        self.addCleanup(self.folder.cleanup)
        self.addAsyncCleanup(self.fleet.end)
        for name in self.fleet.members:
            await self.fleet.start(name)
        await until(self.fleet.holder, 20)
        self.relays = [self.fleet.relay(wire, f"hall-a/{wire}-{nth}") for nth in range(3) for wire in ("sasp", "xds")]
        await until(lambda: self.all_hold(range(8)), 20)

    async def asyncTearDown(self):
        for _, client, task in self.relays:
            client.leave()
            await asyncio.wait([task], timeout=3)

    def all_hold(self, hosts):
        return all({port - 9000 for _, port in lines} == set(hosts) for tables, *_ in self.relays for lines in tables.lines.values())

    async def test_a_stopped_controller_is_replaced_and_nothing_of_it_takes_effect_when_it_wakes(self):
        old = self.fleet.holder()
        self.fleet.signal(old, signal.SIGSTOP)
        await until(lambda: self.fleet.holder() not in (None, old), 15)
        new = self.fleet.holder()
        self.fleet.keep(h2="draining")
        await until(lambda: self.all_hold({0, 1, 3, 4, 5, 6, 7}), 20)
        epochs = [tables.epoch for tables, client, _ in self.relays if isinstance(client, XdsClient)]
        # It wakes with an older list in mind, and is cut off from telling anybody.
        changes = []
        for tables, *_ in self.relays:
            tables.changed = lambda name, tables=tables: changes.append(dict(tables.lines[name]))
        self.fleet.signal(old, signal.SIGCONT)
        await until(lambda: self.fleet.told(old)[-1][0] == "out of charge", 10)
        await asyncio.sleep(1)
        self.assertEqual(changes, [])
        self.assertTrue(self.all_hold({0, 1, 3, 4, 5, 6, 7}))
        self.assertGreater(self.fleet.told(new)[-1][1], self.fleet.told(old)[-1][1])
        self.assertEqual(set(epochs), {self.fleet.told(new)[-1][1]})

    async def test_handover_by_plan_a_rolling_restart_and_all_at_once(self):
        old = self.fleet.holder()
        bare = []
        for tables, *_ in self.relays:
            tables.changed = lambda name, tables=tables: tables.lines[name] or bare.append(name)
        command = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "indigodeck", "handover", "--charter", str(self.fleet.folder / "c0.json"),
            stdout=asyncio.subprocess.PIPE, cwd=ROOT)
        said, _ = await command.communicate()
        self.assertEqual(said.decode().strip(), f"{old} handed over fleet")
        await until(lambda: self.fleet.holder() not in (None, old), 15)
        self.fleet.keep(h3="draining")
        await until(lambda: self.all_hold({0, 1, 2, 4, 5, 6, 7}), 20)
        # All end at once, one of them without its disk; epochs go on and relays are never bare.
        before = max(epoch for name in self.fleet.members for _, epoch in self.fleet.told(name))
        for name in self.fleet.members:
            self.fleet.signal(name, signal.SIGKILL)
            await self.fleet.processes[name].wait()
        (self.fleet.folder / "c1.record").unlink(missing_ok=True)
        for name in self.fleet.members:
            await self.fleet.start(name)
        self.fleet.keep(h4="draining")
        await until(lambda: self.all_hold({0, 1, 2, 5, 6, 7}), 30)
        self.assertGreater(max(epoch for name in self.fleet.members for _, epoch in self.fleet.told(name)), before)
        self.assertEqual(bare, [])


if __name__ == "__main__":
    unittest.main()
