"""The result of a played scenario: read from what its processes wrote, as JSON and for people."""

import dataclasses
import json
import pathlib
from typing import Any

from ..clock import SECOND
from ..planner.planner_settings import PlannerSettings
from . import audit
from .evidence import Evidence, Outcome, Receipt, read_json_lines
from .recording_proxy import StreamEvent, StreamEventType
from .verdict import Verdict

MOST_WAITING_KEY = "most_waiting_lines"  # of the event planner_stopping

Result = dict[str, Any]


def new_evidence(settings: PlannerSettings, started_at: int) -> Evidence:
    """Return evidence without content, judged by a planner's settings."""
    deployment = settings.deployment
    # The audit counts all messages that may be written, answers to relays' own requests too.
    channel = dataclasses.replace(
        deployment.channel, max_messages=settings.message_limits.max_messages
    )
    return Evidence(
        dataclasses.replace(deployment, channel=channel), settings.class_names, started_at
    )


def read_files(evidence: Evidence, folder: pathlib.Path, controllers: list[str]) -> None:
    """Add the receipts and outcomes in a folder; `controllers` by the order relays know them in."""
    for path in sorted(folder.iterdir()):
        if path.name.startswith("receipts-"):
            evidence.receipts += map(Receipt.from_json, read_json_lines(path))
        elif path.name.startswith("outcomes-"):
            for line in read_json_lines(path):
                if "seen" in line:
                    evidence.stream_events.append(_stream_event(line, controllers))
                else:
                    evidence.outcomes.append(Outcome.from_json(line))


def most_waiting_lines(folder: pathlib.Path) -> int:
    """Return the longest queue that any planner in a folder logged, in table lines."""
    logged = [
        json.loads(line).get(MOST_WAITING_KEY, 0)
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text().splitlines()
        if line.startswith("{") and MOST_WAITING_KEY in line
    ]
    return max(logged, default=0)


def rule_results(evidence: Evidence, most_waiting: int) -> list[Result]:
    """Return the verdicts of all rules, as they stand in a result."""
    results = [_rule_result(evidence, verdict) for verdict in audit.verdicts(evidence)]
    limit = evidence.settings.channel.max_waiting_lines
    results.append(
        {
            "rule": "a short queue (the planner's own count)",
            "kept": most_waiting <= limit,
            "worst": most_waiting,
            "limit": limit,
            "unit": "lines",
            "cases": [],
        }
    )
    return results


def format_result(result: Result) -> str:
    """Return a result as text for people."""
    service = result["service"]
    lines = [f"{result['policy']}: {result['seconds']:g} s, {service['asked']} exchanges"]
    for rule in result["rules"]:
        lines += _rule_lines(rule)
    lines.append(
        f"  service {service['whole']:.3f}, worst 10 s {service['worst_10_s']:.3f}, "
        f"worst class {service['worst_class']:.3f}"
    )
    lines.append("  by 5 s  " + " ".join(f"{share:.2f}" for share in service["by_5_s"]))
    counts = service["outcomes"].items()
    lines.append("  " + ", ".join(f"{outcome} {count}" for outcome, count in counts))
    lines.append(
        f"  to relays over {result['wire']}: {result['wire_messages']} messages, "
        f"{result['wire_bytes']} bytes"
    )
    return "\n".join(lines)


def _stream_event(line: dict[str, Any], controllers: list[str]) -> StreamEvent:
    """Read what a relay reports of its own stream, where no proxy can read it."""
    return StreamEvent(
        line["at"],
        line["relay"],
        StreamEventType(line["seen"]),
        line["tables"],
        controllers[line["to"]],
        line["epoch"],
    )


def _rule_result(evidence: Evidence, verdict: Verdict) -> Result:
    cases = [
        {"at_s": round(evidence.seconds_since_start(at), 3), "who": who, "what": what}
        for at, who, what in verdict.cases
    ]
    return {**verdict._asdict(), "cases": cases}


def _rule_lines(rule: Result) -> list[str]:
    scale = SECOND if rule["unit"] == "us" else 1
    unit = "s" if rule["unit"] == "us" else rule["unit"]
    heading = (
        f"  {'kept  ' if rule['kept'] else 'BROKEN'}  {rule['rule']}: "
        f"{rule['worst'] / scale:.3g} of {rule['limit'] / scale:.3g} {unit}"
    )
    cases = [
        f"          {case['at_s']:.2f} s  {case['who']}: {case['what']}" for case in rule["cases"]
    ]
    return [heading, *cases]
