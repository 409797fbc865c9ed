"""Checks a completed scenario against the rules, and measures the service that clients received.

The audit uses nothing of the planner's internal state, only the `Evidence` collected outside it.
Each rule compares measured values with a limit; a breach states its time and the relay, host or
controller involved. The names of the rules appear in results exactly as they are written here.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import Any

from ..clock import SECOND
from .evidence import Evidence, LeaseAcquisition, Outcome, Publication, Receipt
from .recording_proxy import StreamEventType
from .relay_view import count_entries
from .unserved_time import no_proxy_without_server
from .verdict import NO_FINDING, Finding, Verdict, compare_with_limit

OVERLOAD_TOLERANCE = 1.1  # allows for random variation: the limit is a budget per time window
# On a busy machine the recording proxy may read a message this long after it was sent.
READ_DELAY = SECOND // 10
SERVICE_WINDOW_S = 5
STATES_WITH_EFFECT = ("begun", "silent")


def verdicts(evidence: Evidence) -> list[Verdict]:
    """Return the verdict of each rule; leader rules are included only with several controllers."""
    evidence.sort()
    results = [
        no_proxy_without_server(evidence),
        no_effect_twice(evidence),
        drains_kept(evidence),
        no_cold_server_overloaded(evidence),
        messages_to_relay(evidence),
    ]
    if evidence.lease_acquisitions:
        results += [relays_follow_one_controller(evidence), one_leader(evidence)]
    return results


def no_effect_twice(evidence: Evidence) -> Verdict:
    """Check how often a single request took effect."""
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
    return compare_with_limit("no effect twice", findings or [Finding(1, 0, "", "")], 1, "times")


def drains_kept(evidence: Evidence) -> Verdict:
    """Check how long relays kept sending requests to hosts listed as draining or gone."""
    connections = _connections_by_relay(evidence)
    publications: dict[str, list[Publication]] = defaultdict(list)
    for publication in evidence.publications:
        publications[publication.host].append(publication)
    findings = []
    for receipt in evidence.receipts:
        joined = _joined_at(connections.get(receipt.relay, []), receipt.at)
        if joined is None:
            continue  # a disconnected relay keeps using the tables that it has
        started_before = (start for start in evidence.planner_starts if start <= joined)
        planner_start = max(started_before, default=0)
        unavailable_since = _unavailable_since(
            evidence, publications[receipt.host], planner_start, receipt.at
        )
        if unavailable_since is None:
            continue
        what = f"sent a request to {receipt.host}, which is draining or gone"
        late_by = receipt.at - max(unavailable_since, joined)
        findings.append(Finding(late_by, receipt.at, receipt.relay, what))
    return compare_with_limit("drains kept", findings, evidence.settings.drain_grace, "us")


def no_cold_server_overloaded(evidence: Evidence) -> Verdict:
    """Check how much work cold hosts were sent, as a multiple of their capacity."""
    listed_since: dict[str, int] = {}
    for publication in evidence.publications:
        listed_since.setdefault(publication.host, publication.at)
    cold_receipts: dict[str, list[Receipt]] = defaultdict(list)
    for receipt in evidence.receipts:
        if receipt.is_cold:
            cold_receipts[receipt.host].append(receipt)
    findings = []
    for host, receipts in cold_receipts.items():
        findings += _overloads(evidence, receipts, listed_since.get(host))
    limit = round(evidence.settings.overload_multiple * OVERLOAD_TOLERANCE, 3)
    return compare_with_limit("no cold server pushed over", findings, limit, "times")


def messages_to_relay(evidence: Evidence) -> Verdict:
    """Check how many messages one planner wrote to one relay within the time window.

    A restarted planner does not know what its predecessor sent, so its messages are counted
    separately.
    """
    times: dict[tuple[str, str, int], list[int]] = defaultdict(list)
    for event in evidence.stream_events:
        if event.type == StreamEventType.MESSAGE:
            planner = evidence.planner_start_count(event.at)
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
    return compare_with_limit(
        "messages to a relay", findings, channel.max_messages or float("inf"), "messages"
    )


def relays_follow_one_controller(evidence: Evidence) -> Verdict:
    """Check that relays get messages only from the controller joined last, in order of epoch."""
    followed: dict[str, str] = {}
    epochs: dict[str, int] = {}
    findings = [NO_FINDING]
    for event in evidence.stream_events:
        relay = event.relay
        if event.type == StreamEventType.JOINED:
            followed[relay] = event.controller
        elif event.type == StreamEventType.MESSAGE:
            if followed.get(relay, event.controller) != event.controller:
                what = f"message from {event.controller}, but the relay follows {followed[relay]}"
                findings.append(Finding(1, event.at, relay, what))
            newest = epochs.get(relay, 0)
            if event.epoch < newest:
                what = f"message of epoch {event.epoch} after epoch {newest}"
                findings.append(Finding(1, event.at, relay, what))
            epochs[relay] = max(event.epoch, newest)
    return compare_with_limit("each relay follows one controller", findings, 0, "orders")


def one_leader(evidence: Evidence) -> Verdict:
    """Check how long a former leader still sent table entries after another became leader."""
    acquisitions = sorted(evidence.lease_acquisitions)
    findings = [NO_FINDING]
    leader: LeaseAcquisition | None = None  # of the highest epoch so far
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
            what = f"sent table entries to {event.relay} while {leader.controller} is the leader"
            findings.append(Finding(event.at - leader.at, event.at, event.controller, what))
    return compare_with_limit("one controller in charge", findings, READ_DELAY, "us")


def summarize_service(evidence: Evidence) -> dict[str, Any]:
    """Return the share of the requested priority weight that was earned: total, by class, by time.

    "worst_10_s" is the lowest share of any two consecutive windows of 5 s.
    """
    by_class: dict[str, list[Outcome]] = defaultdict(list)
    by_window: dict[int, list[Outcome]] = defaultdict(list)
    for outcome in evidence.outcomes:
        by_class[outcome.class_name].append(outcome)
        window = int(evidence.seconds_since_start(outcome.at) // SERVICE_WINDOW_S)
        by_window[window].append(outcome)
    shares_of_10_s = [
        _earned_share(by_window[window] + by_window[window + 1])
        for window in sorted(by_window)
        if window + 1 in by_window
    ]
    class_shares = [_earned_share(outcomes) for outcomes in by_class.values()]
    counts = Counter(outcome.outcome for outcome in evidence.outcomes)
    return {
        "asked": len(evidence.outcomes),
        "whole": round(_earned_share(evidence.outcomes), 4),
        "worst_10_s": round(min(shares_of_10_s, default=1.0), 4),
        "worst_class": round(min(class_shares, default=1.0), 4),
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
        relay_connections = connections[event.relay]
        if event.type == StreamEventType.JOINED:
            relay_connections.append(_Connection(event.at))
        elif (
            event.type == StreamEventType.LEFT
            and relay_connections
            and relay_connections[-1].left is None
        ):
            # A connection that ends before the relay joined has no entry here. Its end must not
            # overwrite the end of the previous connection.
            relay_connections[-1].left = event.at
    return connections


def _joined_at(connections: list[_Connection], at: int) -> int | None:
    """Return when the connection that was open at this time joined, or None without one."""
    open_since = (
        connection.joined
        for connection in connections
        if connection.joined <= at and (connection.left is None or at < connection.left)
    )
    return max(open_since, default=None)


def _unavailable_since(
    evidence: Evidence, publications: list[Publication], planner_start: int, until: int
) -> int | None:
    """Return since when a host is draining or gone, by lists since the planner's start."""
    unavailable_since: int | None = None
    for publication in publications:
        if not planner_start <= publication.at <= until:
            continue
        # Where removal is not final, a removed host counts only if it was draining before.
        removal_counts = evidence.settings.removal_is_final or unavailable_since is not None
        if publication.state == "gone" and not removal_counts:
            continue
        if publication.state == "ready":
            unavailable_since = None
        elif unavailable_since is None:
            unavailable_since = publication.at
    return unavailable_since


def _overloads(
    evidence: Evidence, receipts: list[Receipt], listed_since: int | None
) -> list[Finding]:
    """Return the load of one cold host in each time window that ends with a request."""
    settings = evidence.settings
    findings = []
    first = 0
    work = 0
    for receipt in receipts:
        work += receipt.work
        while receipts[first].at < receipt.at - settings.overload_time:
            work -= receipts[first].work
            first += 1
        listed_for = 0 if listed_since is None else receipt.at - listed_since
        # A planner cannot have caused an overload before it could know that the host had started.
        if listed_for > settings.drain_grace or receipt.state == "fallen":
            capacity = (receipts[first].capacity + receipt.capacity) / 2
            multiple = work / (capacity * settings.overload_time)
            what = f"{multiple:.2f} times its capacity, last request from {receipt.relay}"
            findings.append(Finding(round(multiple, 3), receipt.at, receipt.host, what))
    return findings


def _earned_share(outcomes: list[Outcome]) -> float:
    asked = sum(outcome.weight_asked for outcome in outcomes)
    return sum(outcome.weight_earned for outcome in outcomes) / asked if asked else 1.0
