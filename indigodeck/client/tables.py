"""What a relay holds and goes by, free of I/O: a table for each class, its age, and picks by weight.

Tables outlive the planner that gave them: a broken connection changes nothing but their age. Picks are even by
weight: stride scheduling (C. Waldspurger and W. Weihl, "Stride Scheduling", MIT/LCS/TM-528, 1995), in which a
newcomer starts level with the others and so gets no burst.
"""


class ClientError(Exception):
    """Whatever a client of a planner may meet."""


class NoServerError(ClientError):
    """The table of a class has no server to pick."""


class RejectedError(ClientError):
    """The planner refuses this relay or what it asked; `code` is the protocol's own."""

    def __init__(self, text, code=None):
        super().__init__(text)
        self.code = code


class Unreachable(ClientError):
    """No planner answers, or one stopped answering."""


class Malfunction(ClientError):
    """A planner sent what can't be understood."""


class Tables:
    """Tables by class: {class: {(address, port): weight}}. `changed(class)`, if given, is called after a change."""

    def __init__(self, classes, now, standing=(), changed=None):
        self.now, self.changed = now, changed
        self.lines = {name: {where: 1 for where in standing} for name in classes}
        self.held_since = dict.fromkeys(classes)  # None: what it started with
        self.passes, self.level, self.out = (
            {name: {} for name in classes},
            dict.fromkeys(classes, 0.0),
            set(),
        )
        self.confirmed = set()  # classes whose table this connection has given
        self.let_in, self.versions = dict.fromkeys(classes, 1.0), {}
        self.epoch = 0  # the highest under which an order came, where orders say

    def opened(self):
        """A new connection: what it first says of a class stands for the whole of its table."""
        self.confirmed.clear()

    def age(self, name):
        """Microseconds since a planner last spoke of the class, or None if none ever did."""
        since = self.held_since[name]
        return None if since is None else self.now() - since

    def told(self, name, entries):
        """Entries (place, weight, confident, out) of one class. Who is `out` takes nothing new, in any case.
        Entries that are not confident say that the planner has no opinion yet: they fill an empty table, and
        change nothing of another.
        """
        before = dict(self.lines[name])
        # That somebody is out is no table: whole ones name who is in, or who has weight 0 beside them.
        lines, sure = (
            dict(before),
            [entry for entry in entries if entry[2] and not (entry[3] and entry[0])],
        )
        if sure and name not in self.confirmed:
            lines = {}
            self.confirmed.add(name)
        for where, weight, confident, out in entries:
            if weight and not out and (confident or not before and name not in self.confirmed):
                lines[where] = weight
            elif out or confident:
                lines.pop(where, None)
        self.held_since[name] = self.now()
        if lines != before:
            self._hold(name, lines)

    def _hold(self, name, lines):
        passes, self.lines[name] = self.passes[name], lines
        self.passes[name] = {
            where: max(passes.get(where, 0.0), self.level[name]) for where in lines
        }
        if self.changed:
            self.changed(name)

    def level_set(self, name, part):
        """How much of a class is let in, where a protocol can say so: `admits` refuses the rest, at once."""
        self.let_in[name] = part

    def admits(self, name, point):
        """Whether an exchange of this class is let in; `point`: its own place between 0 and 1, drawn or hashed."""
        return point < self.let_in[name]

    def shares(self, name):
        """{(address, port): part of the class's exchanges}"""
        total = sum(self.lines[name].values())
        return {where: weight / total for where, weight in self.lines[name].items()}

    def pick(self, name, avoid=()):
        """The next server of a class, but for those to avoid while there are others."""
        lines = self.lines[name]
        if not lines:
            raise NoServerError(f"no server for {name}")
        passes = self.passes[name]
        for where in lines.keys() - passes.keys():
            passes[where] = self.level[name]
        open_to = [where for where in lines if where not in avoid] or list(lines)
        total = sum(lines.values())
        # By place where passes are equal, so that the same calls give the same picks.
        chosen = min(open_to, key=lambda where: (passes[where] + total / lines[where] / 2, where))
        self.level[name] = max(self.level[name], passes[chosen])
        passes[chosen] += total / lines[chosen]
        if passes[chosen] > 1e9:
            self.passes[name] = {where: at - self.level[name] for where, at in passes.items()}
            self.level[name] = 0.0
        return chosen


class ReconnectError:
    """When to dial again: later each time up to a bound, jittered over the whole wait, so that relays that
    lost one planner together do not come back together. `chance`: chance.Chance, seeded by the relay.
    """

    def __init__(self, chance, first=200_000, most=5_000_000):
        self.chance, self.first, self.most, self.failures = chance, first, most, 0

    def failed(self, places=1):
        """Microseconds to wait before the next call. Each of the places is tried once before the wait grows: of several
        controllers all but one refuse, and who waits after each is without orders for most of a takeover.
        """
        round_, nth = divmod(self.failures, max(1, places))
        self.failures += 1
        if nth < places - 1:
            return self.chance.below(self.first // 4)
        bound = min(self.most, self.first << min(round_, 16))
        return bound // 4 + self.chance.below(bound - bound // 4)

    def held(self):
        """A connection gave tables: the next loss starts over."""
        self.failures = 0
