"""Who is joined, from news that come over more than one connection. Free of I/O.

Each connection tells the same story, from what stands at its beginning, and may break off, lag or be cut in the middle.
Each joining of a proxy has a number; a connection's view is which joining it speaks of. So what two connections tell is
taken once, and as long as one of them goes on, nobody has to be taken for newly joined when another begins anew.
"""

FRESH = 1_500_000  # a connection heard of within this goes on: signs of life come every second


class View:
    """What one connection has told."""

    def __init__(self, now):
        self.joined, self.numbers, self.whole, self.heard_at = {}, {}, False, now


class Membership:
    """`desk`: its `proxy_joined(proxy, zone, rate, fresh)` and `proxy_left(proxy)` are called; `now()`: microseconds."""

    def __init__(self, desk, now):
        self.desk, self.now = desk, now
        self.views, self.numbers, self.joined = {}, {}, set()

    def opened(self, source):
        self.views[source] = View(self.now())

    def alive(self, source):
        """A sign of life. With the first, what stood at the beginning has been told in full."""
        view = self.views[source]
        view.heard_at = self.now()
        if not view.whole:
            view.whole, view.numbers = True, {**self.numbers, **view.numbers}
            if not self._others(source):
                self._leave(self.joined - view.joined.keys())

    def has_whole(self, source):
        """Whether a connection has told all that stood at its beginning."""
        return source in self.views and self.views[source].whole

    def _others(self, source):
        return [
            view
            for other, view in self.views.items()
            if other is not source and self.now() - view.heard_at < FRESH
        ]

    def hello(self, source, proxy, zone, rate, fresh):
        view, known = self.views[source], self.numbers.get(proxy, 0)
        view.heard_at = self.now()
        if view.whole or proxy in view.joined:
            number = view.numbers.get(proxy, 0) + 1
        else:
            # It stands at the beginning. The same joining as another connection speaks of, or one that was missed.
            same = proxy in self.joined and any(
                proxy in other.joined for other in self._others(source)
            )
            number = known if same else known + 1
        view.numbers[proxy], view.joined[proxy] = number, (zone, rate, fresh)
        if number > known:
            self.numbers[proxy] = number
            self._join(proxy, zone, rate, fresh)

    def _join(self, proxy, zone, rate, fresh):
        if proxy in self.joined:
            self.desk.proxy_left(proxy)  # its stream is a new one, which holds no table of ours
        self.joined.add(proxy)
        self.desk.proxy_joined(proxy, zone, rate, fresh)

    def bye(self, source, proxy):
        view = self.views[source]
        view.heard_at = self.now()
        if view.joined.pop(proxy, None) is not None and view.numbers.get(proxy) == self.numbers.get(
            proxy
        ):
            self._leave({proxy})

    def _leave(self, proxies):
        for proxy in sorted(proxies & self.joined):
            self.joined.discard(proxy)
            self.desk.proxy_left(proxy)

    def closed(self, source):
        """A connection is over. What it was ahead of the others is put right by these; without any, what it told stands
        until the next one begins.
        """
        self.views.pop(source, None)
        whole = [view for view in self.views.values() if view.whole]
        if not whole:
            return
        self._leave(self.joined - set().union(*(view.joined for view in whole)))
        for view in whole:
            for proxy in sorted(view.joined.keys() - self.joined):
                self.numbers[proxy] = max(self.numbers.get(proxy, 0), view.numbers[proxy])
                self._join(proxy, *view.joined[proxy])
