"""Commands on published versions: `versions list`, `show`, `diff`, `relays`, `rollback` and others.

Requests and answers are those of `versions/admin_api.py`; their keys are its words.
"""

import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import click

from .controller_group import Answer, OperatorTargets, has_answered, read_operator_targets
from .output import ExitCode, fail, format_option, print_answer, settings_option

class_option = click.option(
    "--class", "class_names", multiple=True, help="Only this class; may be given again."
)
author_option = click.option(
    "--author", envvar="USER", default="operator", show_default="$USER", help="Who says so."
)
reason_option = click.option("--reason", required=True, help="Why: stands in the version's cause.")


@dataclass(frozen=True, slots=True)
class VersionsClient:
    """Asks for versions and prints the answers in one format."""

    targets: OperatorTargets
    output_format: str

    def request(self, **fields: Any) -> Answer:
        """Return the leader's answer to a request; without one the program ends with a code."""
        wish = {name: value for name, value in fields.items() if value is not None}
        answers = self.targets.send_request("versions", wish=wish)
        answered = {name: answer for name, answer in answers.items() if has_answered(answer)}
        if not answered:
            lines = (
                f"{name}: unreached: {answer['unreached']}" for name, answer in answers.items()
            )
            fail("\n".join(lines), ExitCode.UNREACHABLE)
        accepted = [
            answer for answer in answered.values() if "why_not" not in answer or "done" in answer
        ]
        if not accepted:
            lines = (f"{name}: {answer['why_not']}" for name, answer in answered.items())
            fail("\n".join(lines), ExitCode.PROBLEM_FOUND)
        # Several answer only where a request changes nothing: the leader knows best.
        return max(accepted, key=lambda answer: answer.get("in_charge", True))

    def request_all_pages(
        self, field: str, next_page: Callable[[Answer], Answer], **fields: Any
    ) -> Answer:
        """Return all pages of an answer, joined in `field`.

        `next_page(answer)` gives the fields that ask for the page after this answer.
        """
        answer = self.request(**fields)
        while answer.get("more"):
            page = self.request(**fields, **next_page(answer))
            answer = {**page, field: _merge_pages(answer[field], page[field])}
            if not page[field]:
                break
        return answer

    def print(self, answer: Answer, lines: list[str]) -> None:
        """Print an answer as JSON, or as lines for people."""
        print_answer(self.output_format, answer, lines)

    def change(self, **fields: Any) -> None:
        """Request a change and print what was done; what was not done ends with a code."""
        answer = self.request(**fields)
        self.print(answer, [answer["done"]])
        if "why_not" in answer:
            fail(answer["why_not"], ExitCode.PROBLEM_FOUND)


@click.group(
    help="What was published, why, who holds what; and the way back to any version that is kept."
)
@settings_option
@format_option
@click.pass_context
def versions(context: click.Context, settings_path: str, output_format: str) -> None:
    """Prepare the requests of the sub-commands."""
    context.obj = VersionsClient(read_operator_targets(settings_path), output_format)


@versions.command("list", help="The newest versions, what is held, and what rules keep as it is.")
@click.option("--most", default=20, show_default=True, help="So many of the newest.")
@click.pass_obj
def list_versions(client: VersionsClient, most: int) -> None:
    """Print the newest versions, the pins of rollbacks, and where rules overrule them."""
    answer = client.request(what="list")
    while answer["more"] and len(answer["versions"]) < most:
        page = client.request(what="list", before=answer["versions"][-1]["number"])
        listed = answer["versions"] + page["versions"]
        answer = {**answer, "versions": listed, "more": page["more"]}
    answer["versions"] = answer["versions"][:most]
    lines = [_version_line(version) for version in answer["versions"]]
    lines += [
        f"{name} held at {pin['number']} by {pin['author']} "
        f"since {_local_time(pin['at'])}: {pin['reason']}"
        for name, pin in sorted(answer["holds"].items())
    ]
    client.print(answer, lines + answer["overruled"])


@versions.command(help="A version's tables.")
@click.argument("number")
@click.pass_obj
def show(client: VersionsClient, number: str) -> None:
    """Print the tables of one version."""
    answer = client.request_all_pages("tables", _next_tables_page, what="show", number=number)
    version = answer["version"]
    lines = [
        f"{version['number']} after {version['parent']}, {_local_time(version['at'])}, "
        f"content {version['content']}",
        f"  {version['author'] or 'planner'}: {version['cause']}",
    ]
    for number, table in _by_number(answer["tables"]):
        total = sum(table["lines"].values())
        lines.append(f"table {number}, {table['class']}, level {table['level'][0]:g}")
        lines += [
            f"  {host:24} {weight:8.4f} {weight / total:7.2%}"
            for host, weight in table["lines"].items()
        ]
    client.print(answer, lines)


@versions.command(help="What changed from one version to another.")
@click.argument("old")
@click.argument("new")
@click.pass_obj
def diff(client: VersionsClient, old: str, new: str) -> None:
    """Print the table entries that differ between two versions."""
    answer = client.request_all_pages("tables", _next_tables_page, what="diff", old=old, new=new)
    lines = []
    for number, change in _by_number(answer["tables"]):
        levels = change["level"]
        level = f", level {levels}" if levels[0] != levels[1] else ""
        lines.append(f"table {number}, {change['class']}{level}")
        lines += [
            f"  {host:24} {_weight_text(before)} -> {_weight_text(after)}"
            for host, (before, after) in change["lines"].items()
        ]
    client.print(answer, lines or ["nothing differs"])


@versions.command()
@click.pass_obj
def relays(client: VersionsClient) -> None:
    """Which version each relay holds, and whether that is the newest as far as its tables go."""
    answer = client.request_all_pages(
        "relays", lambda page: {"after": page["relays"][-1][0]}, what="relays"
    )
    lines = [
        f"{relay:32} {version:>10}{'' if newest else '  behind'}"
        f"{'' if applied else '  (its machine has it)'}"
        for relay, version, newest, applied in answer["relays"]
    ]
    client.print(answer, lines)
    if not all(newest for _, _, newest, _ in answer["relays"]):
        sys.exit(ExitCode.PROBLEM_FOUND)


@versions.command()
@click.argument("number")
@class_option
@author_option
@reason_option
@click.pass_obj
def rollback(
    client: VersionsClient, number: str, class_names: tuple[str, ...], author: str, reason: str
) -> None:
    """Go back to a version and hold it until released. Rules come first: see docs/versions.md."""
    client.change(
        what="rollback",
        number=number,
        classes=list(class_names) or None,
        author=author,
        reason=reason,
    )


@versions.command()
@class_option
@author_option
@reason_option
@click.pass_obj
def release(client: VersionsClient, class_names: tuple[str, ...], author: str, reason: str) -> None:
    """Let classes follow today's tables again."""
    classes = list(class_names) or None
    client.change(what="release", classes=classes, author=author, reason=reason)


@versions.command()
@click.argument("number")
@click.option("--off", is_flag=True, help="It need no longer be kept.")
@click.pass_obj
def pin(client: VersionsClient, number: str, off: bool) -> None:
    """Keep a version however old it gets."""
    client.change(what="pin", number=number, on=not off)


def _merge_pages(earlier: Any, page: Any) -> Any:
    if isinstance(earlier, dict):
        return {**earlier, **page}
    return earlier + page


def _version_line(version: Answer) -> str:
    pinned = "pinned  " if version["pinned"] else ""
    author = f"{version['author']}: " if version["author"] else ""
    when = _local_time(version["at"])
    return f"{version['number']:>10}  {when}  {pinned}{author}{version['cause']}"


def _next_tables_page(page: Answer) -> Answer:
    return {"after": max(page["tables"])}


def _by_number(tables: dict[str, Answer]) -> Iterator[tuple[str, Answer]]:
    return iter(sorted(tables.items(), key=lambda item: int(item[0])))


def _weight_text(weight: float | None) -> str:
    return "-" if weight is None else str(weight)


def _local_time(wall_clock_us: int) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(wall_clock_us / 1e6))
