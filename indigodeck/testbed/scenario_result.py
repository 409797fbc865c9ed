"""The result of a scenario, from the files that its processes wrote, as JSON and as text."""

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

LONGEST_QUEUE_KEY = "most_waiting_lines"  # in the log event planner_stopping

Result = dict[str, Any]


def new_evidence(settings: PlannerSettings, started_at: int) -> Evidence:
    """Return empty evidence with a planner's settings."""
    deployment = settings.deployment
    # The audit counts all messages to a relay, including answers to its own requests, so the limit
    # is that on all of them.
    channel = dataclasses.replace(
        deployment.channel, max_messages=settings.message_limits.max_messages
    )
    return Evidence(
        dataclasses.replace(deployment, channel=channel), settings.class_names, started_at
    )


def read_files(evidence: Evidence, folder: pathlib.Path, controllers: list[str]) -> None:
    """Add the receipts, outcomes and stream events that processes wrote to a folder.

    `controllers` are in the order in which relays know them.
    """
    for path in sorted(folder.iterdir()):
        if path.name.startswith("receipts-"):
            evidence.receipts += map(Receipt.from_json, read_json_lines(path))
        elif path.name.startswith("outcomes-"):
            for line in read_json_lines(path):
                if "seen" in line:
                    evidence.stream_events.append(_stream_event(line, controllers))
                else:
                    evidence.outcomes.append(Outcome.from_json(line))


def longest_queue(folder: pathlib.Path) -> int:
    """Return the longest queue, in table lines, that a planner logged to a file in a folder."""
    logged = [
        json.loads(line).get(LONGEST_QUEUE_KEY, 0)
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text().splitlines()
        if line.startswith("{") and LONGEST_QUEUE_KEY in line
    ]
    return max(logged, default=0)


def rule_results(evidence: Evidence, queue_length: int) -> list[Result]:
    """Return the verdicts of all rules in the form that results have."""
    results = [_rule_result(evidence, verdict) for verdict in audit.verdicts(evidence)]
    limit = evidence.settings.channel.max_waiting_lines
    results.append(
        {
            "rule": "a short queue (the planner's own count)",
            "kept": queue_length <= limit,
            "worst": queue_length,
            "limit": limit,
            "unit": "lines",
            "cases": [],
        }
    )
    return results


def format_result(result: Result) -> str:
    """Return a result as human-readable text."""
    service = result["service"]
    lines = [f"{result['policy']}: {result['seconds']:g} s, {service['asked']} requests"]
    for rule in result["rules"]:
        lines += _rule_lines(rule)
    lines.append(
        f"  service {service['whole']:.3f}, worst 10 s {service['worst_10_s']:.3f}, "
        f"worst class {service['worst_class']:.3f}"
    )
    lines.append("  service by 5 s  " + " ".join(f"{share:.2f}" for share in service["by_5_s"]))
    counts = service["outcomes"].items()
    lines.append("  " + ", ".join(f"{outcome} {count}" for outcome, count in counts))
    lines.append(
        f"  to relays over {result['wire']}: {result['wire_messages']} messages, "
        f"{result['wire_bytes']} bytes"
    )
    return "\n".join(lines)


def _stream_event(line: dict[str, Any], controllers: list[str]) -> StreamEvent:
    """Parse an event that a relay reports of its own stream, which the proxy cannot read."""
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
