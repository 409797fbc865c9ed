"""A rule's verdict on a played scenario."""

from typing import NamedTuple

LONGEST_CASE_LIST = 5


class Finding(NamedTuple):
    """A figure that counts against a rule's limit, with the moment and who was concerned."""

    figure: float
    at: int
    who: str
    what: str


class Case(NamedTuple):
    """One breach of a rule; `at` in microseconds."""

    at: int
    who: str
    what: str


class Verdict(NamedTuple):
    """A rule's worst figure against its limit, and the first breaches."""

    rule: str
    kept: bool
    worst: float
    limit: float
    unit: str
    cases: list[Case]


NO_FINDING = Finding(0, 0, "", "")


def judge(rule: str, findings: list[Finding], limit: float, unit: str) -> Verdict:
    """Return the verdict of a rule, which is broken where a figure is over the limit."""
    breaches = [finding for finding in findings if finding.figure > limit]
    breaches.sort(key=lambda finding: finding.at)
    return Verdict(
        rule,
        not breaches,
        max((finding.figure for finding in findings), default=0),
        limit,
        unit,
        [Case(at, who, what) for _, at, who, what in breaches[:LONGEST_CASE_LIST]],
    )
