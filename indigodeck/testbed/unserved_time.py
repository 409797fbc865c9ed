"""The rule that no proxy is left without a server, checked by tables and client outcomes."""

from collections import defaultdict
from typing import NamedTuple

from .evidence import Evidence, Outcome, Publication
from .recording_proxy import StreamEvent
from .relay_view import RelayView
from .verdict import Finding, Verdict, compare_with_limit


def no_proxy_without_server(evidence: Evidence) -> Verdict:
    """Check how long joined relays had no server for a class while a warm host was ready."""
    findings = _TableReplay(evidence).run() + _clients_without_server(evidence)
    return compare_with_limit(
        "no proxy without a server", findings, evidence.settings.max_unserved_time, "us"
    )


class _RelayClass(NamedTuple):
    relay: str
    class_name: str


class _TableReplay:
    """Replays the streams of all relays and the published endpoint lists in order of time.

    The time during which a table is empty counts only while a warm host is listed as ready.
    """

    def __init__(self, evidence: Evidence) -> None:
        self._evidence = evidence
        self._clock = 0
        self._views: dict[str, RelayView] = {}
        self._unserved: dict[_RelayClass, int] = {}  # empty tables, each with its time so far
        self._host_starts: dict[str, int] = {}  # start times of ready hosts
        self._findings: list[Finding] = []

    def run(self) -> list[Finding]:
        """Return one finding for each period in which a table was empty."""
        warm_host_ready = False
        events = self._events_by_time()
        for event in events:
            self._advance(event.at, warm_host_ready)
            if isinstance(event, Publication):
                self._apply_publication(event)
            else:
                self._apply_stream_event(event)
            warm_host_ready = self._is_warm_host_ready()
        self._advance(self._clock + 1 if events else 0, warm_host_ready)
        still_empty = [
            Finding(time, self._clock, relay, f"no server in the table of {class_name}")
            for (relay, class_name), time in self._unserved.items()
        ]
        return self._findings + still_empty

    def _events_by_time(self) -> list[StreamEvent | Publication]:
        """Return all events by time; of events at the same time, those of streams come first."""
        events: list[StreamEvent | Publication] = []
        events += self._evidence.stream_events
        events += self._evidence.publications
        return sorted(events, key=lambda event: (event.at, isinstance(event, Publication)))

    def _advance(self, at: int, warm_host_ready: bool) -> None:
        if warm_host_ready:
            for key in self._unserved:
                self._unserved[key] += at - self._clock
        self._clock = at

    def _apply_publication(self, publication: Publication) -> None:
        self._host_starts.pop(publication.host, None)
        if publication.state == "ready":
            self._host_starts[publication.host] = publication.host_started

    def _apply_stream_event(self, event: StreamEvent) -> None:
        view = self._views.get(event.relay)
        if view is None:
            view = RelayView(self._evidence.class_names, lambda: self._clock)
            self._views[event.relay] = view
        view.apply(event)
        for name in self._evidence.class_names:
            key = _RelayClass(event.relay, name)
            if view.has_empty_table(name):
                self._unserved.setdefault(key, 0)
            elif key in self._unserved:
                time = self._unserved.pop(key)
                self._findings.append(
                    Finding(time, event.at, event.relay, f"no server in the table of {name}")
                )

    def _is_warm_host_ready(self) -> bool:
        warm_up_time = self._evidence.settings.warm_up_time
        return any(self._clock - started > warm_up_time for started in self._host_starts.values())


def _clients_without_server(evidence: Evidence) -> list[Finding]:
    """Return how long relays had no server to pick for consecutive client requests."""
    runs: dict[_RelayClass, list[Outcome]] = defaultdict(list)
    for outcome in evidence.outcomes:
        runs[_RelayClass(outcome.relay, outcome.class_name)].append(outcome)
    findings = []
    for key, outcomes in runs.items():
        first: int | None = None
        for outcome in outcomes:
            if outcome.outcome != "nowhere":
                first = None
                continue
            if first is None:
                first = outcome.at
            if _was_list_published(evidence, first):
                unserved = outcome.at - first
                what = f"no server for clients of {key.class_name}"
                findings.append(Finding(unserved, outcome.at, key.relay, what))
    return findings


def _was_list_published(evidence: Evidence, until: int) -> bool:
    return any(
        evidence.seconds_since_start(publication.at) >= 0 and publication.at <= until
        for publication in evidence.publications
    )
