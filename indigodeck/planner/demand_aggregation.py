"""Sums of what relays tell of, free of I/O: taken in at any rate, let through at the rate that the assigner expects.

Relays that report (xDS load reports) tell what they met at each server and what came to them. The assigner is handed at
most so many lines a second, the oldest first; what has to wait adds up with what comes meanwhile, so nothing is lost
and nothing is queued twice. Bounded by servers times halls and relays times classes.
"""

SECOND = 1_000_000


class Sum:
    def __init__(self, since):
        self.since, self.tries, self.failed, self.took, self.good, self.span = since, 0, 0, 0, 0, 0


class DemandAggregator:
    """`desk`: its `heard`, `demand`, `now` are called. `lines_per_s`: lines let through a second."""

    def __init__(self, desk, lines_per_s, report_period):
        self.desk, self.rate, self.period = desk, lines_per_s, report_period
        self.met, self.brought = {}, {}  # (zone, server): Sum; (proxy, place): Sum
        self.spent, self.spent_at = 0.0, desk.now()
        self.spans, self.known, self.dropped = {}, {}, 0

    def told(self, proxy, zone, place, span, met, refused, stream):
        """One relay's report on one class over `span`: met: [(server, issued, failed, mean time of good ones)].

        Spans of one stream can't add up to more than the time that it has been open: what would is a report sent
        twice, or a clock that runs fast, and is left out.
        """
        now = self.desk.now()
        opened, heard = self.spans.setdefault((stream, place), (now, 0))
        if span <= 0 or heard + span > now - opened + 3 * self.period:
            self.dropped += 1
            return False
        self.spans[stream, place] = opened, heard + span
        came, lost = refused, 0
        for server, tries, failed, took in met:
            tries, failed = min(tries, 1 << 31), min(failed, tries, 1 << 31)
            came, lost = came + tries, lost + failed
            if tries:
                held = self.met.setdefault((zone, server), Sum(now))
                held.tries, held.failed, held.span = (
                    held.tries + tries,
                    held.failed + failed,
                    max(held.span, span),
                )
                if took and tries > failed:
                    held.took, held.good = (
                        held.took + took * (tries - failed),
                        held.good + tries - failed,
                    )
        held = self.brought.setdefault((proxy, place), Sum(now))
        held.tries, held.failed, held.span = held.tries + came, held.failed + lost, held.span + span
        self.known[proxy] = now
        return True

    def stream_ended(self, stream):
        for key in [key for key in self.spans if key[0] == stream]:
            del self.spans[key]

    def left(self, proxy):
        self.known.pop(proxy, None)
        for key in [key for key in self.brought if key[0] == proxy]:
            del self.brought[key]

    def tells(self, proxy):
        """Whether a relay reports for itself, lately enough that nothing need be guessed of it."""
        return self.desk.now() - self.known.get(proxy, -SECOND * 1000) < 4 * self.period

    def turn(self, fresh, usual=lambda server: 0):
        """Lets lines through. `fresh(server)`: whether the server is still listed; `usual(server)`: how long exchanges
        take there by its own word, for relays that count but don't time. Returns the servers heard of.
        """
        now = self.desk.now()
        self.spent = max(0.0, self.spent - (now - self.spent_at) * self.rate / SECOND)
        self.spent_at = now
        room = int(max(0.0, self.rate * self.period / SECOND - self.spent))
        oldest = sorted(
            [(held.since, 0, key) for key, held in self.met.items()]
            + [(held.since, 1, key) for key, held in self.brought.items()]
        )
        heard = set()
        for since, which, key in oldest[:room]:
            held = (self.brought if which else self.met).pop(key)
            self.spent += 1
            span = max(held.span, now - since)
            if which:
                self.desk.demand(*key, held.tries, held.failed, max(held.span, 1))
            elif fresh(key[1]):
                heard.add(key[1])
                took = (
                    held.took // held.good
                    if held.good
                    else usual(key[1])
                    if held.tries > held.failed
                    else 0
                )
                self.desk.heard(*key, held.tries, held.failed, took, span, None)
        return heard

    def waiting(self):
        return len(self.met) + len(self.brought)
