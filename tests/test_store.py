"""The store: power cut at every operation and byte, disks that fail, bits that flip; and what it must not forget."""

import errno
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
import unittest
import unittest.mock

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.store import framing as frames
from indigodeck.store import write_ahead_log as log
from indigodeck.store.files import Folder
from indigodeck.store.write_ahead_log import StoreStoppedError, WriteAheadLog
from indigodeck.store.writer import Writer
from indigodeck.testbed.faulty_disk import Disk, PowerCutError

KEYS = [f"key/{nth}" for nth in range(7)]


class Truth:
    """What a store may hold: one of `states`, which are equal as soon as all is acknowledged."""

    def __init__(self, chance):
        self.chance, self.states, self.every, self.nth = chance, [{}], [{}], 0

    def batch(self):
        changes = []
        for key in {KEYS[self.chance.below(len(KEYS))] for _ in range(1 + self.chance.below(3))}:
            self.nth += 1
            changes.append(
                (
                    key,
                    None
                    if self.chance.below(5) == 0
                    else {"nth": self.nth, "fill": "x" * self.chance.below(60)},
                )
            )
        return sorted(changes, key=lambda change: change[0])

    def after(self, state, changes):
        state = dict(state)
        for key, value in changes:
            state.pop(key, None)
            if value is not None:
                state[key] = value
        return state

    def commit(self, store):
        batches, chain = [self.batch() for _ in range(1 + self.chance.below(3))], self.states[:1]
        for changes in batches:
            chain.append(self.after(chain[-1], changes))
        self.states += chain[1:]
        self.every += chain[1:]
        store.commit(batches)
        self.states = chain[-1:]


def held(store):
    return {key: store.get(key) for key in store.keys()}


def play(seed, commits, cut_at=None, again=None, fails=(), process_only=False):
    """Commits and compacts on a disk until its power goes, or to the end; then starts until a start succeeds. `again`: when the
    first of these starts is cut as well. (what was wrong, or None; operations done before the cut)
    """
    chance = SeededRandom(seed)
    disk, truth = Disk(chance, cut_at, fails), Truth(SeededRandom(seed + 1))
    try:
        store = WriteAheadLog(disk)
        for _ in range(commits):
            try:
                truth.commit(store)
            except StoreStoppedError:
                pass
            while store.due() and chance.below(4):
                store.compact(200)
            if len(truth.states) == 1 and held(store) != truth.states[0]:
                return f"seed {seed}: {held(store)} held, {truth.states[0]} acknowledged", disk.done
        return None, disk.done
    except PowerCutError:
        done = disk.done
    for nth in range(3):
        disk = (disk.after_end if process_only else disk.after_cut)(again if nth == 0 else None)
        try:
            store = WriteAheadLog(disk)
            break
        except PowerCutError:
            continue
    disk.cut_at = None
    if held(store) not in truth.states:
        return (
            f"seed {seed}, cut at {cut_at} and {again}: {held(store)} is none of {truth.states}; {store.wrong}",
            done,
        )
    if store.lost:
        return (
            f"seed {seed}, cut at {cut_at} and {again}: said to have lost what it has; {store.wrong}",
            done,
        )
    # It goes on with what it found, and does not come back to what it had left out.
    truth.states = [held(store)]
    truth.commit(store)
    later = WriteAheadLog(disk.after_cut())
    return (
        None
        if held(later) == truth.states[0]
        else f"seed {seed}, cut at {cut_at}: {held(later)} after going on"
    ), done


class Small(unittest.TestCase):
    """Segments and compactions of a few hundred bytes, so that every case of theirs is met within some commits."""

    def setUp(self):
        self.were = log.SEGMENT, log.AT_LEAST, log.GARBAGE
        log.SEGMENT, log.AT_LEAST, log.GARBAGE = 700, 900, 1
        self.addCleanup(self.restore)

    def restore(self):
        log.SEGMENT, log.AT_LEAST, log.GARBAGE = self.were


class PowerCuts(Small):
    def test_a_cut_at_every_operation_leaves_what_was_acknowledged(self):
        most = play(1, 40)[1]
        self.assertGreater(most, 100)
        for cut in range(most):
            for seed in range(1, 5):
                self.assertIsNone(play(seed, 40, cut)[0])

    def test_a_cut_amid_the_recovery_from_a_cut(self):
        for cut in range(0, 120, 3):
            for again in range(6):
                self.assertIsNone(play(cut, 40, cut, again)[0])

    def test_a_process_that_ends_and_then_the_power_goes(self):
        for cut in range(0, 120, 2):
            self.assertIsNone(play(cut, 40, cut, process_only=True)[0])
            self.assertIsNone(play(cut, 40, cut, again=2, process_only=True)[0])

    def test_errors_of_the_disk_stop_a_commit_and_nothing_that_was_acknowledged(self):
        for seed in range(60):
            chance = SeededRandom(seed)
            fails = {
                chance.below(150): (errno.ENOSPC, errno.EIO)[chance.below(2)] for _ in range(12)
            }
            self.assertIsNone(play(seed, 40, fails=fails)[0])
            self.assertIsNone(play(seed, 40, cut_at=30 + seed, fails=fails)[0])


def filled(commits=30, seed=5):
    """A disk with a base before, a base, and logs; and each state that it was ever in, record by record."""
    disk, truth = Disk(SeededRandom(seed)), Truth(SeededRandom(seed + 1))
    store = WriteAheadLog(disk)
    for _ in range(commits):
        truth.commit(store)
        while store.due():
            store.compact(200)
    return disk, truth.every


class Mutants(Small):
    """Each leaves out one thing that the store must do; the cuts above must show it."""

    def caught(self, **kinds):
        seeds = [(seed, cut) for seed in range(40) for cut in range(3 + seed % 3, 130, 7)]
        return any(
            play(seed, 40, cut, process_only=kinds.get("process_only", False))[0]
            for seed, cut in seeds
        )

    def without(self, owner, name, instead, **kinds):
        with unittest.mock.patch.object(owner, name, instead):
            self.assertTrue(self.caught(**kinds), name)

    def test_every_mutant_is_caught(self):
        real_sync, real_folder, real_begin, real_switch = (
            Disk.sync,
            Disk.sync_folder,
            WriteAheadLog._begin,
            WriteAheadLog._switch,
        )
        self.assertFalse(self.caught())
        self.without(
            Disk, "sync", lambda disk, name: real_sync(disk, name) if name.endswith("new") else None
        )
        self.without(
            Disk, "sync", lambda disk, name: None if name.endswith("new") else real_sync(disk, name)
        )
        self.without(Disk, "sync_folder", lambda disk: None)

        def goes_on(store):
            """Appends to the last log that it finds, behind whatever was torn there."""
            logs = [name for name in store.files.names() if name.endswith("log")]
            if (
                not logs
                or store.why is not None
                or store.copying is not None
                or hasattr(store, "size")
            ):
                return real_begin(store)
            store.number = max(log.numbered(logs, "log"))
            store.logs[store.number] = store.name = logs[-1]
            store.size, store.sequence = len(store.files.read(store.name)), store.synced
            return None

        self.without(WriteAheadLog, "_begin", goes_on)

        def removes_first(store, copying, name):
            for number in [number for number in store.logs if number <= copying.number]:
                store.files.remove(store.logs.pop(number))
            real_switch(store, copying, name)

        self.without(WriteAheadLog, "_switch", removes_first)
        self.without(WriteAheadLog, "_missing", lambda store, name, bad, first, last, vouched: True)
        self.without(frames, "at", no_sums(frames.at))


def no_sums(real):
    """Believes any frame whose length fits."""

    def at(salt, data, start=0):
        if len(data) - start < frames.HEAD.size:
            return None
        mark, length, _, sequence, synced = frames.HEAD.unpack_from(data, start)
        end = start + frames.HEAD.size + length
        if mark != frames.MARK or not 0 < length <= frames.LONGEST or end > len(data):
            return None
        try:
            frames.unpacked(bytes(data[start + frames.HEAD.size : end]))
        except frames.UnreadableRecordError:
            return None
        return frames.Frame(
            start, end, sequence, synced, bytes(data[start + frames.HEAD.size : end])
        )

    return at


class Damage(Small):
    """One file of a store cut, or a bit of it flipped, after everything was synced."""

    def setUp(self):
        super().setUp()
        self.disk, self.states = filled()
        self.files = {name: self.disk.read(name) for name in self.disk.names()}
        # Every value that a key ever had, in order.
        self.history = {key: [state.get(key) for state in self.states] for key in KEYS}

    def opened(self, name, data):
        disk = Disk(SeededRandom(3))
        for other, held_ in self.files.items():
            disk.put(other, data if other == name else held_)
        return WriteAheadLog(disk)

    def whole(self):
        store = self.opened(None, b"")
        self.assertEqual((held(store), store.wrong, store.lost), (self.states[-1], [], False))
        self.assertEqual(
            [len(log.numbered(self.files, kind)) > 1 for kind in ("base", "log")], [True, True]
        )
        return store

    def judge(self, store, name, why):
        """Nothing is invented; what differs from the last state is told of, with the file's name."""
        found = held(store)
        for key in KEYS:
            self.assertIn(found.get(key), [None, *self.history[key]], (name, why))
        if found not in self.states:
            self.assertTrue(store.lost, (name, why))
            self.assertIn(name, [place.name for place in store.wrong], why)

    def test_each_file_cut_at_every_byte(self):
        self.whole()
        last = max(name for name in self.files if name.endswith("log"))
        for name, data in self.files.items():
            for size in range(len(data)):
                store = self.opened(name, data[:size])
                self.judge(store, name, size)
                if name == last:
                    # The end of the log is all that a cut may cost: the newest record, or those since.
                    self.assertIn(held(store), self.states, size)
                elif name.endswith("base"):
                    self.assertEqual(held(store), self.states[-1], (name, size))

    def test_each_file_with_a_bit_flipped_anywhere(self):
        for name, data in self.files.items():
            for at in range(len(data)):
                flipped = bytearray(data)
                flipped[at] ^= 1 << at % 8
                store = self.opened(name, bytes(flipped))
                self.judge(store, name, at)
                if name.endswith("base"):
                    self.assertEqual(held(store), self.states[-1], (name, at))

    def test_a_file_that_can_not_be_read_is_said_to_be_so_and_the_rest_is_served(self):
        for name in self.files:
            disk = Disk(SeededRandom(3))
            for other, data in self.files.items():
                disk.put(other, data)
            real = disk.read

            def read(asked, name=name, real=real):
                if asked == name:
                    raise OSError(errno.EIO, "input/output error")
                return real(asked)

            disk.read = read
            store = WriteAheadLog(disk)
            self.judge(store, name, "unreadable")
            disk.read = real
            store.commit([[("key/0", {"nth": 10_000, "fill": ""})]])
            self.assertEqual(store.get("key/0")["nth"], 10_000)

    def test_damage_amid_a_log_is_told_apart_from_an_end_that_was_torn(self):
        disk = Disk(SeededRandom(4))
        store = WriteAheadLog(disk)
        for nth in range(3):
            store.commit([[("a", nth)], [("b", nth)]])
        first, data = "00000001.log", disk.read("00000001.log")
        found, _ = frames.scan(frames.salt_of(store.store, first), data, log.PREFIX)
        for nth, lost in ((3, True), (6, False)):
            flipped = bytearray(data)
            flipped[found[nth].start + 20] ^= 4
            disk = Disk(SeededRandom(4))
            disk.put(first, bytes(flipped))
            again = WriteAheadLog(disk)
            self.assertEqual((again.lost, {place.name for place in again.wrong}), (lost, {first}))
            self.assertEqual(again.get("b"), 2 if lost else 1)

    def test_a_record_that_goes_bad_while_the_store_is_open_is_not_served(self):
        disk = Disk(SeededRandom(4))
        store = WriteAheadLog(disk)
        store.commit([[("a", "x" * 50)], [("b", 2)]])
        entry = store.index["a"]
        disk.held[disk.named[entry.name]][entry.end - 3] ^= 1
        self.assertEqual((store.get("a"), store.get("b")), (None, 2))
        self.assertEqual(store.wrong[0][:2], (entry.name, entry.start))


class Bounds(Small):
    def test_a_store_of_a_newer_program_is_read_and_never_written_to(self):
        disk = Disk(SeededRandom(4))
        store = WriteAheadLog(disk)
        store.commit([[("a", 1)]])
        salt = frames.salt_of(store.store, store.name)
        body = bytes([9]) + b"what is to come"
        made = (
            frames.HEAD.pack(frames.MARK, len(body), frames._sum(salt, len(body), 2, 1, body), 2, 1)
            + body
        )
        disk.append(store.name, made)
        again = WriteAheadLog(disk)
        self.assertEqual(again.get("a"), 1)
        with self.assertRaisesRegex(StoreStoppedError, "newer program"):
            again.commit([[("a", 2)]])

    def test_too_long_is_refused_and_nothing_is_written(self):
        store = WriteAheadLog(Disk(SeededRandom(4)))
        before = store.files.done
        for changes in ([("k" * 600, 1)], [("k", os.urandom(frames.LONGEST))], [(7, 1)]):
            with self.assertRaises(ValueError):
                store.commit([[("a", 1)], changes])
        self.assertEqual((store.files.done, store.keys()), (before, []))

    def test_what_is_held_bounds_what_a_start_reads_however_long_the_history(self):
        read = []
        for commits in (300, 3000):
            disk, truth = Disk(SeededRandom(6)), Truth(SeededRandom(7))
            store = WriteAheadLog(disk)
            for _ in range(commits):
                truth.commit(store)
                if store.due():
                    store.compact(500)
            self.assertEqual(held(WriteAheadLog(disk)), truth.states[0])
            read.append(sum(len(disk.read(name)) for name in disk.names()))
        self.assertLess(read[1], 2 * read[0])


class OnDisk(unittest.TestCase):
    def setUp(self):
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.path = pathlib.Path(made.name) / "store"

    def test_it_is_there_after_a_process_was_killed_amid_commits(self):
        program = (
            "import sys\nfrom indigodeck.store.files import Folder\nfrom indigodeck.store.write_ahead_log import WriteAheadLog as Log\n"
            "store, nth = Log(Folder(sys.argv[1])), 0\n"
            "while True:\n    nth += 1\n    store.commit([[('nth', nth), ('twice', 2 * nth)]])\n    print(nth, flush=True)\n"
        )
        with subprocess.Popen(
            [sys.executable, "-c", program, str(self.path)], stdout=subprocess.PIPE, text=True
        ) as process:
            said = [int(process.stdout.readline()) for _ in range(40)]
            # One process at a time: a second one is refused while the first is at it.
            with self.assertRaisesRegex(OSError, "another process holds it"):
                Folder(self.path)
            process.kill()
            said += [int(line) for line in process.stdout.read().split()]
        folder = Folder(self.path)
        self.addCleanup(folder.close)
        store = WriteAheadLog(folder)
        self.assertIn(store.get("nth"), (said[-1], said[-1] + 1))
        self.assertEqual(store.get("twice"), 2 * store.get("nth"))

    def test_a_folder_that_can_not_be_written_is_read_and_says_so(self):
        folder = Folder(self.path)
        store = WriteAheadLog(folder)
        store.commit([[("a", 1)]])

        def full(name, data):
            raise OSError(errno.ENOSPC, "no space left")

        folder.append, append = full, folder.append
        for _ in range(2):
            with self.assertRaisesRegex(StoreStoppedError, "no space left"):
                store.commit([[("a", 2)]])
        self.assertEqual(store.get("a"), 1)
        folder.append = append
        store.commit([[("a", 3)]])
        folder.close()
        folder = Folder(self.path)
        self.addCleanup(folder.close)
        self.assertEqual(WriteAheadLog(folder).get("a"), 3)


class Together(unittest.TestCase):
    """The thread that writes, on a disk in memory that a test may hold up."""

    def setUp(self):
        self.disk, self.gate, self.notes, self.syncs = (
            Disk(SeededRandom(1)),
            threading.Event(),
            [],
            0,
        )
        self.gate.set()
        self.disk.close = lambda: None
        real = self.disk.sync

        def sync(name):
            self.syncs += 1
            self.gate.wait()
            real(name)

        self.disk.sync = sync
        self.writer = Writer(self.disk, lambda event, **facts: self.notes.append(event))

    def test_all_that_wait_for_one_sync_are_served_by_the_next(self):
        self.gate.clear()
        told = [self.writer.put([(f"k{nth}", nth)]) for nth in range(200)]
        before = self.syncs
        self.gate.set()
        for one in told:
            one.result(10)
        self.assertLessEqual(self.syncs - before, 3)
        self.writer.close()
        self.assertEqual(
            held(WriteAheadLog(self.disk.after_cut())), {f"k{nth}": nth for nth in range(200)}
        )
        with self.assertRaisesRegex(StoreStoppedError, "closed"):
            self.writer.put([("a", 1)]).result(1)

    def test_one_that_can_not_be_written_is_told_and_the_others_do_not_notice(self):
        self.gate.clear()
        told = [self.writer.put([("a" * length, 1)]) for length in (3, 4, 600, 5)]
        self.gate.set()
        self.assertEqual(
            [type(one.exception(10)) for one in told],
            [type(None), type(None), ValueError, type(None)],
        )
        self.writer.close()

    def test_a_full_disk_refuses_and_later_goes_on_with_nothing_half_done(self):
        self.disk.fails = {nth: errno.ENOSPC for nth in range(self.disk.done, self.disk.done + 6)}
        self.assertFalse(self.writer.keep([("a", 1), ("b", 1)]))
        while not self.writer.keep([("a", 2)]):
            pass
        self.assertEqual((self.writer.get("a"), self.writer.get("b")), (2, None))
        self.assertEqual(self.notes, ["store stopped", "store goes on"])
        self.writer.close()
        self.assertEqual(held(WriteAheadLog(self.disk.after_cut())), {"a": 2})

    def test_a_record_of_a_form_unknown_here_is_left_uncompacted_and_writing_goes_on(self):
        with (
            unittest.mock.patch.object(WriteAheadLog, "compact", lambda log, *given: [][0]),
            unittest.mock.patch.object(WriteAheadLog, "due", lambda log: log.undone is None),
        ):
            for nth in range(3):
                self.assertTrue(self.writer.keep([("a", nth)]))
            self.writer.close()
        self.assertEqual(self.notes, ["store not compacted"])
        self.assertEqual(held(WriteAheadLog(self.disk.after_cut())), {"a": 2})

    def test_no_more_wait_than_there_is_room_for(self):
        self.gate.clear()
        told = [self.writer.put([("a", nth)]) for nth in range(5000)]
        self.assertTrue(any(one.done() and "wait already" in str(one.exception()) for one in told))
        self.gate.set()
        self.writer.close()


if __name__ == "__main__":
    unittest.main()
