"""What the assigner keeps, and figures worked out from it; what follows from them stands in choice.py."""

from collections import Counter, defaultdict, deque

from ..clock import SECOND


def weigh(servers):
    return sum(server.weight for server in servers)


def quantile(part, samples):
    """Of values that each come with a weight; None if there are none."""
    left = part * sum(weight for _, weight in samples)
    for value, weight in sorted(samples):
        left -= weight
        if left <= 0:
            return value


class Table:
    """One class's table, or one of its groups of proxies, and what they hold of it. `bound`: to its zone."""

    def __init__(self, number, place, zone, bound, name):
        self.number, self.place, self.zone, self.bound, self.name = number, place, zone, bound, name
        self.members, self.want, self.lines, self.users = [], {}, {}, set()
        self.drawn, self.resized_at, self.level, self.guard = False, 0, None, 1.0

    def near(self, servers):
        """Of these servers, those in the zone of the table's proxies."""
        return {
            index: server for index, server in servers.items() if self.zone in (None, server.zone)
        }

    def halves(self, pool):
        """Near servers and the others, each with the weight of all."""
        near = self.near(pool)
        return [
            (half, weigh(half.values()))
            for half in (near, {i: pool[i] for i in pool if i not in near})
        ]


class Proxy:
    """`seat`: its zone and group; `rate`: what it says it usually gets."""

    def __init__(self, seat, rate, demand):
        self.seat, self.rate, self.joined, self.left_at = seat, rate, True, 0
        self.demand, self.written = demand, deque(maxlen=256)

    def note(self, place, exchanges, span):
        self.demand.setdefault(place, deque(maxlen=3)).append((exchanges, span))

    def asked(self, place, classes):
        """Exchanges a second of a class, as a mean and at the peak of the last reports."""
        samples = self.demand.get(place)
        if not samples:
            return (0.0 if self.demand else self.rate / classes,) * 2
        mean = sum(many for many, _ in samples) * SECOND / sum(span for _, span in samples)
        return mean, max(many * SECOND / span for many, span in samples)


class Proxies(dict):
    """Proxies by number, the tables that each seat is served by, and what they ask for a second."""

    def __init__(self, settings, forget):
        super().__init__()
        self.settings, self.forget, self.serving = settings, forget, defaultdict(list)

    def tables_of(self, number):
        return self.serving[self[number].seat]

    def joined(self):
        return {number for number, proxy in self.items() if proxy.joined}

    def rates(self, now, peak=False):
        """By table, of proxies lately out of reach too; zone-bound classes' at their `peak`, if asked."""
        rates, rises = defaultdict(float), defaultdict(float)
        for number, proxy in self.items():
            if not proxy.joined and now - proxy.left_at > self.forget:
                continue
            for table in self.tables_of(number):
                mean, top = proxy.asked(table.place, len(self.settings.classes))
                rates[table.number] += mean
                if peak and table.bound:
                    rises[table.number] += (top - mean) ** 2  # many proxies' peaks seldom meet
        for number, squares in rises.items():
            rates[number] += squares**0.5
        return rates

    def expected(self, now):
        """The same, with what proxies bring that have not joined yet, or joined another planner."""
        rates, known = self.rates(now), Counter(proxy.seat for proxy in self.values())
        seats, usual = self.settings.proxy_count / len(self.serving), defaultdict(float)
        missing = {seat: max(0.0, seats - known[seat]) for seat in self.serving}
        scale = max(0, self.settings.proxy_count - len(self)) / max(1e-9, sum(missing.values()))
        for table in dict.fromkeys(table for serving in self.serving.values() for table in serving):
            usual[table.place] += rates[table.number] / len(self)
        for seat, serving in self.serving.items():
            for table in serving:
                rates[table.number] += usual[table.place] * missing[seat] * scale
        return rates


class Health:
    """What is known against a server: reports, strikes, the classes it is barred from and until when."""

    def __init__(self, started=0, judge_from=0, spell=0):
        self.started, self.falls, self.judge_from, self.spell = started, 0, judge_from, spell
        self.reports, self.strikes, self.until, self.trial = (
            defaultdict(lambda: deque(maxlen=4)),
            0,
            0,
            0,
        )
        self.barred, self.out, self.doubted, self.probing = frozenset(), False, False, False

    def since(self, moment):
        """Reports that came later and can reflect the last order, with the zone of their proxies."""
        return [
            (zone, report)
            for zone, reports in self.reports.items()
            for report in reports
            if report[0] > max(moment, self.judge_from)
        ]

    def flow(self, now, period):
        """Exchanges a second, tried and completed, by the last reports that are not long past."""
        last = [reports[-1] for reports in self.reports.values() if reports]
        fresh = [report for report in last if now - report[0] < 2 * report[4] + period]
        return (
            sum(tries * SECOND / span for _, tries, _, _, span in fresh),
            sum((tries - failed) * SECOND / span for _, tries, failed, _, span in fresh),
        )


class Channel:
    """The account of one channel: lines that wait, messages written to each proxy, the pace it shows.
    `marks`: {number: (when ordered, how long orders up to it should take at most, lines until then)}.
    """

    def __init__(self, settings, now, forget):
        self.settings, self.forget, self.waiting, self.waited_at, self.pace = (
            settings,
            forget,
            0.0,
            now,
            1.0,
        )
        self.reached, self.marks, self.number = set(), {}, 0
        self.ordered, self.gone, self.lateness, self.answered_at = 0.0, 0.0, 0, now

    def queue(self, now):
        """Lines that wait: by the pace it has shown; where answers are overdue, all that none answers for."""
        sent = (now - self.waited_at) * self.settings.channel.lines_per_second * self.pace / SECOND
        self.waiting, self.waited_at = max(0.0, self.waiting - sent), now
        slow = self.late(now) > self.settings.channel.max_delivery_delay
        return max(self.waiting, self.ordered - self.gone) if slow else self.waiting

    def late(self, now):
        """How much longer than promised orders take, by the last answer and by marks that wait for one."""
        waits = (
            now - at - promised for at, promised, _ in self.marks.values() if now - at < self.forget
        )
        return max(0, self.lateness - (now - self.answered_at), *waits)

    def cost(self, proxies, lines):
        """With a message's head for each proxy that these orders have not yet reached."""
        return (
            len(proxies) * lines
            + len(proxies - self.reached) * self.settings.channel.message_overhead_lines
        )

    def charge(self, proxies, numbers, lines, now):
        self.queue(now)
        cost = self.cost(numbers, lines)
        self.waiting, self.ordered = self.waiting + cost, self.ordered + cost
        for number in numbers - self.reached:
            proxies[number].written.append(now)
        self.reached |= numbers

    def written(self, proxy, now):
        """Messages written to a proxy within the span they are counted over, but for one under way."""
        while proxy.written and proxy.written[0] < now - self.settings.channel.message_window:
            proxy.written.popleft()
        return len(proxy.written)

    def mark(self, now):
        self.number = self.number % 65535 + 1
        promised = (
            self.waiting / self.settings.channel.lines_per_second * SECOND
            + self.settings.channel.max_delivery_delay
        )
        self.marks[self.number] = now, promised, self.ordered
        self.marks.pop((self.number + 65535 - 256) % 65536, None)
        return self.number

    def answered(self, number, took, now):
        """The first answer to a mark tells what has left; those after it add proxies' own stalls."""
        if number in self.marks:
            _, promised, self.gone = self.marks[number]
            self.marks = {other: mark for other, mark in self.marks.items() if mark[2] > self.gone}
            self.lateness, self.answered_at = took - promised, now
            self.pace = max(0.05, min(1.0, promised / max(took, 1)))
