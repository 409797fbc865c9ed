"""The verdict of a rule on a scenario."""

from typing import NamedTuple

MAX_CASES = 5


class Finding(NamedTuple):
    """A measured value to compare with a rule's limit, with its time and the party involved."""

    value: float
    at: int
    who: str
    what: str


class Case(NamedTuple):
    """One breach of a rule; `at` is in microseconds."""

    at: int
    who: str
    what: str


class Verdict(NamedTuple):
    """A rule's worst value, its limit, and the first breaches."""

    rule: str
    kept: bool
    worst: float
    limit: float
    unit: str
    cases: list[Case]


NO_FINDING = Finding(0, 0, "", "")


def compare_with_limit(rule: str, findings: list[Finding], limit: float, unit: str) -> Verdict:
    """Return the verdict of a rule, which is broken if any value exceeds the limit."""
    breaches = [finding for finding in findings if finding.value > limit]
    breaches.sort(key=lambda finding: finding.at)
    return Verdict(
        rule,
        not breaches,
        max((finding.value for finding in findings), default=0),
        limit,
        unit,
        [Case(at, who, what) for _, at, who, what in breaches[:MAX_CASES]],
    )
