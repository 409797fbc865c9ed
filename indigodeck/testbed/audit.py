"""Judges a day from what passed its sockets: the five rules and service. Knows nothing of the planner.

It is given hosts' receipts, clients' outcomes, the messages that relays were sent, what the list's keeper told and
when planners started, all with times of one clock in microseconds. A verdict is kept or broken by figures, with
the moment and who was concerned.
"""

import json
from collections import defaultdict
from typing import NamedTuple

from ..client.sasp import table_entry
from ..client.tables import TableEntry, Tables
from ..frontends.sasp import codec

SECOND = 1_000_000


class Verdict(NamedTuple):
    """`worst` against `limit`, in `unit`; `cases`: (moment in microseconds, who, what), the first few."""

    rule: str
    kept: bool
    worst: float
    limit: float
    unit: str
    cases: list


class Ear:
    """Reads what a planner wrote, as a relay would."""

    def __init__(self, classes, now):
        self.tables = Tables(classes, now)

    def answered(self, number, kind, code):
        pass

    def weights(self, number, code, interval, groups):
        self.sent_weights(number, groups)

    def sent_weights(self, number, groups):
        for (_, name), entries in groups:
            self.tables.update(name.decode(), [table_entry(entry) for entry in entries])


class Count(Ear):
    """Whether a SASP message names anybody: who is refused is answered, too, but told nothing."""

    def __init__(self):
        self.entries = 0

    def sent_weights(self, number, groups):
        self.entries += sum(len(entries) for _, entries in groups)


def entries(data):
    """How many lines of tables a message gives a relay, over either wire."""
    if not isinstance(data, bytes):
        return sum(len(lines) for _, lines in data)
    count = Count()
    codec.dispatch(data, count)
    return count.entries


class Day:
    """`figures`: the deployment's settings; `max_messages` is what may be written to a relay in all."""

    def __init__(self, figures, classes, begun):
        self.figures, self.classes, self.begun = figures, classes, begun
        self.receipts, self.outcomes, self.seen, self.told, self.starts = [], [], [], [], []
        self.charges = []  # (when it said so, epoch, controller), where there are several

    def moment(self, at):
        return (at - self.begun) / SECOND

    def verdicts(self):
        for kept in (self.receipts, self.outcomes):
            kept.sort(key=lambda line: line["at"])
        self.seen.sort(key=lambda seen: seen.at)
        self.told.sort(key=lambda line: line[0])
        kept = [self.bare(), self.twice(), self.drains(), self.pushed_over(), self.messages()]
        return kept + ([self.followed(), self.ordered()] if self.charges else [])

    def verdict(self, rule, found, limit, unit):
        """`found`: (figure, moment, who, what); broken where a figure is over the limit."""
        broken = sorted((line for line in found if line[0] > limit), key=lambda line: line[1])
        return Verdict(
            rule,
            not broken,
            max((line[0] for line in found), default=0),
            limit,
            unit,
            [(at, who, what) for _, at, who, what in broken[:5]],
        )

    # No proxy is left without a server.

    def bare(self):
        """Time that a joined relay's table for a class names nobody, while a warm host is listed as ready."""
        clock, ears, joined, since, found = [0], {}, set(), {}, []
        ready, limit = {}, self.figures.max_unserved_time
        events = sorted(
            [(seen.at, 0, seen) for seen in self.seen] + [(line[0], 1, line) for line in self.told],
            key=lambda event: event[:2],
        )
        events.append((events[-1][0] + 1 if events else 0, 2, None))
        last_warm = False
        for at, kind, event in events:
            if last_warm:
                for (relay, name), held in since.items():
                    since[relay, name] = held + at - clock[0]
            clock[0] = at
            if kind == 1:
                _, host, state, started = event
                ready.pop(host, None)
                if state == "ready":
                    ready[host] = started
            elif kind == 0:
                ear = ears.setdefault(event.relay, Ear(self.classes, lambda: clock[0]))
                if event.what == "joined":
                    joined.add(event.relay)
                    ear.tables.connection_opened()
                elif event.what == "left":
                    joined.discard(event.relay)
                elif isinstance(event.data, bytes):
                    codec.dispatch(event.data, ear)
                else:
                    for name, entries in event.data:  # of a stream that the relay itself told of
                        ear.tables.replace(
                            name, [TableEntry(tuple(where), *rest) for where, *rest in entries]
                        )
                for name in self.classes:
                    empty = (
                        event.relay in joined
                        and ear.tables.updated_at[name] is not None
                        and not ear.tables.lines[name]
                    )
                    if empty:
                        since.setdefault((event.relay, name), 0)
                    elif (event.relay, name) in since:
                        found.append(
                            (since.pop((event.relay, name)), at, event.relay, f"nobody for {name}")
                        )
            last_warm = any(at - started > self.figures.warm_up_time for started in ready.values())
        found += [
            (held, clock[0], relay, f"nobody for {name}") for (relay, name), held in since.items()
        ]
        # Clients know as well: a relay with nobody to pick says so to each of them.
        runs = defaultdict(list)
        for line in self.outcomes:
            runs[line["relay"], line["class"]].append(line)
        for (relay, name), lines in runs.items():
            first = None
            for line in lines:
                first = (
                    None if line["outcome"] != "nowhere" else line["at"] if first is None else first
                )
                if first is not None and any(
                    self.moment(at) >= 0 and at <= first for at, *_ in self.told
                ):
                    found.append((line["at"] - first, line["at"], relay, f"nowhere for {name}"))
        return self.verdict("no proxy without a server", found, limit, "us")

    # No effect twice.

    def twice(self):
        begun = defaultdict(list)
        for line in self.receipts:
            if line["state"] in ("begun", "silent") and line["key"]:
                begun[line["key"]].append(line)
        found = [
            (
                len(lines),
                lines[1]["at"],
                lines[0]["relay"],
                f"{key} at {', '.join(line['host'] for line in lines)}",
            )
            for key, lines in begun.items()
            if len(lines) > 1
        ]
        return self.verdict("no effect twice", found or [(1, 0, "", "")], 1, "times")

    # Drains are kept.

    def drains(self):
        spans = defaultdict(list)  # relay: [joined, left]
        for seen in self.seen:
            if seen.what == "joined":
                spans[seen.relay].append([seen.at, None])
            elif seen.what == "left" and spans[seen.relay] and spans[seen.relay][-1][1] is None:
                # A connection that ends before it said anything never joined; it must not stretch the one before.
                spans[seen.relay][-1][1] = seen.at
        told, found = defaultdict(list), []
        for at, host, state, _ in self.told:
            told[host].append((at, state))
        for line in self.receipts:
            if line["relay"] not in spans or line["host"] not in told:
                continue
            at = line["at"]
            joined = max(
                (
                    span[0]
                    for span in spans[line["relay"]]
                    if span[0] <= at and (span[1] is None or at < span[1])
                ),
                default=None,
            )
            if joined is None:
                continue  # cut off: it goes on with what it holds
            start = max((started for started in self.starts if started <= joined), default=0)
            out = None
            for when, state in told[line["host"]]:
                # Where gone alone does not bind, only what was said to drain counts as told.
                if start <= when <= at and (
                    state != "gone" or self.figures.removal_is_final or out is not None
                ):
                    out = None if state == "ready" else when if out is None else out
            if out is not None:
                found.append(
                    (
                        at - max(out, joined),
                        at,
                        line["relay"],
                        f"sent to {line['host']}, which is out",
                    )
                )
        return self.verdict("drains kept", found, self.figures.drain_grace, "us")

    # No cold server is pushed over.

    def pushed_over(self):
        by_host, found = defaultdict(list), []
        span, multiple = self.figures.overload_time, self.figures.overload_multiple
        known = {}
        for at, host, state, _ in self.told:
            known.setdefault(host, at)
        for line in self.receipts:
            if line["cold"]:
                by_host[line["host"]].append(line)
        for host, lines in by_host.items():
            first, work = 0, 0
            for line in lines:
                work += line["work"]
                while lines[first]["at"] < line["at"] - span:
                    work -= lines[first]["work"]
                    first += 1
                # Before a planner could know of the start, no order of its own can have brought this.
                if (
                    line["at"] - known.get(host, line["at"]) > self.figures.drain_grace
                    or line["state"] == "fallen"
                ):
                    able = (lines[first]["able"] + line["able"]) / 2
                    found.append(
                        (
                            round(work / (able * span), 3),
                            line["at"],
                            host,
                            f"{work / (able * span):.2f} times what it can do, by {line['relay']} last",
                        )
                    )
        # A little slack for chance, as the count is a budget over the whole window.
        return self.verdict("no cold server pushed over", found, round(multiple * 1.1, 3), "times")

    # The queue stays short.

    def messages(self):
        written, found = defaultdict(list), []
        for seen in self.seen:
            if seen.what == "message":
                # The limit is on what one planner writes: one that started anew knows nothing of another's messages.
                written[
                    seen.relay, seen.by, sum(started <= seen.at for started in self.starts)
                ].append(seen.at)
        most, span = self.figures.channel.max_messages, self.figures.channel.message_window
        for (relay, *_), times in written.items():
            first = 0
            for nth, at in enumerate(times):
                while times[first] <= at - span:
                    first += 1
                found.append((nth - first + 1, at, relay, f"{nth - first + 1} messages"))
        return self.verdict("messages to a relay", found, most or float("inf"), "messages")

    # One controller at a time.

    def followed(self):
        """Orders that a relay was given by any but whom it joined last, or under an epoch below one that it has seen."""
        joined, epochs, found = {}, {}, [(0, 0, "", "")]
        for seen in self.seen:
            if seen.what == "joined":
                joined[seen.relay] = seen.by
            elif seen.what == "message":
                if joined.get(seen.relay, seen.by) != seen.by:
                    found.append(
                        (1, seen.at, seen.relay, f"told by {seen.by}, follows {joined[seen.relay]}")
                    )
                if seen.epoch < epochs.get(seen.relay, 0):
                    found.append(
                        (1, seen.at, seen.relay, f"under {seen.epoch}, after {epochs[seen.relay]}")
                    )
                epochs[seen.relay] = max(seen.epoch, epochs.get(seen.relay, 0))
        return self.verdict("each relay follows one controller", found, 0, "orders")

    def ordered(self):
        """How long after another controller was in charge an order of the one before still left."""
        charges, found, nth = sorted(self.charges), [(0, 0, "", "")], 0
        held = None  # the charge of the highest epoch so far
        for seen in self.seen:
            while nth < len(charges) and charges[nth][0] <= seen.at:
                held, nth = (
                    max(held or charges[nth], charges[nth], key=lambda charge: charge[1]),
                    nth + 1,
                )
            if (
                seen.what == "message"
                and held is not None
                and seen.by != held[2]
                and entries(seen.data)
            ):
                found.append(
                    (
                        seen.at - held[0],
                        seen.at,
                        seen.by,
                        f"told {seen.relay} while {held[2]} is in charge",
                    )
                )
        # So long may a tap take to read what has left, on a machine that is busy.
        return self.verdict("one controller in charge", found, SECOND // 10, "us")

    # Service.

    def service(self, worst_span=10):
        """Credit earned over credit asked for: whole, the worst 10 s, the worst class, and each 5 s."""

        def part(lines):
            asked = sum(line["asked"] for line in lines)
            return sum(line["earned"] for line in lines) / asked if asked else 1.0

        by_class, by_window = defaultdict(list), defaultdict(list)
        for line in self.outcomes:
            by_class[line["class"]].append(line)
            by_window[int(self.moment(line["at"]) // 5)].append(line)
        windows = [
            part(by_window[nth] + by_window[nth + 1])
            for nth in sorted(by_window)
            if nth + 1 in by_window
        ]
        counts = defaultdict(int)
        for line in self.outcomes:
            counts[line["outcome"]] += 1
        return {
            "asked": len(self.outcomes),
            "whole": round(part(self.outcomes), 4),
            "worst_10_s": round(min(windows, default=1.0), 4),
            "worst_class": round(min((part(lines) for lines in by_class.values()), default=1.0), 4),
            "by_5_s": [round(part(by_window[nth]), 3) for nth in sorted(by_window)],
            "outcomes": dict(sorted(counts.items())),
        }


def lines_of(path):
    """The JSON lines of a file; a last one that was cut is left out."""
    found = []
    with open(path) as file:
        for line in file:
            try:
                found.append(json.loads(line))
            except ValueError:
                break
    return found
