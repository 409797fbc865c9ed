"""What the assigner must hear and a protocol doesn't carry, worked out from hosts' own reports and from probes.

A weight-advice protocol tells a planner neither what relays met at a server nor what comes to them. What a
planner can know: the load report that each host gives when asked (exchanges completed and failed a second,
exchanges in hand, the time its work takes), and real exchanges that it sends itself. From these:

- Time at a host is the longer of what it says its work takes and what it holds over what it completes
  (Little's law, L = lambda W: J. D. C. Little, "A Proof for the Queuing Formula", 1961), for the time that
  a host states leaves out waiting.
- A host that holds exchanges and completes none, while probes on it go unanswered, fails what it holds,
  whatever its other figures say: a hung host reports the least use of its cores of all.
- What comes to relays is what hosts complete and fail, by class where hosts tell, parted evenly over relays:
  which relay brings how much is unknowable here, and so is what relays refuse or give up.

Times are whole microseconds, rates a second. Nothing here does I/O: the shell asks `due` whom to ask, tells what
came back, and calls `turn` once a period.
"""

from collections import deque
from itertools import zip_longest
from typing import NamedTuple

SECOND = 1_000_000
# A host is tried more closely from its first bad sign until it has shown so many good ones in a row: so often in a
# period that one period suffices for the assigner, which judges nobody by fewer than eight tries.
CLOSELY, REASSURED = 12, 4
# It judges by the median of servers heard of so often, too: in an idle fleet a suspect alone would be its own median, so
# some that answer are tried as closely.
WITNESSES = 2
# `due` is asked far more often than this while the planner runs. Whatever was under way when it was not, has waited for the
# planner: one that had been stopped for 3 s read 3 s into every answer, and closed its levels to a third.
STOOD = 250_000


class Report(NamedTuple):
    """A host's load report: part of its cores busy, exchanges in hand, work time in microseconds, exchanges
    completed and failed a second (None where not told), the same by class.
    """

    cores_busy: float
    in_hand: float
    work_time: int
    completed: float | None = None
    failed: float = 0.0
    by_class: dict = {}


def report_of(given, named):
    """A report from the fields of an ORCA load report and its named metrics; what they hold may be of any type."""
    by_class = {
        name.removeprefix("rps."): float(value)
        for name, value in named.items()
        if name.startswith("rps.")
    }
    failed, rps = float(given.get("eps", 0.0)), given.get("rps_fractional")
    figures = [
        float(given.get("cpu_utilization", 0.0)),
        float(named.get("inflight", 0.0)),
        float(named.get("latency_ms", 0.0)),
        failed,
        0.0 if rps is None else float(rps),
        *by_class.values(),
    ]
    if not all(0 <= figure < 1e9 for figure in figures):
        raise ValueError("a figure that can't be")
    return Report(
        figures[0],
        figures[1],
        round(figures[2] * 1000),
        None if rps is None else max(0.0, figures[4] - failed),
        failed,
        by_class,
    )


class Case:
    """What is known of one host: its last reports and the probes of this period and the last."""

    def __init__(self):
        self.reports, self.probes, self.shown = deque(maxlen=4), deque(maxlen=32), 0
        self.suspect, self.good, self.asked_at, self.tried_at, self.out = False, 0, -1, -1, 0


class HealthInference:
    """`desk`: its `heard`, `demand` and `now` are called. `stated`: the charter as the assigner knows it."""

    def __init__(self, desk, settings, probes_per_s, probes_at_once):
        self.desk, self.settings = desk, settings
        self.rate, self.at_once = probes_per_s, probes_at_once
        self.cases, self.proxies, self.turned_at, self.spent = {}, [], desk.now(), 0.0
        self.budget_at = desk.now()
        self.woke_at = -(1 << 60)  # when the planner last went on after it had stood still

    # The fleet and the relays, as they come and go.

    def listed(self, servers):
        for server in servers:
            if server.state == "gone":
                self.cases.pop(server.index, None)
            elif server.index not in self.cases:
                self.cases[server.index] = Case()

    def unlisted(self, server):
        self.cases.pop(server, None)

    def joined(self, proxy):
        self.proxies.append(proxy)

    def left(self, proxy):
        self.proxies = [other for other in self.proxies if other != proxy]

    # What comes back.

    def reported(self, server, report, at):
        """A load report, which speaks of the moment `at`; one that is older than what is held is late and
        says nothing new.
        """
        case = self.cases.get(server)
        if case is not None and (not case.reports or at > case.reports[-1][0]):
            case.reports.append((at, report))

    def unanswered(self, server):
        """A host did not even give its report."""
        self._sign(server, False)

    def tried(self, server, outcome, took, at):
        """A probe, which is a real exchange, ended: "ok", or why not; after `took`."""
        case = self.cases.get(server)
        if case is not None:
            case.out = max(0, case.out - 1)
            if at - took < self.woke_at or at - self.budget_at > STOOD:
                return
            case.probes.append((at, outcome == "ok", took))
            self._sign(server, outcome == "ok")

    def _sign(self, server, good):
        case = self.cases.get(server)
        if case is None:
            return
        case.good = case.good + 1 if good else 0
        case.suspect = not good or case.suspect and case.good < REASSURED

    # Whom to ask.

    def due(self, now):
        """The hosts to try now, suspects and others by turns, who was tried longest ago first; within the budget."""
        self.spent = max(0.0, self.spent - (now - self.budget_at) * self.rate / SECOND)
        self.woke_at = now if now - self.budget_at > STOOD else self.woke_at
        self.budget_at = now
        out = sum(case.out for case in self.cases.values())
        period, suspects, others = self.settings.report_period, [], []
        doubted = any(case.suspect for case in self.cases.values())
        well = sorted(server for server, case in self.cases.items() if case.good) if doubted else []
        for server, case in self.cases.items():
            closely = case.suspect or server in well[:WITNESSES]
            if now - case.tried_at >= (period // CLOSELY if closely else period) and (
                closely or not case.out
            ):
                (suspects if case.suspect else others).append((case.tried_at, server))
        # By turns: a fleet full of suspects must not keep the others from being tried at all.
        wanted = [
            pick for pair in zip_longest(sorted(suspects), sorted(others)) for pick in pair if pick
        ]
        chosen = []
        for _, server in wanted:
            if out + len(chosen) >= self.at_once or self.spent + 1 > max(1.0, self.rate):
                break
            self.spent += 1
            self.cases[server].out += 1
            self.cases[server].tried_at = now
            chosen.append(server)
        return chosen

    # What the assigner hears.

    def took(self, server):
        """How long exchanges lately took at a host, in microseconds, by its report and by probes; 0 if nothing tells."""
        case = self.cases.get(server)
        return (
            self._met(case, self.desk.now() - 2 * self.settings.report_period, SECOND)[2]
            if case
            else 0
        )

    def turn(self, heard=(), tells=lambda proxy: False):
        """Once a period: what each host met since the last turn, and what relays are taken to bring. `heard`: servers
        that relays themselves told of, whose word is nearer; `tells(proxy)`: whether a relay tells what comes to it.
        """
        now = self.desk.now()
        span, since, self.turned_at = now - self.turned_at, self.turned_at, now
        if span <= 0:
            return
        total, by_class, told = 0.0, {}, 0.0
        for server, case in sorted(self.cases.items()):
            tries, failed, took = self._met(case, since, span)
            # Relays hear of a hung host only when their own patience ends; probes that fail are told beside that.
            if tries and (server not in heard or case.suspect and failed):
                self.desk.heard(
                    self.settings.planner_zone, server, tries, failed, took, span, self._load(case)
                )
            fresh = self._fresh(case, now)
            if fresh and fresh.completed is not None:
                total += fresh.completed + fresh.failed
                for place, rate in fresh.by_class.items():
                    by_class[place] = by_class.get(place, 0.0) + rate
                    told += rate
        self._spread(total, by_class, told, span, tells)

    def _fresh(self, case, now):
        """A report counts for three periods; older, it tells of another day."""
        if case.reports and now - case.reports[-1][0] < 3 * self.settings.report_period:
            return case.reports[-1][1]
        return None

    def _load(self, case):
        report = case.reports[-1][1] if case.reports else None
        return report and {
            "cores_busy": report.cores_busy,
            "in_hand": report.in_hand,
            "work_time": report.work_time,
        }

    def _met(self, case, since, span):
        """(tries, failed, mean time of good ones) of one host in this period."""
        probes = [(good, took) for at, good, took in case.probes if at > since]
        lost = sum(not good for good, _ in probes)
        good_times = [took for good, took in probes if good]
        report, done, bad, took = self._fresh(case, self.desk.now()), 0, 0, 0
        if report is not None and report.completed is not None:
            done, bad = (
                round(report.completed * span / SECOND),
                round(report.failed * span / SECOND),
            )
            if report.completed:
                took = max(report.work_time, round(report.in_hand / report.completed * SECOND))
            if lost and not good_times and not done:
                # It takes exchanges and gives nothing back: what it holds is lost, though it says it is idle.
                bad += max(round(report.in_hand), 0)
        elif report is not None:
            took = report.work_time
        good = done + len(good_times)
        if good:
            took = (took * done + sum(good_times)) // good
        return good + bad + lost, bad + lost, took if good else 0

    def _spread(self, total, by_class, told, span, tells):
        """Demand by relay and class. With several planners hosts tell of all relays, this planner's among
        them, so each relay counts as one of all that the charter states.
        """
        everyone = (
            len(self.proxies)
            if self.settings.planner_count == 1
            else max(len(self.proxies), self.settings.proxy_count)
        )
        if not everyone or not total:
            return
        places = range(len(self.settings.classes))
        for nth, proxy in enumerate(self.proxies):
            for place in () if tells(proxy) else places:
                share = by_class.get(place, 0.0) / told if told else 1 / len(places)
                many = total * share * span / SECOND
                # Whole exchanges, with the remainder going to the first ones, so that the sum is kept.
                mine = int(many * (nth + 1) / everyone) - int(many * nth / everyone)
                self.desk.demand(proxy, place, mine, 0, span)
