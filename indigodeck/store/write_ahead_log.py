"""A store as a log in segments, free of I/O but for one small interface: what is written when, and what a start believes.

Values stand under keys; a commit is one frame with all its changes, so that it is there whole or not at all. Files are
`NNNNNNNN.log`, appended to and never changed, and `NNNNNNNN.base`, which holds what was live of all logs up to that number. (A
log of records with an index in memory, as in J. Sheehy and D. Smith, "Bitcask", 2010; live records are copied out of old
segments as in M. Rosenblum and J. Ousterhout, "The Log-Structured File System", TOCS 1992.)

- A log begins with a head whose `synced` says which sequence number it follows. Recovery changes nothing of what it finds: it begins a
  new log, whose head says how far the others count. So a crash in the middle of recovery is a crash before it.
- A base is written beside, synced, and renamed; the folder is synced before anything that it replaces is removed. The base
  before, and the logs since that one, stay until the next: one bad file, whichever, takes nothing with it.
- After any error of the disk writing stops (a failed sync may have dropped what it did not write: A. Rebello and others, "Can
  Applications Recover from fsync Failures?", ATC 2020); it goes on only in a new log, with what was not acknowledged.
"""

from typing import NamedTuple, Protocol

from . import framing as frames

SEGMENT = 1 << 20  # a log this long is followed by a new one
GARBAGE, AT_LEAST = (
    2,
    256 << 10,
)  # logs since the base, over what is live, that are worth compacting; bytes of them at least
LOGS_MOST = 24  # a start leaves a log behind, however short
KIND = b"indigo 1"
PREFIX = len(KIND) + 16  # and the store's own bytes
HEAD_LONG = PREFIX + frames.HEAD.size + len(frames.packed({}))
KEY_LONGEST = 512


class StoreStoppedError(Exception):
    """Nothing can be written; says why, and which file."""


class Files(Protocol):
    """One folder. Every call may raise OSError. What is appended, renamed or removed outlasts a power cut only after `sync`
    of the file or `sync_folder`.
    """

    def names(self) -> list: ...

    def read(self, name: str) -> bytes: ...

    def read_at(self, name: str, start: int, size: int) -> bytes: ...

    def append(self, name: str, data: bytes) -> None:
        """To the end; the file is made if there is none."""

    def sync(self, name: str) -> None: ...

    def sync_folder(self) -> None: ...

    def rename(self, name: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def fresh(self) -> bytes:
        """16 bytes that no other store has."""


class Place(NamedTuple):
    """Something that was found wrong: the file, from which byte, and what it means."""

    name: str
    start: int
    why: str


class Entry(NamedTuple):
    """Where the newest value of a key stands; `part`: its share of the frame's bytes."""

    name: str
    start: int
    end: int
    sequence: int
    part: float


class Copying:
    """A compaction under way: what is left to copy, and where the copies stand."""

    def __init__(self, number, covers, keys):
        self.number, self.covers, self.left, self.copied, self.size, self.since = (
            number,
            covers,
            keys,
            {},
            0,
            0,
        )


def name_of(number, kind):
    return f"{number:08d}.{kind}"


def numbered(names, kind):
    """{number: name} of the files of one kind, by number."""
    found = {int(name[:8]): name for name in names if name[8:] == "." + kind and name[:8].isdigit()}
    return dict(sorted(found.items()))


class WriteAheadLog:
    """Opens the folder's store, or begins one. `wrong`: [Place] found at the start; `lost`: whether some of that had been
    acknowledged, so that what is held may be older than what was told to others.
    """

    def __init__(self, files):
        self.files, self.index, self.wrong, self.lost = files, {}, [], False
        self.why = self.foreign = self.undone = (
            None  # why nothing can be written; or for good; or compacted
        )
        self.live, self.behind = 0.0, 0  # bytes of live records; of logs since the base
        self.sequence = self.synced = self.number = 0
        self.copying, self.written, self.copied_bytes = None, 0, 0
        self._recover()
        self._begin()

    # Recovery.

    def _recover(self):
        names = self.files.names()
        self.logs, self.bases = numbered(names, "log"), numbered(names, "base")
        self.number, self.read = max([0, *self.logs, *self.bases]), {}
        newest = [*reversed(self.bases.values()), *self.logs.values()]
        self.store = next(filter(None, map(self._identity, newest)), None)
        if self.store is None:
            for name in newest:
                if self._data(name):
                    self.wrong.append(Place(name, 0, "no file here says whose store it is"))
                    # Nothing is appended to a head before that is synced: one that was torn had nothing to lose.
                    self.lost = self.lost or len(self._data(name)) > HEAD_LONG
            self.store = self.files.fresh()
            return
        covered = self._from_base()
        logs = [name for number, name in self.logs.items() if number > covered]
        self._from_logs(logs)
        self.synced, self.read = self.sequence, {}
        for name in logs:
            # A process that ended, but not the machine, leaves bytes that are read here and not on the disk yet.
            try:
                self.files.sync(name)
            except OSError as error:
                self.foreign = f"{name}: {error}"

    def _data(self, name):
        """A file's bytes, read once; those that the newest base covers are not read at all."""
        if name not in self.read:
            try:
                self.read[name] = self.files.read(name)
            except OSError as error:
                self.read[name], self.lost = b"", True
                self.wrong.append(Place(name, 0, f"not readable: {error}"))
        return self.read[name]

    def _identity(self, name):
        """The store's 16 bytes, by a head that is whole: it vouches for itself, being salted with what it says."""
        held = self._data(name)
        claimed = held[len(KIND) : PREFIX]
        return (
            claimed
            if held[: len(KIND)] == KIND and frames.at(frames.salt_of(claimed, name), held, PREFIX)
            else None
        )

    def _scan(self, name):
        """(whole frames, bad places) of a file."""
        held = self._data(name)
        found, bad = frames.scan(frames.salt_of(self.store, name), held, PREFIX)
        if held[:PREFIX] != KIND + self.store:
            bad.insert(0, (0, min(PREFIX, len(held))))
        return found, bad

    def _value(self, name, frame):
        """What a frame holds. One of a form that is not known here is of a newer program, whose store is not written to."""
        try:
            return frames.unpacked(frame.body)
        except frames.UnreadableRecordError as error:
            self.wrong.append(Place(name, frame.start, str(error)))
            self.foreign = f"{name}: {error}"
            return None

    def _from_base(self):
        """Loads the newest base that is whole, and says up to which log it covers; else what can be read of all."""
        read = {}
        for number, name in reversed(self.bases.items()):
            found, bad = read[name] = self._scan(name)
            foot = self._value(name, found[-1]) if found else None
            if (
                not bad
                and len(found) > 1
                and isinstance(foot, dict)
                and foot.get("count") == len(found) - 2
            ):
                self._load(name, found[:-1])
                return number
            self.wrong.append(
                Place(name, bad[0][0] if bad else len(self._data(name)), "a base that is not whole")
            )
        # None is whole: what can be read is proved record by record, but what is missing is not known.
        self.lost = self.lost or bool(read)
        for name in self.bases.values():
            self._load(name, read[name][0])
        return 0

    def _load(self, name, found):
        for frame in found:
            self._take(name, frame)
            # A head's numbers say how far its file counts.
            self.sequence = max(self.sequence, frame.sequence, frame.synced)

    def _take(self, name, frame):
        changes = self._value(name, frame)
        if isinstance(changes, list):
            self._enter(name, frame.start, frame.end, frame.sequence, changes)

    def _enter(self, name, start, end, sequence, changes):
        for key, value in changes:
            old = self.index.get(key)
            if old is not None and old.sequence > sequence:
                continue
            if old is not None:
                self.live -= old.part
                del self.index[key]
            if value is not None:
                self.index[key] = Entry(name, start, end, sequence, (end - start) / len(changes))
                self.live += self.index[key].part

    def _from_logs(self, logs):
        """Each log counts from what its head says it follows to what the next one's head says that one follows."""
        read, follows = {name: self._scan(name) for name in logs}, {}
        for name, (found, _) in read.items():
            if found:
                # Without its head, as far as can be told by what it begins with.
                follows[name] = found[0].synced if found[0].sequence == 0 else found[0].sequence - 1
        # What the frames of all logs vouch for: a number up to this that is missing was acknowledged once.
        vouched = max([frame.synced for found, _ in read.values() for frame in found], default=0)
        for nth, name in enumerate(logs):
            until = next((follows[later] for later in logs[nth + 1 :] if later in follows), None)
            self.behind += len(self._data(name))
            self._from_log(name, *read[name], follows.get(name), until, vouched)

    def _from_log(self, name, found, bad, follows, until, vouched):
        if not found or found[0].sequence:
            self.wrong.append(Place(name, 0, "a log whose head is not whole"))
        if follows is not None and follows > self.sequence:
            self._missing(name, bad, self.sequence + 1, follows, follows)
            self.sequence = follows
        for frame in found:
            if not self.sequence < frame.sequence <= (frame.sequence if until is None else until):
                continue
            if frame.sequence > self.sequence + 1 and not self._missing(
                name,
                bad,
                self.sequence + 1,
                frame.sequence - 1,
                vouched if until is None else until,
            ):
                break
            self._take(name, frame)
            self.sequence = frame.sequence
        if until is None and bad and vouched <= self.sequence:
            self.wrong.append(Place(name, bad[-1][0], "bytes that are no whole record: cut off"))
        elif until is not None and until > self.sequence:
            self._missing(name, bad, self.sequence + 1, until, until)
            self.sequence = until

    def _missing(self, name, bad, first, last, vouched):
        """Records `first` to `last` are not there. Whether that is damage: then what comes after them counts. Else they
        were not synced when the power went, and later ones that landed before them don't count either.
        """
        if vouched < first:
            return False
        self.lost = True
        self.wrong.append(
            Place(
                name, bad[0][0] if bad else 0, f"records {first} to {last} are damaged or missing"
            )
        )
        return True

    # Writing.

    def _begin(self):
        """A new log. It follows what recovery took, or what was acknowledged."""
        if self.foreign is not None:
            self.why = self.foreign
            return
        self.number += 1  # never used again, whether the file comes to be or not
        name, head = name_of(self.number, "log"), self._head(name_of(self.number, "log"), {})
        try:
            self.files.append(name, head)
            self.files.sync(name)
            self.files.sync_folder()
        except OSError as error:
            self._stop(name, error)
            return
        self.logs[self.number] = self.name = name
        self.size, self.sequence, self.why = len(head), self.synced, None

    def _head(self, name, says):
        return (
            KIND + self.store + frames.frame(frames.salt_of(self.store, name), 0, self.synced, says)
        )

    def _stop(self, name, error):
        self.why = f"{name}: {error}"
        self.copying = None

    def commit(self, batches):
        """Writes each batch of changes [(key, value, or None to drop it)] as one record, and syncs once. They are
        acknowledged when this returns; raises Stopped where they may be there or not, ValueError where nothing was
        written as something is too long.
        """
        if self.why is not None:
            self._begin()  # after an error: in a new log, or not at all
        if self.why is not None:
            raise StoreStoppedError(self.why)
        salt, sequence, parts, places, at = (
            frames.salt_of(self.store, self.name),
            self.sequence,
            [],
            [],
            self.size,
        )
        for changes in batches:
            if any(not isinstance(key, str) or len(key) > KEY_LONGEST for key, _ in changes):
                raise ValueError(f"a key is a text of {KEY_LONGEST} characters at most")
            sequence += 1
            data = frames.frame(salt, sequence, self.synced, [list(change) for change in changes])
            parts.append(data)
            places.append((at, at + len(data), sequence, changes))
            at += len(data)
        try:
            self.files.append(self.name, b"".join(parts))
            self.files.sync(self.name)
        except OSError as error:
            self._stop(self.name, error)
            raise StoreStoppedError(self.why) from error
        self.written += at - self.size
        self.behind += at - self.size
        self.sequence = self.synced = sequence
        self.size = at
        for start, end, number, changes in places:
            self._enter(self.name, start, end, number, changes)
        if self.size > SEGMENT:
            self._begin()

    # Reading.

    def keys(self, prefix=""):
        return sorted(key for key in self.index if key.startswith(prefix))

    def get(self, key):
        """The newest value, or None. Proved by its sum at every reading: one that is damaged on the disk is said to be so
        (`wrong`) and never served.
        """
        entry = self.index.get(key)
        if entry is None:
            return None
        try:
            data = self.files.read_at(entry.name, entry.start, entry.end - entry.start)
        except OSError as error:
            self.wrong.append(Place(entry.name, entry.start, f"not readable: {error}"))
            return None
        frame = frames.at(frames.salt_of(self.store, entry.name), data)
        if frame is None or frame.sequence != entry.sequence:
            self.wrong.append(Place(entry.name, entry.start, f"the record of {key!r} is damaged"))
            return None
        return dict(map(tuple, frames.unpacked(frame.body))).get(key)

    # Compaction, a little at a time, between commits.

    def due(self):
        return (
            self.why is None
            and self.undone is None
            and (
                self.copying is not None
                or len(self.logs) > LOGS_MOST
                or (self.behind > max(AT_LEAST, GARBAGE * self.live))
            )
        )

    def compact(self, most=64 << 10):
        """Goes on with a compaction, or begins one, for about so many bytes; True once it is whole and in place."""
        try:
            if self.copying is None:
                self._start_copying()
            return self.why is None and self._copy(most)
        except OSError as error:
            # The logs hold everything; what can't be copied, or written beside them, is left until the next start.
            self.undone, self.copying = str(error), None
            return False

    def _start_copying(self):
        self._begin()
        if self.why is not None:
            return
        # All that is live now stands in the logs before the new one, or in the base.
        number = self.number - 1
        name, head = name_of(number, "new"), self._head(name_of(number, "base"), {})
        if name in self.files.names():
            self.files.remove(name)
        self.files.append(name, head)
        self.copying = Copying(
            number, self.synced, sorted(self.index, key=lambda key: self.index[key].sequence)
        )
        self.copying.size, self.copying.since = len(head), self.behind

    def _copy(self, most):
        copying, done, parts = self.copying, 0, []
        base, name = name_of(copying.number, "base"), name_of(copying.number, "new")
        salt = frames.salt_of(self.store, base)
        while copying.left and done < most:
            key = copying.left.pop(0)
            entry = self.index.get(key)
            if entry is None or entry.sequence > copying.covers:
                continue  # changed since: the logs that stay have it
            value = self.get(key)
            if value is None:
                raise OSError(f"{entry.name}: the record of {key!r} can't be read")
            data = frames.frame(salt, entry.sequence, copying.covers, [[key, value]])
            copying.copied[key] = Entry(
                base, copying.size, copying.size + len(data), entry.sequence, len(data)
            )
            copying.size += len(data)
            parts.append(data)
            done += len(data)
        if parts:
            self.files.append(name, b"".join(parts))
            self.copied_bytes += done
        if copying.left:
            return False
        self.files.append(
            name, frames.frame(salt, copying.covers, copying.covers, {"count": len(copying.copied)})
        )
        self.files.sync(name)
        self._switch(copying, name)
        return True

    def _switch(self, copying, name):
        """The new base stands from when the folder is synced; only then does anything go that it replaces."""
        base = name_of(copying.number, "base")
        self.files.rename(name, base)
        self.files.sync_folder()
        before = max(self.bases, default=0)
        for key, entry in copying.copied.items():
            if key in self.index and self.index[key].sequence == entry.sequence:
                self.live += entry.part - self.index[key].part
                self.index[key] = entry
        self.bases[copying.number] = base
        self.copying, self.behind = None, self.behind - copying.since
        # The base before and the logs since are kept: should this one go bad, everything is there still.
        for held in (
            {number: old for number, old in self.bases.items() if number < before},
            {number: old for number, old in self.logs.items() if number <= before},
        ):
            for number, old in held.items():
                self.files.remove(old)
                (self.bases if old.endswith("base") else self.logs).pop(number)
