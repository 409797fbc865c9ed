"""Judges a played scenario by what passed its sockets: the rules, and service.

The audit knows nothing of the planner: it goes by `Evidence` alone. A rule is kept or broken by
figures, with the moment and who was concerned. Rules' names stand in the results as they are here.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import Any

from ..clock import SECOND
from .evidence import Evidence, LeaseAcquisition, Outcome, Publication, Receipt
from .recording_proxy import StreamEventType
from .relay_view import count_entries
from .unserved_time import no_proxy_without_server
from .verdict import NO_FINDING, Finding, Verdict, judge

OVERLOAD_SLACK = 1.1  # for chance, as the limit is a budget over the whole window
# So long may the proxy take to read what has left, on a machine that is busy.
READ_DELAY = SECOND // 10
SERVICE_WINDOW_S = 5
STATES_WITH_EFFECT = ("begun", "silent")


def verdicts(evidence: Evidence) -> list[Verdict]:
    """Return the verdict of each rule; those on leaders where there are several controllers."""
    evidence.sort()
    found = [
        no_proxy_without_server(evidence),
        no_effect_twice(evidence),
        drains_kept(evidence),
        no_cold_server_overloaded(evidence),
        messages_to_relay(evidence),
    ]
    if evidence.lease_acquisitions:
        found += [relays_follow_one_controller(evidence), one_leader(evidence)]
    return found


def no_effect_twice(evidence: Evidence) -> Verdict:
    """Judge how often one request took effect."""
    by_key: dict[str, list[Receipt]] = defaultdict(list)
    for receipt in evidence.receipts:
        if receipt.state in STATES_WITH_EFFECT and receipt.key:
            by_key[receipt.key].append(receipt)
    findings = [
        Finding(
            len(receipts),
            receipts[1].at,
            receipts[0].relay,
            f"{key} at {', '.join(receipt.host for receipt in receipts)}",
        )
        for key, receipts in by_key.items()
        if len(receipts) > 1
    ]
    return judge("no effect twice", findings or [Finding(1, 0, "", "")], 1, "times")


def drains_kept(evidence: Evidence) -> Verdict:
    """Judge how long a relay still sent requests to a host after the list said that it drains."""
    connections = _connections_by_relay(evidence)
    publications: dict[str, list[Publication]] = defaultdict(list)
    for publication in evidence.publications:
        publications[publication.host].append(publication)
    findings = []
    for receipt in evidence.receipts:
        joined = _joined_at(connections.get(receipt.relay, []), receipt.at)
        if joined is None:
            continue  # cut off: it goes on with what it holds
        started_before = (start for start in evidence.planner_starts if start <= joined)
        planner_start = max(started_before, default=0)
        out_since = _out_since(evidence, publications[receipt.host], planner_start, receipt.at)
        if out_since is None:
            continue
        what = f"sent to {receipt.host}, which is out"
        late_by = receipt.at - max(out_since, joined)
        findings.append(Finding(late_by, receipt.at, receipt.relay, what))
    return judge("drains kept", findings, evidence.settings.drain_grace, "us")


def no_cold_server_overloaded(evidence: Evidence) -> Verdict:
    """Judge how much work a cold host was sent, as a multiple of what it can do."""
    known_since: dict[str, int] = {}
    for publication in evidence.publications:
        known_since.setdefault(publication.host, publication.at)
    cold_receipts: dict[str, list[Receipt]] = defaultdict(list)
    for receipt in evidence.receipts:
        if receipt.is_cold:
            cold_receipts[receipt.host].append(receipt)
    findings = []
    for host, receipts in cold_receipts.items():
        findings += _overloads(evidence, receipts, known_since.get(host))
    limit = round(evidence.settings.overload_multiple * OVERLOAD_SLACK, 3)
    return judge("no cold server pushed over", findings, limit, "times")


def messages_to_relay(evidence: Evidence) -> Verdict:
    """Judge how many messages one planner wrote to one relay within the window.

    A planner that started anew knows nothing of another's messages: it is counted by itself.
    """
    times: dict[tuple[str, str, int], list[int]] = defaultdict(list)
    for event in evidence.stream_events:
        if event.type == StreamEventType.MESSAGE:
            planner = evidence.planner_starts_until(event.at)
            times[event.relay, event.controller, planner].append(event.at)
    channel = evidence.settings.channel
    findings = []
    for (relay, _, _), written in times.items():
        first = 0
        for index, at in enumerate(written):
            while written[first] <= at - channel.message_window:
                first += 1
            count = index - first + 1
            findings.append(Finding(count, at, relay, f"{count} messages"))
    return judge("messages to a relay", findings, channel.max_messages or float("inf"), "messages")


def relays_follow_one_controller(evidence: Evidence) -> Verdict:
    """Judge messages of any but the controller that the relay joined last, or of an older epoch."""
    followed: dict[str, str] = {}
    epochs: dict[str, int] = {}
    findings = [NO_FINDING]
    for event in evidence.stream_events:
        relay = event.relay
        if event.type == StreamEventType.JOINED:
            followed[relay] = event.controller
        elif event.type == StreamEventType.MESSAGE:
            if followed.get(relay, event.controller) != event.controller:
                what = f"told by {event.controller}, follows {followed[relay]}"
                findings.append(Finding(1, event.at, relay, what))
            newest = epochs.get(relay, 0)
            if event.epoch < newest:
                what = f"under {event.epoch}, after {newest}"
                findings.append(Finding(1, event.at, relay, what))
            epochs[relay] = max(event.epoch, newest)
    return judge("each relay follows one controller", findings, 0, "orders")


def one_leader(evidence: Evidence) -> Verdict:
    """Judge how long after a controller became leader the one before still sent table entries."""
    acquisitions = sorted(evidence.lease_acquisitions)
    findings = [NO_FINDING]
    leader: LeaseAcquisition | None = None  # the one of the highest epoch so far
    next_index = 0
    for event in evidence.stream_events:
        while next_index < len(acquisitions) and acquisitions[next_index].at <= event.at:
            acquired = acquisitions[next_index]
            if leader is None or acquired.epoch > leader.epoch:
                leader = acquired
            next_index += 1
        if leader is None or event.type != StreamEventType.MESSAGE:
            continue
        if event.controller != leader.controller and count_entries(event.data):
            what = f"told {event.relay} while {leader.controller} is in charge"
            findings.append(Finding(event.at - leader.at, event.at, event.controller, what))
    return judge("one controller in charge", findings, READ_DELAY, "us")


def service(evidence: Evidence) -> dict[str, Any]:
    """Return the share of priority weight that was earned: in all, by class, and by time."""
    by_class: dict[str, list[Outcome]] = defaultdict(list)
    by_window: dict[int, list[Outcome]] = defaultdict(list)
    for outcome in evidence.outcomes:
        by_class[outcome.class_name].append(outcome)
        window = int(evidence.seconds_since_start(outcome.at) // SERVICE_WINDOW_S)
        by_window[window].append(outcome)
    of_two_windows = [
        _earned_share(by_window[window] + by_window[window + 1])
        for window in sorted(by_window)
        if window + 1 in by_window
    ]
    of_classes = [_earned_share(outcomes) for outcomes in by_class.values()]
    counts = Counter(outcome.outcome for outcome in evidence.outcomes)
    return {
        "asked": len(evidence.outcomes),
        "whole": round(_earned_share(evidence.outcomes), 4),
        "worst_10_s": round(min(of_two_windows, default=1.0), 4),
        "worst_class": round(min(of_classes, default=1.0), 4),
        "by_5_s": [round(_earned_share(by_window[window]), 3) for window in sorted(by_window)],
        "outcomes": dict(sorted(counts.items())),
    }


@dataclass(slots=True)
class _Connection:
    joined: int
    left: int | None = None


def _connections_by_relay(evidence: Evidence) -> dict[str, list[_Connection]]:
    connections: dict[str, list[_Connection]] = defaultdict(list)
    for event in evidence.stream_events:
        of_relay = connections[event.relay]
        if event.type == StreamEventType.JOINED:
            of_relay.append(_Connection(event.at))
        elif event.type == StreamEventType.LEFT and of_relay and of_relay[-1].left is None:
            # A connection that ends before it said anything never joined; it must not stretch
            # the one before.
            of_relay[-1].left = event.at
    return connections


def _joined_at(connections: list[_Connection], at: int) -> int | None:
    """Return when a relay joined whose connection stood at this time; None if none did."""
    standing = (
        connection.joined
        for connection in connections
        if connection.joined <= at and (connection.left is None or at < connection.left)
    )
    return max(standing, default=None)


def _out_since(
    evidence: Evidence, publications: list[Publication], planner_start: int, until: int
) -> int | None:
    """Return since when a host is draining or gone, as a planner of this start could know."""
    out_since: int | None = None
    for publication in publications:
        if not planner_start <= publication.at <= until:
            continue
        # Where removal is not final, only what was said to drain before counts as out.
        removal_counts = evidence.settings.removal_is_final or out_since is not None
        if publication.state == "gone" and not removal_counts:
            continue
        if publication.state == "ready":
            out_since = None
        elif out_since is None:
            out_since = publication.at
    return out_since


def _overloads(
    evidence: Evidence, receipts: list[Receipt], known_since: int | None
) -> list[Finding]:
    """Return what one cold host was sent within each window that ends with a request."""
    settings = evidence.settings
    findings = []
    first = 0
    work = 0
    for receipt in receipts:
        work += receipt.work
        while receipts[first].at < receipt.at - settings.overload_time:
            work -= receipts[first].work
            first += 1
        known_for = 0 if known_since is None else receipt.at - known_since
        # Before a planner could know of the start, no table of its own can have caused this.
        if known_for > settings.drain_grace or receipt.state == "fallen":
            capacity = (receipts[first].capacity + receipt.capacity) / 2
            multiple = work / (capacity * settings.overload_time)
            what = f"{multiple:.2f} times what it can do, by {receipt.relay} last"
            findings.append(Finding(round(multiple, 3), receipt.at, receipt.host, what))
    return findings


def _earned_share(outcomes: list[Outcome]) -> float:
    asked = sum(outcome.weight_asked for outcome in outcomes)
    return sum(outcome.weight_earned for outcome in outcomes) / asked if asked else 1.0
