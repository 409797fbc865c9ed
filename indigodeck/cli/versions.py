"""Commands on published versions: `versions list`, `show`, `diff`, `relays`, `rollback` and others.

Requests and answers, and the keys of their JSON objects, are those of `versions/admin_api.py`.
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
    "--class",
    "class_names",
    multiple=True,
    help="Only this class; may be repeated. Default: all classes.",
)
author_option = click.option(
    "--author",
    envvar="USER",
    default="operator",
    show_default="$USER",
    help="Who requests the change.",
)
reason_option = click.option(
    "--reason",
    required=True,
    help="Why the change is requested; becomes part of the version's cause.",
)


@dataclass(frozen=True, slots=True)
class VersionsClient:
    """Sends requests about versions, and prints the answers in one format."""

    targets: OperatorTargets
    output_format: str

    def request(self, **fields: Any) -> Answer:
        """Return the leader's answer to a request; exit if none is reached or all reject it."""
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
        # Only requests that change nothing are answered by several controllers. The leader's answer
        # is the most up to date.
        return max(accepted, key=lambda answer: answer.get("in_charge", True))

    def request_all_pages(
        self, field: str, next_page: Callable[[Answer], Answer], **fields: Any
    ) -> Answer:
        """Return all pages of an answer as one, with the contents of `field` merged.

        `next_page(answer)` returns the request fields for the page after this one.
        """
        answer = self.request(**fields)
        while answer.get("more"):
            page = self.request(**fields, **next_page(answer))
            answer = {**page, field: _merge_pages(answer[field], page[field])}
            if not page[field]:
                break
        return answer

    def print(self, answer: Answer, lines: list[str]) -> None:
        """Print an answer as JSON, or as readable lines."""
        print_answer(self.output_format, answer, lines)

    def change(self, **fields: Any) -> None:
        """Request a change and print what was done; exit with an error if it was not done fully."""
        answer = self.request(**fields)
        self.print(answer, [answer["done"]])
        if "why_not" in answer:
            fail(answer["why_not"], ExitCode.PROBLEM_FOUND)


@click.group(
    help="Show published versions, their causes and the relays that hold them, or roll back to one."
)
@settings_option
@format_option
@click.pass_context
def versions(context: click.Context, settings_path: str, output_format: str) -> None:
    """Create the client for the sub-commands."""
    context.obj = VersionsClient(read_operator_targets(settings_path), output_format)


@versions.command(
    "list", help="List the newest versions, the classes held by rollbacks, and overrides by rules."
)
@click.option("--most", default=20, show_default=True, help="Maximum number of versions.")
@click.pass_obj
def list_versions(client: VersionsClient, most: int) -> None:
    """Print the newest versions, the pins of rollbacks, and where rules override them."""
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


@versions.command(help="Show the tables of a version.")
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


@versions.command(help="Show what changed from one version to another.")
@click.argument("old")
@click.argument("new")
@click.pass_obj
def diff(client: VersionsClient, old: str, new: str) -> None:
    """Print the lines of tables that differ between two versions."""
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
    client.print(answer, lines or ["no differences"])


@versions.command()
@click.pass_obj
def relays(client: VersionsClient) -> None:
    """Show the version that each relay holds, and whether its tables are up to date."""
    answer = client.request_all_pages(
        "relays", lambda page: {"after": page["relays"][-1][0]}, what="relays"
    )
    lines = [
        f"{relay:32} {version:>10}{'' if newest else '  behind'}"
        f"{'' if applied else '  (not confirmed by its process)'}"
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
    """Roll back to a version until it is released. Rules take precedence: see docs/versions.md."""
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
    """End the rollback of classes: they get the current tables again."""
    classes = list(class_names) or None
    client.change(what="release", classes=classes, author=author, reason=reason)


@versions.command()
@click.argument("number")
@click.option("--off", is_flag=True, help="Undo this: the version may be discarded.")
@click.pass_obj
def pin(client: VersionsClient, number: str, off: bool) -> None:
    """Keep a version regardless of its age."""
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
