"""A disk in memory that keeps what was synced, and of the rest whatever chance says, when its power is cut.

Of each write that was not synced any prefix or any of its sectors may be there, whichever others are: where something later
landed and something earlier did not, zeros stand between. Names come, change and go on the disk with the folder's sync; before it any of these, by itself.
"""


class PowerCutError(Exception):
    """The power is gone."""


class Disk:
    """`log.Files`. `chance`: `below(bound)`; `cut_at`: the operation, counted from 0, that the power is cut in; `fails`:
    {operation: errno} that fail with an error instead, after a part of what they should do.
    """

    def __init__(self, chance, cut_at=None, fails=()):
        self.chance, self.cut_at, self.fails, self.done = chance, cut_at, dict(fails), 0
        self.named, self.held = (
            {},
            {},
        )  # {name: file's number}; {file's number: bytes}, as a running process sees them
        self.safe, self.safe_size = {}, {}  # as they are on the disk: names; how much of each file
        self.pending, self.changes, self.nth = (
            {},
            [],
            0,
        )  # writes not synced: {number: [(start, end)]}; names' changes

    def _operation(self, do, part=None):
        """Counts one operation; the power may go, or it may fail, when a part of it is done."""
        self.done += 1
        if self.cut_at is not None and self.done - 1 >= self.cut_at:
            if part and self.done - 1 == self.cut_at and self.chance.below(2):
                part()
            raise PowerCutError
        if self.done - 1 in self.fails:
            if part and self.chance.below(2):
                part()
            raise OSError(self.fails[self.done - 1], "as the test says")
        return do()

    def names(self):
        return sorted(self.named)

    def read(self, name):
        return bytes(self._bytes(name))

    def read_at(self, name, start, size):
        return bytes(self._bytes(name)[start : start + size])

    def _bytes(self, name):
        if name not in self.named:
            raise FileNotFoundError(2, "no such file", name)
        return self.held[self.named[name]]

    def append(self, name, data):
        def write(most):
            if name not in self.named:
                self.nth += 1
                self.named[name], self.held[self.nth], self.pending[self.nth] = (
                    self.nth,
                    bytearray(),
                    [],
                )
                self.changes.append(("made", name, self.nth))
            number = self.named[name]
            start = len(self.held[number])
            self.held[number] += data[:most]
            self.pending[number].append((start, start + len(data[:most])))

        self._operation(lambda: write(len(data)), lambda: write(self.chance.below(len(data) + 1)))

    def sync(self, name):
        def settle():
            number = self.named[name]
            self.safe_size[number], self.pending[number] = len(self.held[number]), []

        self._bytes(name)
        self._operation(settle)

    def sync_folder(self):
        def settle():
            self.safe, self.changes = dict(self.named), []

        self._operation(settle)

    def rename(self, name, new):
        def move():
            self.named[new] = self.named.pop(name)
            self.changes.append(("moved", name, new))

        self._bytes(name)
        self._operation(move, move)

    def remove(self, name):
        def drop():
            self.changes.append(("gone", name, self.named.pop(name)))

        self._bytes(name)
        self._operation(drop, drop)

    def fresh(self):
        return bytes(self.chance.below(256) for _ in range(16))

    def after_cut(self, cut_at=None, fails=()):
        """The disk as the next start finds it."""
        names = dict(self.safe)
        for what, name, other in self.changes:
            if self.chance.below(2):
                continue
            if what == "made":
                names.setdefault(name, other)
            elif what == "moved" and name in names:
                names[other] = names.pop(name)
            elif what == "gone":
                names.pop(name, None)
        next_one = Disk(self.chance, cut_at, fails)
        for name, number in names.items():
            kept = bytearray(self.held[number][: self.safe_size.get(number, 0)])
            for start, end in self.pending.get(number, ()):
                for first, last in self._landed(start, end):
                    kept += bytes(max(0, first - len(kept)))
                    kept[first:last] = self.held[number][first:last]
            next_one._holds(name, kept)
        return next_one

    def _landed(self, start, end):
        """What of one write is there: all, as much as a prefix, or some sectors."""
        how = self.chance.below(3)
        if how == 0:
            return [(start, end)]
        if how == 1:
            return [(start, start + self.chance.below(end - start + 1))]
        size = 1 + self.chance.below(1 + (end - start) // 2)
        return [(at, min(end, at + size)) for at in range(start, end, size) if self.chance.below(2)]

    def after_end(self, cut_at=None, fails=()):
        """As the next start finds it when only the process ended: all is there, and what was not synced is still not."""
        next_one = Disk(self.chance, cut_at, fails)
        next_one.named, next_one.nth = dict(self.named), self.nth
        next_one.held = {number: bytearray(held) for number, held in self.held.items()}
        next_one.safe, next_one.safe_size = dict(self.safe), dict(self.safe_size)
        next_one.pending = {number: list(writes) for number, writes in self.pending.items()}
        next_one.changes = list(self.changes)
        return next_one

    def _holds(self, name, data):
        self.nth += 1
        self.named[name] = self.safe[name] = self.nth
        self.held[self.nth], self.safe_size[self.nth], self.pending[self.nth] = (
            bytearray(data),
            len(data),
            [],
        )

    def put(self, name, data):
        """Makes a file be so, synced: for tests that cut and flip."""
        self._holds(name, data)
