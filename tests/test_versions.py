"""Versions of tables: numbers that are never used twice, chains, holds that keep the rules, and what operators ask."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as some
from rig import SECOND

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.versions import snapshots as sheets
from indigodeck.versions.operator_requests import OperatorRequests, RejectedError
from indigodeck.versions.publisher import TablePublisher
from indigodeck.versions.rollback_pins import COLD, OUT, WARM, brought_together
from indigodeck.versions.version_log import CHAIN, DAY, Number, VersionLog, number

HOSTS = [f"host-{nth}" for nth in range(12)]
Lines = some.dictionaries(some.sampled_from(HOSTS), some.floats(0.01, 5), max_size=8)
Sheets = some.dictionaries(
    some.sampled_from(["0", "1", "2", "3"]),
    some.builds(
        sheets.sheet,
        some.sampled_from(["read", "write"]),
        Lines,
        some.tuples(some.sampled_from([1.0, 0.5]), some.just(1)),
    ),
    max_size=4,
)


class SheetsOf(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(Sheets, Sheets, Sheets)
    def test_a_change_makes_the_new_set_of_the_old_one_and_of_no_other(self, old, new, other):
        changes = json.loads(json.dumps(sheets.changes_of(old, new)))
        self.assertEqual(sheets.changed(old, changes), new)
        self.assertLessEqual(
            sheets.lines_in(changes), sheets.lines_in(new) + sheets.lines_in(old) + 8
        )
        for table, change in changes.items():
            if change and "of" in change and other.get(table) != old[table]:
                with self.assertRaises(sheets.SnapshotMismatchError):
                    sheets.changed(other, changes)


class Shelf:
    """Clock and store for a ledger."""

    def __init__(self):
        self.clock, self.held, self.broken = 10 * DAY, {}, False

    def wall(self):
        return self.clock

    def keep(self, changes):
        for key, value in changes:
            # As it would come back from a disk.
            self.held[key] = None if value is None or self.broken else json.loads(json.dumps(value))
        self.held = {key: value for key, value in self.held.items() if value is not None}

    def kept(self, key):
        return self.held.get(key)

    def keys(self):
        return [key for key in self.held if key.startswith("version/")]


def drawn(chance):
    return {
        str(table): sheets.sheet(
            "read",
            {HOSTS[chance.below(12)]: 1 + chance.below(4) for _ in range(1 + chance.below(6))},
            (1.0, 1),
        )
        for table in range(3)
    }


class Ledgers(unittest.TestCase):
    def setUp(self):
        self.shelf, self.chance = Shelf(), SeededRandom(4)

    def started(self, epoch, **given):
        ledger = VersionLog(self.shelf, self.shelf.keys(), **given)
        ledger.in_charge(epoch)
        return ledger

    def test_any_kept_version_comes_back_as_it_was_over_restarts(self):
        published, ledger = {}, self.started(1)
        for nth in range(200):
            held = {**ledger.sheets, **dict(list(drawn(self.chance).items())[: 1 + nth % 3])}
            version = ledger.published(held, f"change {nth}")
            if version:
                published[version.number] = held
            if nth % 50 == 49:
                ledger = self.started(nth)
        self.assertGreater(len(published), 150)
        self.assertEqual({one: ledger.sheets_of(one) for one in published}, published)
        first, last = min(published), max(published)
        self.assertEqual(
            sheets.changed(published[first], ledger.between(first, last)), published[last]
        )
        wholes = sum(version.first == version.number for version in ledger.versions.values())
        self.assertLessEqual(len(published) / CHAIN, wholes)

    def test_a_restart_alone_makes_no_version_and_no_number_comes_twice(self):
        ledger, held = self.started(3), drawn(self.chance)
        first = ledger.published(held, "a")
        again = self.started(4)
        self.assertIsNone(again.published(json.loads(json.dumps(held)), "the same after a restart"))
        second = again.published(drawn(self.chance), "b")
        self.assertEqual(
            (str(first.number), str(second.number), second.parent), ("3.1", "4.1", first.number)
        )
        # What was published and whose record was lost is not published under its number again.
        self.shelf.broken = True
        lost = again.published(drawn(self.chance), "c")
        self.shelf.broken = False
        later = self.started(5)
        self.assertEqual((str(lost.number), later.newest), ("4.2", second.number))
        self.assertEqual(str(later.published(drawn(self.chance), "d").number), "5.1")
        with self.assertRaises(ValueError):
            number("17")
        self.assertEqual(number("17.3"), Number(17, 3))

    def test_nothing_is_numbered_by_who_is_not_in_charge(self):
        ledger = self.started(3)
        ledger.out_of_charge()
        self.assertIsNone(ledger.published(drawn(self.chance), "a"))
        ledger.in_charge(19)
        self.assertEqual(str(ledger.published(drawn(self.chance), "b").number), "19.1")

    def test_a_chain_with_a_record_missing_or_damaged_is_not_served(self):
        ledger, numbers = self.started(1), []
        for nth in range(20):
            held = dict(ledger.sheets or drawn(self.chance))
            held["0"] = sheets.sheet(
                "read", {**(held["0"]["lines"]), f"host-{nth % 12}": 10 + nth}, (1.0, 1)
            )
            numbers.append(ledger.published(held, "x").number)
        key = sorted(self.shelf.held)[10]
        self.shelf.held[key]["sheets"]["0"]["lines"] = {"host-1": 999.0}
        again = self.started(2)
        good = [again.sheets_of(one) is not None for one in numbers]
        self.assertEqual(good, [nth < 10 for nth in range(len(numbers))])
        self.assertEqual(again.newest, numbers[9])

    def test_old_chains_go_by_count_and_age_but_for_what_is_needed(self):
        ledger = self.started(1, most=100, age=DAY)
        for nth in range(400):
            self.shelf.clock += DAY // 200
            self.assertIsNotNone(ledger.published(drawn(self.chance), "x"))
        needed = {min(ledger.versions)}
        dropped = ledger.tidy(needed)
        self.assertTrue(100 <= len(ledger.versions) < 260, len(ledger.versions))
        self.assertFalse(needed & set(dropped))
        self.assertEqual(len(self.shelf.keys()), len(ledger.versions))
        self.assertTrue(all(ledger.sheets_of(one) for one in ledger.versions))
        self.assertEqual(ledger.tidy(needed), [])
        # Young ones too, where there are twice as many as wanted.
        ledger = self.started(2, most=20, age=1000 * DAY)
        ledger.tidy()
        self.assertLess(len(ledger.versions), 40 + 2 * CHAIN)


class Together(unittest.TestCase):
    @settings(max_examples=500, deadline=None)
    @given(
        some.dictionaries(some.integers(0, 9), some.floats(0.1, 4), min_size=1),
        some.dictionaries(some.integers(0, 9), some.floats(0.1, 4)),
        some.lists(some.sampled_from([OUT, COLD, WARM]), min_size=10, max_size=10),
    )
    def test_rules_come_before_an_old_table(self, old, today, states):
        today = {server: weight for server, weight in today.items() if states[server] != OUT}
        lines, why = brought_together(old, today, states.__getitem__)
        if why:
            return self.assertEqual(lines, today)
        self.assertTrue(lines)
        self.assertFalse([server for server in lines if states[server] == OUT or server not in old])
        self.assertTrue(any(states[server] == WARM for server in lines))
        for server in lines:
            if states[server] == COLD:
                part = lines[server] / sum(lines.values())
                self.assertLessEqual(part, today.get(server, 0) / sum(today.values()) + 1e-9)
            else:
                self.assertEqual(lines[server], old[server])

    def test_what_is_left_of_an_old_table_must_be_enough(self):
        old, today = {0: 1.0, 1: 1.0, 2: 1.0, 3: 1.0}, {4: 1.0, 5: 1.0}
        self.assertEqual(
            brought_together(old, today, lambda server: OUT if server < 2 else WARM)[0],
            {2: 1.0, 3: 1.0},
        )
        self.assertEqual(
            brought_together(old, today, lambda server: OUT if server < 3 else WARM),
            (today, "too little of it is left"),
        )
        self.assertEqual(
            brought_together(old, today, lambda server: COLD if server < 3 else WARM),
            (today, "too little of it is left"),
        )
        self.assertEqual(
            brought_together(old, today, lambda server: COLD if server < 4 else WARM),
            (today, "nobody of it is warm"),
        )


class Planner:
    """A desk and a list, as books see them: 6 tables of two classes over 12 hosts; relays 0 to 5 on one table of each class."""

    def __init__(self, shelf=None, epoch=1, room=10_000):
        self.shelf, self.clock, self.full = shelf or Shelf(), 0, room
        self.lines = {table: {(table + nth) % 12: 1.0 for nth in range(4)} for table in range(6)}
        self.editions, self.states, self.touched, self.notes, self.told = (
            dict.fromkeys(range(6), 0),
            {},
            [],
            [],
            [],
        )
        self.books = TablePublisher(self, ["read", "write"], 2000, DAY)
        if epoch:
            self.books.in_charge(epoch)
        self.books.settle("start")

    def now(self):
        return self.clock

    def wall(self):
        return self.shelf.wall() + self.clock

    def keep(self, changes):
        self.shelf.keep(changes)

    def kept(self, key):
        return self.shelf.kept(key)

    def keys(self, prefix):
        return [key for key in self.shelf.held if key.startswith(prefix)]

    def tables(self):
        return {
            table: (table % 2, lines, (1.0, 1), self.editions[table])
            for table, lines in self.lines.items()
        }

    def name(self, server):
        return HOSTS[server]

    def number(self, name):
        return HOSTS.index(name) if name in HOSTS else None

    def standing(self, server):
        return self.states.get(server, WARM) if 0 <= server < 12 else OUT

    def withdrawn(self):
        return frozenset(server for server, state in self.states.items() if state == OUT)

    def users(self, table):
        return 2

    def relay(self, proxy):
        return f"relay-{proxy}"

    def bound(self, proxy):
        return {0: proxy % 3 * 2, 1: proxy % 3 * 2 + 1}

    def room(self):
        return self.full

    def most(self):
        return 10_000

    def head(self):
        return 6

    def touch(self, table, servers):
        self.touched.append(table)

    def resume(self, held):
        self.resumed = held

    def published(self, version, changes):
        self.last = version, changes

    def wishes_changed(self, document):
        self.told.append(document)

    def note(self, event, **facts):
        self.notes.append((event, facts))

    def change(self, table, why="", **lines):
        self.lines[table] = {int(server[1:]): weight for server, weight in lines.items()}
        self.editions[table] += 1
        if why:
            self.books.because(why)
        self.books.settle("turn")

    def shown(self):
        """{table: {host: weight}} as relays should hold it now."""
        return {
            table: sheet["lines"]
            for table, sheet in self.books.ledger.sheets_of(self.books.newest()).items()
        }


class BooksOf(unittest.TestCase):
    def test_each_change_is_a_version_with_its_cause_and_an_unchanged_set_is_none(self):
        planner = Planner()
        planner.change(0, "server 3 leaves classes [0]: slow", h0=1.0, h1=1.0)
        planner.books.settle("turn")
        planner.states[5] = OUT
        planner.books.settle("list")
        versions = list(planner.books.ledger.versions.values())
        self.assertEqual(
            [(str(one.number), one.cause) for one in versions],
            [
                ("1.1", "in charge under epoch 1"),
                ("1.2", "server 3 leaves classes [0]: slow"),
                ("1.3", "list"),
            ],
        )
        self.assertEqual(
            {table for table, lines in planner.shown().items() if "host-5" in lines}, set()
        )
        again = Planner(planner.shelf, 2)
        again.lines, again.states = planner.lines, planner.states
        again.books.settle("start")
        self.assertEqual(again.books.ledger.sheets, planner.books.ledger.sheets)

    def test_a_rollback_holds_one_class_until_released_and_rules_come_first(self):
        planner = Planner()
        first = planner.books.newest()
        planner.change(0, h8=1.0, h9=1.0, h10=1.0)
        planner.change(1, h8=1.0, h9=1.0, h10=1.0)
        self.assertIn(
            "read held at 1.1", planner.books.rollback(first, ["read"], "duty", "exchanges fail")
        )
        self.assertEqual(
            (set(planner.shown()["0"]), set(planner.shown()["1"])),
            ({"host-0", "host-1", "host-2", "host-3"}, {"host-8", "host-9", "host-10"}),
        )
        last = planner.books.ledger.versions[planner.books.newest()]
        self.assertEqual(
            (last.author, last.cause), ("duty", "rollback of read to 1.1: exchanges fail")
        )
        # What the assigner changes meanwhile is not told; what drains leaves all the same.
        planner.change(0, h8=2.0, h9=1.0)
        self.assertEqual(planner.books.newest(), last.number)
        planner.states[1] = OUT
        planner.books.settle("list")
        self.assertEqual(set(planner.shown()["0"]), {"host-0", "host-2", "host-3"})
        # One that starts anew is guarded: it may have what it has today, which is nothing here.
        planner.states[2] = COLD
        planner.books.settle("list")
        self.assertEqual(set(planner.shown()["0"]), {"host-0", "host-3"})
        # Too few are left: the class goes on with today's table.
        planner.states[3] = OUT
        planner.books.settle("list")
        self.assertEqual(planner.shown()["0"], {"host-8": 2.0, "host-9": 1.0})
        self.assertEqual(
            planner.books.overruled(["read"]), ["tables 0 stay today's: too little of it is left"]
        )
        planner.states.clear()
        planner.books.settle("list")
        self.assertEqual(len(planner.shown()["0"]), 4)
        self.assertEqual(planner.books.release([], "duty", "mended"), "read released")
        self.assertEqual(planner.shown()["0"], {"host-8": 2.0, "host-9": 1.0})

    def test_a_word_takes_effect_once_however_often_and_by_whomever_it_is_said(self):
        planner = Planner()
        first = planner.books.newest()
        planner.change(0, h8=1.0, h9=1.0)
        second = planner.books.newest()
        planner.books.rollback(first, [], "duty", "a")
        held, count = planner.books.newest(), len(planner.books.ledger.versions)
        for _ in range(3):
            self.assertIn("nothing changes", planner.books.rollback(first, [], "duty", "a"))
        self.assertEqual(
            (planner.books.newest(), len(planner.books.ledger.versions)), (held, count)
        )
        # To the one that is published already, by another operator at the same time: said, and held from then on.
        self.assertIn(
            "was held at 1.1 by duty", planner.books.rollback(second, ["read"], "night", "b")
        )
        self.assertEqual(planner.books.wishes.holds["write"].author, "duty")
        self.assertEqual(len(planner.shown()["0"]), 2)
        self.assertIn("nothing changes", planner.books.rollback(second, ["read"], "night", "b"))
        for wrong, classes in ((Number(9, 9), []), (first, ["none"])):
            with self.assertRaises(RejectedError):
                planner.books.rollback(wrong, classes, "duty", "")
        planner.books.release([], "duty", "")
        self.assertEqual(planner.books.release([], "duty", ""), "nothing was held: nothing changes")

    def test_a_version_whose_hosts_are_all_gone_is_said_to_change_nothing_yet(self):
        planner = Planner()
        first = planner.books.newest()
        planner.change(0, h8=1.0, h9=1.0)
        planner.states.update(dict.fromkeys(range(4), OUT))
        planner.books.settle("list")
        before = planner.shown()["0"]
        self.assertIn(
            "tables 0 stay today's: nobody of it is warm",
            planner.books.rollback(first, ["read"], "duty", ""),
        )
        self.assertEqual(planner.shown()["0"], before)

    def test_wishes_outlast_a_restart_and_a_takeover_and_are_not_carried_out_twice(self):
        planner = Planner()
        first = planner.books.newest()
        planner.change(0, h8=1.0, h9=1.0)
        planner.books.rollback(first, ["read"], "duty", "a")
        again = Planner(planner.shelf, 2)
        again.change(0, h8=1.0, h9=1.0)
        self.assertEqual(set(again.shown()["0"]), {"host-0", "host-1", "host-2", "host-3"})
        # Another controller, that copied the versions and the wishes; the same document again changes nothing.
        other = Planner(None, 0)
        for version in planner.books.ledger.versions.values():
            other.books.ledger.copied(version, planner.books.ledger.sheets_of(version.number))
        self.assertEqual(
            [other.books.wishes_copied(planner.told[-1]) for _ in range(2)], [True, False]
        )
        other.books.in_charge(7)
        other.change(0, h8=1.0, h9=1.0)
        self.assertEqual(set(other.shown()["0"]), {"host-0", "host-1", "host-2", "host-3"})
        # Who takes over publishes what was published: no version of its own, until something changes.
        self.assertEqual(other.books.newest(), planner.books.newest())
        other.books.release([], "night", "")
        self.assertEqual(str(other.books.newest()), "7.1")
        self.assertFalse(
            other.books.wishes_copied(planner.told[-1])
        )  # what was said before it is older
        with self.assertRaises(RejectedError):
            Planner(None, 0).books.rollback(first, [], "duty", "")

    def test_the_way_there_and_back_is_paced_by_the_channel(self):
        planner = Planner()
        first = planner.books.newest()
        for table in range(6):
            planner.change(table, h8=1.0, h9=1.0)
        planner.full = 6100  # of 10,000: a little is left of the part that a rollback may fill
        planner.touched.clear()
        planner.books.rollback(first, [], "duty", "a")
        self.assertEqual(len(planner.touched), 4)
        planner.books.settle("turn")
        self.assertEqual(sorted(planner.touched), [0, 1, 2, 3, 4, 5])
        self.assertEqual(
            {one.author for one in list(planner.books.ledger.versions.values())[-2:]}, {"duty"}
        )

    def test_what_relays_hold_is_known_by_version_and_kept(self):
        planner = Planner()
        first = planner.books.newest()
        for proxy in range(3):
            planner.books.took(proxy, first)
        planner.change(0, h8=1.0, h9=1.0)
        self.assertEqual(
            planner.books.relays(),
            [
                ("relay-0", "1.1", False, True),
                ("relay-1", "1.1", True, True),
                ("relay-2", "1.1", True, True),
            ],
        )
        planner.books.took(0, planner.books.newest(), by_program=False)
        self.assertEqual(planner.books.relays()[0], ("relay-0", "1.2", True, False))
        planner.books.spoke(0)
        planner.books.took(0, first)  # told twice, or late: it holds what is newer
        self.assertEqual(planner.books.relays()[0], ("relay-0", "1.2", True, True))
        planner.clock += 20 * SECOND
        planner.books.settle("turn")
        self.assertEqual(
            planner.shelf.held["relays"], {"relay-0": [1, 2], "relay-1": [1, 1], "relay-2": [1, 1]}
        )


class WishesOf(unittest.TestCase):
    def test_pins_and_holds_are_what_must_be_kept(self):
        wishes = OperatorRequests()
        self.assertTrue(wishes.pin((1, 4), True, 1))
        self.assertFalse(wishes.pin((1, 4), True, 1))
        wishes.rollback((1, 9), ["read"], "duty", "", 0, 1)
        self.assertEqual(wishes.needed(), {(1, 4), (1, 9)})
        self.assertEqual(
            OperatorRequests(json.loads(json.dumps(wishes.document()))).document(),
            wishes.document(),
        )
        for nth in range(255):
            wishes.pin((2, nth), True, 2)
        with self.assertRaises(RejectedError):
            wishes.pin((3, 1), True, 2)


if __name__ == "__main__":
    unittest.main()
