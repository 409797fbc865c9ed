"""Commands on a group of controllers: `fleet` with its sub-commands, and `handover`."""

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
Follower = list[str]  # one relay: its uid, its frontend's name, its relay group's name

CHANGE_TIMEOUT_S = 20  # how long a majority may take to agree on a change of members
CHANGE_POLL_INTERVAL_S = 0.2


@click.group(
    invoke_without_command=True,
    help="Show the members of the group, the leader of each relay group and, on request, the "
    "relays it serves; or change the members.",
)
@settings_option
@click.option(
    "--relays", "with_relays", is_flag=True, help="List the relays that each controller serves."
)
@format_option
@click.pass_context
def fleet(
    context: click.Context, settings_path: str, with_relays: bool, output_format: str
) -> None:
    """Print the state of all controllers, unless a sub-command is given."""
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
    # The controllers are queried one after the other, and a relay may move between them meanwhile.
    listed_twice = _relays_listed_twice(followers)
    if listed_twice:
        fail(
            f"listed by two controllers, run this command again: {', '.join(sorted(listed_twice))}",
            ExitCode.PROBLEM_FOUND,
        )


@fleet.command(
    help="Add a controller, which must already run with `joins` in its charter. "
    "PLACE is its ADDRESS:PORT."
)
@click.argument("name")
@click.argument("address", metavar="PLACE")
@click.pass_obj
def add(group: ControllerGroup, name: str, address: str) -> None:
    """Add a controller to the group."""
    if not address.rpartition(":")[2].isdigit():
        fail(f"{address}: not of the form ADDRESS:PORT")
    _change_members(group, lambda members: {**members, name: address})


@fleet.command()
@click.argument("name")
@click.pass_obj
def remove(group: ControllerGroup, name: str) -> None:
    """Remove a controller, whether it is running or not."""

    def without_member(members: MemberAddresses) -> MemberAddresses:
        return {member: address for member, address in members.items() if member != name}

    _change_members(group, without_member)


@fleet.command()
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--others-are-gone",
    is_flag=True,
    help="Confirm that all other controllers have ended and will not start again.",
)
@click.pass_obj
def force(group: ControllerGroup, names: tuple[str, ...], others_are_gone: bool) -> None:
    """Make NAMES the only members, without a majority, after the others have ended for good."""
    if not others_are_gone:
        fail(
            "two controllers may lead at once if any other is still running: "
            "end the others, then repeat this command with --others-are-gone"
        )
    states = group.states
    reachable = [name for name, state in states.items() if name in names and "members" in state]
    if not reachable:
        fail("none of the named controllers could be reached", ExitCode.UNREACHABLE)
    newest = max(reachable, key=lambda name: states[name]["number"])
    known_addresses = {name: member["place"] for name, member in states[newest]["members"].items()}
    unknown_names = set(names) - known_addresses.keys()
    if unknown_names:
        fail(f"{', '.join(sorted(unknown_names))}: not among the members that {newest} knows")
    members = {name: known_addresses[name] for name in names}
    answer = group.send_request("force", target=newest, members=members)[newest]
    rejection = answer.get("why_not", "unanswered")
    if rejection:
        fail(f"members not forced: {rejection}", ExitCode.PROBLEM_FOUND)
    click.echo(f"{newest} holds {', '.join(sorted(members))} to be the whole fleet")


@click.command()
@settings_option
@click.option("--ward", "relay_group", default="fleet", show_default=True)
def handover(settings_path: str, relay_group: str) -> None:
    """Have the leader of a relay group hand over its leadership to another controller."""
    group = read_controller_group(settings_path)
    answers = group.send_request("hand over", ward=relay_group)
    former_leader = next(
        (name for name, answer in answers.items() if answer.get("handed_over")), None
    )
    if former_leader is None:
        click.echo(f"no controller that could be reached leads {relay_group}")
        sys.exit(ExitCode.PROBLEM_FOUND if any_answered(answers) else ExitCode.UNREACHABLE)
    click.echo(f"{former_leader} handed over {relay_group}")


async def _read_followers(group: ControllerGroup) -> dict[str, list[Follower]]:
    """Return the followers of each controller, which it lists page by page."""
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
    """Return the relays that more than one controller lists."""
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
        f"{'' if state['settled'] else '; grants no leases yet'}"
        f"{'; a change of members is in progress' if state.get('under_way') else ''}"
    )
    for relay_group, lease in state["wards"].items():
        yield f"{'':10} {relay_group:10} {_lease_text(lease)}"


def _lease_text(lease: Answer) -> str:
    if lease["held"]:
        count = lease.get("followers", "?")
        return f"leader under epoch {lease['held']}, serves {count} relays"
    granted_for_s = lease["granted_for"] / 1e6
    return f"lease granted to {lease['granted_to'] or 'nobody'} for {granted_for_s:.1f} s more"


def _change_members(
    group: ControllerGroup, change: Callable[[MemberAddresses], MemberAddresses]
) -> None:
    """Have the leader of the first relay group change the members, and wait for the change."""
    leader = _leader_of_first_group(group.states)
    if leader is None:
        fail(
            "no controller that could be reached is the leader: "
            "start a majority of the controllers, or see `fleet force`",
            ExitCode.UNREACHABLE,
        )
    if "number" not in group.states[leader]:
        fail(
            f"{leader} runs an older version, which cannot change the members",
            ExitCode.PROBLEM_FOUND,
        )
    members = change(_member_addresses(group.states[leader]))
    rejection: str | None = "the leader did not answer"
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
    rejection = rejection or (
        f"no majority agreed within {CHANGE_TIMEOUT_S} s; the change may still take effect"
    )
    fail(f"members not changed: {rejection}", ExitCode.PROBLEM_FOUND)


def _member_addresses(state: Answer) -> MemberAddresses:
    return {name: member["place"] for name, member in state.get("members", {}).items()}


def _leader_of_first_group(states: dict[str, Answer]) -> str | None:
    for name, state in states.items():
        leases = list(state.get("wards", {}).values())
        if leases and leases[0]["held"]:
            return name
    return None
