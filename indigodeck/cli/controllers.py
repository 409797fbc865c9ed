"""Commands on the controllers that share a group: `fleet` with its changes, and `handover`."""

import asyncio
import json
import sys
import time
from collections.abc import Callable, Iterator

import click

from .controller_group import (
    Answer,
    ControllerGroup,
    any_answered,
    has_answered,
    read_controller_group,
    send_request_to_all,
)
from .output import ExitCode, fail, format_option, settings_option

MemberAddresses = dict[str, str]  # the address of each controller, "ADDRESS:PORT"
Follower = list[str]  # of one relay: its uid, the frontend it uses, the relay group's name

CHANGE_TIMEOUT_S = 20  # how long a majority may take to agree on a change of members
CHANGE_POLL_INTERVAL_S = 0.2


@click.group(
    invoke_without_command=True,
    help="Ask all controllers who is in charge of what, and who follows them; "
    "or change who they are.",
)
@settings_option
@click.option(
    "--relays", "with_relays", is_flag=True, help="Name the relays that follow each controller."
)
@format_option
@click.pass_context
def fleet(
    context: click.Context, settings_path: str, with_relays: bool, output_format: str
) -> None:
    """Print the state of all controllers, unless a sub-command changes the group."""
    group = context.obj = read_controller_group(settings_path)
    if context.invoked_subcommand:
        return
    followers = asyncio.run(_read_followers(group)) if with_relays else {}
    for name, relays in followers.items():
        group.states[name]["relays"] = relays
    if output_format == "json":
        click.echo(json.dumps(group.states))
    else:
        _print_states(group.states, followers)
    if not any_answered(group.states):
        sys.exit(ExitCode.UNREACHABLE)
    # A relay may be on its way from one to another while they are asked, one after the other.
    listed_twice = _relays_listed_twice(followers)
    if listed_twice:
        fail(
            f"named by two controllers, ask again: {', '.join(sorted(listed_twice))}",
            ExitCode.PROBLEM_FOUND,
        )


@fleet.command(
    help="Let one more controller in: it runs already, with `joins` in its charter. "
    "PLACE: ADDRESS:PORT."
)
@click.argument("name")
@click.argument("address", metavar="PLACE")
@click.pass_obj
def add(group: ControllerGroup, name: str, address: str) -> None:
    """Add one controller to the group."""
    if not address.rpartition(":")[2].isdigit():
        fail(f"{address}: not ADDRESS:PORT")
    _change_members(group, lambda members: {**members, name: address})


@fleet.command()
@click.argument("name")
@click.pass_obj
def remove(group: ControllerGroup, name: str) -> None:
    """Take one controller out, whether it runs or not."""

    def without_member(members: MemberAddresses) -> MemberAddresses:
        return {member: address for member, address in members.items() if member != name}

    _change_members(group, without_member)


@fleet.command()
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--others-are-gone",
    is_flag=True,
    help="Say that all others are ended and will not start again.",
)
@click.pass_obj
def force(group: ControllerGroup, names: tuple[str, ...], others_are_gone: bool) -> None:
    """Make NAMES the whole fleet without a majority, after the others are gone for good."""
    if not others_are_gone:
        fail(
            "if any other still runs, two may be in charge at once: "
            "end them, then say --others-are-gone"
        )
    states = group.states
    reachable = [name for name, state in states.items() if name in names and "members" in state]
    if not reachable:
        fail("none of them could be reached", ExitCode.UNREACHABLE)
    newest = max(reachable, key=lambda name: states[name]["number"])
    known_addresses = {name: member["place"] for name, member in states[newest]["members"].items()}
    unknown_names = set(names) - known_addresses.keys()
    if unknown_names:
        fail(f"{', '.join(sorted(unknown_names))}: not known to {newest}")
    members = {name: known_addresses[name] for name in names}
    answer = group.send_request("force", target=newest, members=members)[newest]
    rejection = answer.get("why_not", "unanswered")
    if rejection:
        fail(f"not forced: {rejection}", ExitCode.PROBLEM_FOUND)
    click.echo(f"{newest} holds {', '.join(sorted(members))} to be the whole fleet")


@click.command()
@settings_option
@click.option("--ward", "relay_group", default="fleet", show_default=True)
def handover(settings_path: str, relay_group: str) -> None:
    """Have whoever is in charge of a ward give it up to another controller."""
    group = read_controller_group(settings_path)
    answers = group.send_request("hand over", ward=relay_group)
    former_leader = next(
        (name for name, answer in answers.items() if answer.get("handed_over")), None
    )
    if former_leader is None:
        click.echo(f"nobody that could be reached is in charge of {relay_group}")
        sys.exit(ExitCode.PROBLEM_FOUND if any_answered(answers) else ExitCode.UNREACHABLE)
    click.echo(f"{former_leader} handed over {relay_group}")


async def _read_followers(group: ControllerGroup) -> dict[str, list[Follower]]:
    """Return the followers of each controller, which are asked for page by page."""
    followers = {}
    for name, address in group.addresses.items():
        relays: list[Follower] = []
        more = True
        while more:
            last_seen = relays[-1][0] if relays else ""
            answers = await send_request_to_all(
                {name: address}, group.key, "followers", after=last_seen
            )
            relays = relays + answers[name].get("relays", [])
            more = answers[name].get("more", False)
        followers[name] = relays
    return followers


def _relays_listed_twice(followers: dict[str, list[Follower]]) -> set[str]:
    """Return the relays that more than one controller names."""
    controllers_by_relay: dict[str, set[str]] = {}
    for controller, relays in followers.items():
        for relay, *_ in relays:
            controllers_by_relay.setdefault(relay, set()).add(controller)
    return {relay for relay, controllers in controllers_by_relay.items() if len(controllers) > 1}


def _print_states(states: dict[str, Answer], followers: dict[str, list[Follower]]) -> None:
    for name, state in states.items():
        click.echo("\n".join(_state_lines(name, state)))
        for relay, frontend, relay_group in followers.get(name, ()):
            click.echo(f"{'':10} {relay_group:10} {relay} over {frontend}")


def _state_lines(name: str, state: Answer) -> Iterator[str]:
    if not has_answered(state):
        yield f"{name:10} unreached: {state['unreached']}"
        return
    unavailable = [
        f"{other} {member['state']}"
        for other, member in state["members"].items()
        if isinstance(member, dict) and member["state"] != "alive"
    ]
    yield (
        f"{name:10} members by number {state.get('number', 0)}: "
        f"{', '.join(sorted(state['members']))}"
        f"{'; ' + ', '.join(unavailable) if unavailable else ''}"
        f"{'' if state['settled'] else '; grants nothing yet'}"
        f"{'; a change is under way' if state.get('under_way') else ''}"
    )
    for relay_group, lease in state["wards"].items():
        yield f"{'':10} {relay_group:10} {_lease_text(lease)}"


def _lease_text(lease: Answer) -> str:
    if lease["held"]:
        count = lease.get("followers", "?")
        return f"in charge under epoch {lease['held']}, {count} relays follow"
    granted_for_s = lease["granted_for"] / 1e6
    return f"granted to {lease['granted_to'] or 'nobody'} for {granted_for_s:.1f} s more"


def _change_members(
    group: ControllerGroup, change: Callable[[MemberAddresses], MemberAddresses]
) -> None:
    """Have the leader of the first relay group change the members, and wait until it is done."""
    leader = _leader_of_first_group(group.states)
    if leader is None:
        fail(
            "nobody that could be reached is in charge: start a majority, or see `fleet force`",
            ExitCode.UNREACHABLE,
        )
    if "number" not in group.states[leader]:
        fail(f"{leader} runs a program that knows no changes of members", ExitCode.PROBLEM_FOUND)
    members = change(_member_addresses(group.states[leader]))
    rejection: str | None = "nothing was answered"
    deadline = time.monotonic() + CHANGE_TIMEOUT_S
    while time.monotonic() < deadline:
        state = group.send_request("fleet", target=leader)[leader]
        if _member_addresses(state) == members:
            click.echo(f"members by number {state['number']}: {', '.join(sorted(members))}")
            return
        answer = group.send_request("change", target=leader, members=members)[leader]
        rejection = answer.get("why_not", answer.get("unreached"))
        if rejection not in (None, "another change is under way"):
            break
        time.sleep(CHANGE_POLL_INTERVAL_S)
    rejection = rejection or "a majority did not agree in time; it may still come about"
    fail(f"not changed: {rejection}", ExitCode.PROBLEM_FOUND)


def _member_addresses(state: Answer) -> MemberAddresses:
    return {name: member["place"] for name, member in state.get("members", {}).items()}


def _leader_of_first_group(states: dict[str, Answer]) -> str | None:
    for name, state in states.items():
        leases = list(state.get("wards", {}).values())
        if leases and leases[0]["held"]:
            return name
    return None
