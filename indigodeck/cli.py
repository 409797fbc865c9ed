"""The command `indigodeck`. Exit codes: 0 done; 1 something was found wrong (a rule broken, a document with faults);
2 called wrongly, or a document that can't be read; 3 nothing could be reached.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

import click
import structlog

from .clock import now
from .json_documents import InvalidDocumentError

FOUND, WRONG, UNREACHED = 1, 2, 3
# grpcio tells of every connection that ends; our own lines say what matters of it. Asked for, it is heard.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")


def log_as(form):
    """JSON lines on standard output for programs, coloured lines on standard error for people."""
    shape = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            shape,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout if form == "json" else sys.stderr),
    )


def fail(text, code=WRONG):
    click.echo(text, err=True)
    sys.exit(code)


@click.group()
@click.version_option(package_name="indigodeck")
def main():
    """Tells relays which hosts serve which class of exchanges."""


@main.command()
@click.option(
    "--charter",
    "path",
    required=True,
    type=click.Path(dir_okay=False),
    help="What the planner is told at start (JSON).",
)
@click.option(
    "--log", "form", default="json", type=click.Choice(["json", "people"]), show_default=True
)
@click.option("--policy", default="indigodeck", hidden=True)
def serve(path, form, policy):
    """Run a planner until it is told to end."""
    from .assignment.assigner import Assigner
    from .planner.planner_settings import read
    from .serve import serve as run

    log_as(form)
    make = Assigner
    if policy != "indigodeck":
        from .testbed.baselines import BASELINES

        make = BASELINES[policy]
    try:
        charter = read(path)
        asyncio.run(run(charter, make))
    except InvalidDocumentError as error:
        fail(str(error))
    except OSError as error:
        fail(f"{path}: {error}", UNREACHED)


@main.command()
def edge():
    """Run a planner on the platform, told by EDGE_CONFIG (docs/edge.md)."""
    from .edge.service import main as run

    sys.exit(run())


@main.command()
@click.argument("path", type=click.Path(dir_okay=False))
@click.option(
    "--against",
    multiple=True,
    type=click.Choice(["equal", "frozen"]),
    help="Play a baseline beside it.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False),
    help="Keep receipts, outcomes and logs in this folder.",
)
@click.option("--format", "shape", default="people", type=click.Choice(["people", "json"]))
@click.option(
    "--bench-troubles",
    type=click.Path(dir_okay=False),
    help="Troubles as found in a bench day, in place of the script's own.",
)
def day(path, against, keep, shape, bench_troubles):
    """Play a scripted day on loopback and judge it by its sockets."""
    from .testbed import scenario as days

    script = document(path)
    if bench_troubles:
        script["troubles"], left = days.from_bench(document(bench_troubles))
        if left:
            click.echo(f"no counterpart on sockets: {', '.join(left)}", err=True)
    against_it = days.check(script)
    if against_it:
        fail("\n".join(f"{path}: {line}" for line in against_it))
    began = time.monotonic()
    results = asyncio.run(
        days.run(
            script,
            ("indigodeck", *against),
            keep,
            lambda text: click.echo(f"{time.monotonic() - began:6.1f} s  {text}", err=True),
        )
    )
    click.echo(
        json.dumps(results)
        if shape == "json"
        else "\n".join(days.printed(result) for result in results)
    )
    if not all(rule["kept"] for rule in results[0]["rules"]):
        sys.exit(FOUND)


def document(path):
    try:
        return json.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        fail(f"{path}: {error}")


@main.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path(dir_okay=False))
def check(paths):
    """Check charters, scripts and rosters against their schemas."""
    from .planner import endpoint_list as roster
    from .planner import planner_settings as charter
    from .testbed import scenario as days

    found = False
    for path in paths:
        given = document(path)
        if "hosts" in given and isinstance(given["hosts"], list):
            kind, against = "roster", _against(lambda: roster.read(json.dumps(given)))
        elif "relays" in given and "seconds" in given:
            kind, against = "script", days.check(given)
        else:
            kind, against = "charter", _against(lambda: charter.read(path))
        found = found or bool(against)
        click.echo(
            "\n".join(f"{path}: {line}" for line in against)
            if against
            else f"{path}: a {kind}, nothing wrong"
        )
    sys.exit(FOUND if found else 0)


def _against(read):
    try:
        read()
    except InvalidDocumentError as error:
        return str(error).splitlines()
    return []


@main.command()
@click.argument("planner")
@click.option(
    "--class",
    "names",
    multiple=True,
    required=True,
    help="A class of exchanges; may be given again.",
)
@click.option("--uid", default="indigodeck-weights", show_default=True, help="The relay to ask as.")
@click.option("--wait", default=3.0, show_default=True, help="Seconds to wait for tables.")
@click.option("--format", "shape", default="people", type=click.Choice(["people", "json"]))
def weights(planner, names, uid, wait, shape):
    """Ask a running planner (ADDRESS:PORT) for the tables of classes, over SASP."""
    from .client import Tables, Unreachable
    from .client.sasp import SaspClient

    address, _, port = planner.rpartition(":")
    if not port.isdigit():
        fail(f"{planner}: not ADDRESS:PORT")
    losses = []

    async def ask():
        tables = Tables(names, now)
        client = SaspClient(
            uid, [(address.strip("[]") or "127.0.0.1", int(port))], tables, failed=losses.append
        )
        task = asyncio.get_running_loop().create_task(client.run())
        until = time.monotonic() + wait
        while time.monotonic() < until and not all(tables.lines.values()) and not losses:
            await asyncio.sleep(0.05)
        client.leave()
        await asyncio.wait([task], timeout=1)
        return {name: tables.shares(name) for name in names if tables.lines[name]}

    shares = asyncio.run(ask())
    if losses:
        fail(f"{planner}: {losses[0]}", UNREACHED if isinstance(losses[0], Unreachable) else FOUND)
    if shape == "json":
        click.echo(
            json.dumps(
                {
                    name: {f"{a}:{p}": round(part, 6) for (a, p), part in sorted(lines.items())}
                    for name, lines in shares.items()
                }
            )
        )
    else:
        for name in names:
            click.echo(name if name in shares else f"{name}: no table")
            for (host, at), part in sorted(shares.get(name, {}).items(), key=lambda line: -line[1]):
                click.echo(f"  {host + ':' + str(at):24} {part:7.2%}  {'#' * round(part * 40)}")
    if len(shares) < len(names):
        sys.exit(FOUND)


def _controllers(path):
    """({member: (address, port)}, key, {member: what it says of the fleet}) of a charter, and of members that its
    controllers have let in since.
    """
    from .leadership.transport import place_of
    from .planner.planner_settings import read
    from .serve import key_of

    try:
        charter = read(path)
        if not charter.takeover:
            fail(f"{path}: controllers share nothing here: no section takeover")
        places, key = (
            {name: place_of(place) for name, place in charter.takeover["members"].items()},
            key_of(charter, charter.takeover["key_file"]),
        )
    except (InvalidDocumentError, OSError) as error:
        fail(str(error))
    said = asyncio.run(_ask_all(places, key, "fleet"))
    since = {
        name: place_of(member["place"])
        for told in said.values()
        for name, member in told.get("members", {}).items()
        if isinstance(member, dict) and name not in places
    }
    return {**places, **since}, key, {**said, **asyncio.run(_ask_all(since, key, "fleet"))}


async def _ask_all(places, key, kind, **fields):
    from tornado.iostream import StreamClosedError
    from tornado.util import TimeoutError as DeadlineExceededError

    from .leadership.messages import RejectedError
    from .leadership.transport import ask

    async def one(place):
        try:
            return await ask(place, key, kind, **fields)
        except (OSError, StreamClosedError, DeadlineExceededError, RejectedError) as error:
            return {"unreached": str(error) or type(error).__name__}

    return dict(zip(places, await asyncio.gather(*(one(place) for place in places.values()))))


@main.group(invoke_without_command=True)
@click.option("--charter", "path", required=True, type=click.Path(dir_okay=False))
@click.option("--relays", is_flag=True, help="Name the relays that follow each controller.")
@click.option("--format", "shape", default="people", type=click.Choice(["people", "json"]))
@click.pass_context
def fleet(context, path, relays, shape):
    """Ask all controllers who is in charge of what, and who follows them; or change who they are."""
    context.obj = _controllers(path)
    if context.invoked_subcommand:
        return
    places, key, said = context.obj
    followed = asyncio.run(_followers(places, key)) if relays else {}
    for name, names in followed.items():
        said[name]["relays"] = names
    if shape == "json":
        click.echo(json.dumps(said))
    else:
        for name, told in said.items():
            click.echo("\n".join(_member_lines(name, told)))
            for relay, front, ward in followed.get(name, ()):
                click.echo(f"{'':10} {ward:10} {relay} over {front}")
    if all("unreached" in told for told in said.values()):
        sys.exit(UNREACHED)
    # A relay may be on its way from one to another while they are asked, one after the other.
    twice = {
        relay
        for name in followed
        for relay, *_ in followed[name]
        if any(
            relay in {other for other, *_ in followed[rest]} for rest in followed if rest != name
        )
    }
    if twice:
        fail(f"named by two controllers, ask again: {', '.join(sorted(twice))}", FOUND)


async def _followers(places, key):
    """{member: [[relay, front, ward]]}, asked page by page."""
    found = {}
    for name, place in places.items():
        held, more = [], True
        while more:
            answer = (
                await _ask_all({name: place}, key, "followers", after=held[-1][0] if held else "")
            )[name]
            held, more = held + answer.get("relays", []), answer.get("more", False)
        found[name] = held
    return found


def _member_lines(name, told):
    if "unreached" in told:
        yield f"{name:10} unreached: {told['unreached']}"
        return
    number, lost = (
        told.get("number", 0),
        [
            f"{other} {member['state']}"
            for other, member in told["members"].items()
            if isinstance(member, dict) and member["state"] != "alive"
        ],
    )
    yield (
        f"{name:10} members by number {number}: {', '.join(sorted(told['members']))}"
        f"{'; ' + ', '.join(lost) if lost else ''}{'' if told['settled'] else '; grants nothing yet'}"
        f"{'; a change is under way' if told.get('under_way') else ''}"
    )
    for ward, state in told["wards"].items():
        held = (
            f"in charge under epoch {state['held']}, {state.get('followers', '?')} relays follow"
            if state["held"]
            else (
                f"granted to {state['granted_to'] or 'nobody'} for {state['granted_for'] / 1e6:.1f} s more"
            )
        )
        yield f"{'':10} {ward:10} {held}"


def _change(places, key, said, make):
    """Has whoever is in charge of the first ward change the members: `make({id: place})` gives the new ones."""
    holder = next(
        (
            name
            for name, told in said.items()
            if any(state["held"] for state in list(told.get("wards", {}).values())[:1])
        ),
        None,
    )
    if holder is None:
        fail(
            "nobody that could be reached is in charge: start a majority, or see `fleet force`",
            UNREACHED,
        )
    if "number" not in said[holder]:
        fail(f"{holder} runs a program that knows no changes of members", FOUND)
    members = make({name: member["place"] for name, member in said[holder]["members"].items()})
    why_not, until = "nothing was answered", time.monotonic() + 20
    while time.monotonic() < until:
        told = asyncio.run(_ask_all({holder: places[holder]}, key, "fleet"))[holder]
        if {name: member["place"] for name, member in told.get("members", {}).items()} == members:
            click.echo(f"members by number {told['number']}: {', '.join(sorted(members))}")
            return
        answer = asyncio.run(_ask_all({holder: places[holder]}, key, "change", members=members))[
            holder
        ]
        why_not = answer.get("why_not", answer.get("unreached"))
        if why_not not in (None, "another change is under way"):
            break
        time.sleep(0.2)
    fail(
        f"not changed: {why_not or 'a majority did not agree in time; it may still come about'}",
        FOUND,
    )


@fleet.command()
@click.argument("name")
@click.argument("place")
@click.pass_obj
def add(controllers, name, place):
    """Let one more controller in: it runs already, with `joins` in its charter. PLACE: ADDRESS:PORT."""
    if not place.rpartition(":")[2].isdigit():
        fail(f"{place}: not ADDRESS:PORT")
    _change(*controllers, lambda members: {**members, name: place})


@fleet.command()
@click.argument("name")
@click.pass_obj
def remove(controllers, name):
    """Take one controller out, whether it runs or not."""
    _change(
        *controllers,
        lambda members: {other: place for other, place in members.items() if other != name},
    )


@fleet.command()
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--others-are-gone",
    is_flag=True,
    help="Say that all others are ended and will not start again.",
)
@click.pass_obj
def force(controllers, names, others_are_gone):
    """Make NAMES the whole fleet without a majority, after the others are gone for good."""
    places, key, said = controllers
    if not others_are_gone:
        fail(
            "if any other still runs, two may be in charge at once: end them, then say --others-are-gone"
        )
    up = [name for name, told in said.items() if name in names and "members" in told]
    if not up:
        fail("none of them could be reached", UNREACHED)
    asked = max(up, key=lambda name: said[name]["number"])
    known = {name: member["place"] for name, member in said[asked]["members"].items()}
    if set(names) - known.keys():
        fail(f"{', '.join(sorted(set(names) - known.keys()))}: not known to {asked}")
    members = {name: known[name] for name in names}
    why_not = asyncio.run(_ask_all({asked: places[asked]}, key, "force", members=members))[
        asked
    ].get("why_not", "unanswered")
    if why_not:
        fail(f"not forced: {why_not}", FOUND)
    click.echo(f"{asked} holds {', '.join(sorted(members))} to be the whole fleet")


def _planners(path):
    """({name: (address, port)}, key) of all that an operator's word on versions may be said to, by a charter."""
    from .planner.planner_settings import read
    from .serve import key_of

    try:
        charter = read(path)
        if charter.takeover:
            places, key, _ = _controllers(path)
            return places, key
        if not charter.operators:
            fail(
                f"{path}: neither a section operators nor takeover: this planner hears no operators"
            )
        stated = charter.operators
        return {charter.name: (stated.get("address", "127.0.0.1"), stated["port"])}, key_of(
            charter, stated["key_file"]
        )
    except (InvalidDocumentError, OSError) as error:
        fail(str(error))


def _wish(context, **wish):
    """The answer of whoever is in charge to a wish; ends with a code where there is none."""
    places, key = context
    said = asyncio.run(
        _ask_all(
            places,
            key,
            "versions",
            wish={name: value for name, value in wish.items() if value is not None},
        )
    )
    heard = {name: told for name, told in said.items() if "unreached" not in told}
    if not heard:
        fail(
            "\n".join(f"{name}: unreached: {told['unreached']}" for name, told in said.items()),
            UNREACHED,
        )
    done = [told for told in heard.values() if "why_not" not in told or "done" in told]
    if not done:
        fail("\n".join(f"{name}: {told['why_not']}" for name, told in heard.items()), FOUND)
    # Several answer only where they are merely asked: who is in charge knows best.
    return max(done, key=lambda told: told.get("in_charge", True))


def _pages(context, field, after, **wish):
    """All of a paged answer: {..} with `field` put together; `after(answer)` gives how the next page is asked for."""
    answer = _wish(context, **wish)
    while answer.get("more"):
        page = _wish(context, **wish, **after(answer))
        held = answer[field]
        answer = {
            **page,
            field: {**held, **page[field]} if isinstance(held, dict) else held + page[field],
        }
        if not page[field]:
            break
    return answer


def _when(at):
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at / 1e6))


@main.group()
@click.option("--charter", "path", required=True, type=click.Path(dir_okay=False))
@click.option("--format", "shape", default="people", type=click.Choice(["people", "json"]))
@click.pass_context
def versions(context, path, shape):
    """What was published, why, who holds what; and the way back to any version that is kept."""
    context.obj = _planners(path), shape


def _say(shape, answer, lines):
    click.echo(json.dumps(answer) if shape == "json" else "\n".join(lines))


@versions.command("list")
@click.option("--most", default=20, show_default=True, help="So many of the newest.")
@click.pass_obj
def versions_list(obj, most):
    """The newest versions, what is held, and what rules keep as it is."""
    context, shape = obj
    answer = _wish(context, what="list")
    while answer["more"] and len(answer["versions"]) < most:
        page = _wish(context, what="list", before=answer["versions"][-1]["number"])
        answer = {**answer, "versions": answer["versions"] + page["versions"], "more": page["more"]}
    answer["versions"] = answer["versions"][:most]
    lines = [
        f"{one['number']:>10}  {_when(one['at'])}  {'pinned  ' if one['pinned'] else ''}{one['author'] + ': ' if one['author'] else ''}"
        f"{one['cause']}"
        for one in answer["versions"]
    ]
    lines += [
        f"{name} held at {hold['number']} by {hold['author']} since {_when(hold['at'])}: {hold['reason']}"
        for name, hold in sorted(answer["holds"].items())
    ]
    _say(shape, answer, lines + answer["overruled"])


@versions.command()
@click.argument("number")
@click.pass_obj
def show(obj, number):
    """A version's tables."""
    context, shape = obj
    answer = _pages(
        context, "tables", lambda page: {"after": max(page["tables"])}, what="show", number=number
    )
    one = answer["version"]
    lines = [
        f"{one['number']} after {one['parent']}, {_when(one['at'])}, content {one['content']}",
        f"  {one['author'] or 'planner'}: {one['cause']}",
    ]
    for table, sheet in sorted(answer["tables"].items(), key=lambda held: int(held[0])):
        total = sum(sheet["lines"].values())
        lines.append(f"table {table}, {sheet['class']}, level {sheet['level'][0]:g}")
        lines += [
            f"  {host:24} {weight:8.4f} {weight / total:7.2%}"
            for host, weight in sheet["lines"].items()
        ]
    _say(shape, answer, lines)


@versions.command()
@click.argument("old")
@click.argument("new")
@click.pass_obj
def diff(obj, old, new):
    """What changed from one version to another."""
    context, shape = obj
    answer = _pages(
        context,
        "tables",
        lambda page: {"after": max(page["tables"])},
        what="diff",
        old=old,
        new=new,
    )
    lines = []
    for table, change in sorted(answer["tables"].items(), key=lambda held: int(held[0])):
        lines.append(
            f"table {table}, {change['class']}"
            + (f", level {change['level']}" if change["level"][0] != change["level"][1] else "")
        )
        lines += [
            f"  {host:24} {was if was is not None else '-'} -> {now if now is not None else '-'}"
            for host, (was, now) in change["lines"].items()
        ]
    _say(shape, answer, lines or ["nothing differs"])


@versions.command()
@click.pass_obj
def relays(obj):
    """Which version each relay holds, and whether that is the newest as far as its tables go."""
    context, shape = obj
    answer = _pages(context, "relays", lambda page: {"after": page["relays"][-1][0]}, what="relays")
    _say(
        shape,
        answer,
        [
            f"{relay:32} {held:>10}{'' if newest else '  behind'}{'' if sure else '  (its machine has it)'}"
            for relay, held, newest, sure in answer["relays"]
        ],
    )
    if not all(newest for _, _, newest, _ in answer["relays"]):
        sys.exit(FOUND)


@main.command()
@click.option("--charter", "path", required=True, type=click.Path(dir_okay=False))
@click.option("--format", "shape", default="people", type=click.Choice(["people", "json"]))
def trust(path, shape):
    """Whether a planner goes by a list that was kept on disk, and how far that is borne out."""
    places, key = _planners(path)
    said = asyncio.run(_ask_all(places, key, "versions", wish={"what": "trust"}))
    for name, told in said.items() if shape == "people" else ():
        held = told.get("trust")
        click.echo(
            f"{name:10} "
            + (
                f"unreached: {told['unreached']}"
                if "unreached" in told
                else f"goes by list {told['list']}"
                if held is None
                else (
                    f"goes by list {told['list']}, kept {held['age_s']} s ago: of {held['named']} hosts {held['answer']} answer, {held['do_not']} do not; "
                    f"trust {held['trust']}"
                )
            )
        )
    if shape == "json":
        click.echo(json.dumps(said))
    if all("unreached" in told for told in said.values()):
        sys.exit(UNREACHED)


def _done(obj, **wish):
    context, shape = obj
    answer = _wish(context, **wish)
    _say(shape, answer, [answer["done"]])
    if "why_not" in answer:
        fail(answer["why_not"], FOUND)


CLASSES = click.option(
    "--class", "classes", multiple=True, help="Only this class; may be given again."
)
AUTHOR = click.option(
    "--author", envvar="USER", default="operator", show_default="$USER", help="Who says so."
)
REASON = click.option("--reason", required=True, help="Why: stands in the version's cause.")


@versions.command()
@click.argument("number")
@CLASSES
@AUTHOR
@REASON
@click.pass_obj
def rollback(obj, number, classes, author, reason):
    """Go back to a version and hold it until released. Rules come first: see docs/versions.md."""
    _done(
        obj,
        what="rollback",
        number=number,
        classes=list(classes) or None,
        author=author,
        reason=reason,
    )


@versions.command()
@CLASSES
@AUTHOR
@REASON
@click.pass_obj
def release(obj, classes, author, reason):
    """Let classes follow today's tables again."""
    _done(obj, what="release", classes=list(classes) or None, author=author, reason=reason)


@versions.command()
@click.argument("number")
@click.option("--off", is_flag=True, help="It need no longer be kept.")
@click.pass_obj
def pin(obj, number, off):
    """Keep a version however old it gets."""
    _done(obj, what="pin", number=number, on=not off)


@main.command()
@click.option("--charter", "path", required=True, type=click.Path(dir_okay=False))
@click.option("--ward", default="fleet", show_default=True)
def handover(path, ward):
    """Have whoever is in charge of a ward give it up to another controller."""
    places, key, _ = _controllers(path)
    said = asyncio.run(_ask_all(places, key, "hand over", ward=ward))
    giver = [name for name, told in said.items() if told.get("handed_over")]
    click.echo(
        f"{giver[0]} handed over {ward}"
        if giver
        else f"nobody that could be reached is in charge of {ward}"
    )
    if not giver:
        sys.exit(UNREACHED if all("unreached" in told for told in said.values()) else FOUND)


@main.group()
def standin():
    """Stand-ins, one kind a process; they obey JSON lines on standard input."""


async def _obey(command):
    """Commands from standard input until it ends, each answered on standard output."""
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        try:
            answer = await command(json.loads(line))
        except Exception as error:  # said to who commands; the others go on
            answer = {"error": f"{type(error).__name__}: {error}"}
        click.echo(json.dumps(answer))


@standin.command()
@click.option("--receipts", required=True, type=click.Path(dir_okay=False))
@click.option(
    "--work", default="{}", help="Core time of an exchange by class, in microseconds (JSON)."
)
def host(receipts, work):
    """Hosts over HTTP: {"do": "start", "host": "h1", "cores": 4, "slots": 8, "room": 64}."""
    from .testbed.host_pool import HostPool

    with open(receipts, "w", buffering=1) as file:
        asyncio.run(_obey(HostPool(now, file, json.loads(work)).command))


@standin.command()
@click.option("--outcomes", required=True, type=click.Path(dir_okay=False))
def relay(outcomes):
    """Relays with their clients: {"do": "start", "until": .., "relay": {..}}."""
    from .testbed.relay_pool import RelayPool

    with open(outcomes, "w", buffering=1) as file:
        asyncio.run(_obey(RelayPool(now, file).command))


@standin.command()
@click.option("--planner", required=True, help="ADDRESS:PORT of a planner's xDS front.")
@click.option("--uid", required=True)
@click.option("--hall", default="")
@click.option("--class", "names", multiple=True, required=True)
@click.option("--rate", default=50.0, show_default=True)
@click.option("--seconds", default=10.0, show_default=True)
@click.option(
    "--concurrency",
    default=256,
    show_default=True,
    type=click.IntRange(1),
    help="Exchanges under way, at most.",
)
def stock(planner, uid, hall, names, rate, seconds, concurrency):
    """The stock gRPC client as a relay; writes an outcome for each exchange as a JSON line."""
    from .testbed.stock_client import drive

    asyncio.run(
        drive(
            planner,
            uid,
            hall,
            names,
            rate,
            seconds,
            concurrency,
            lambda line: click.echo(json.dumps(line)),
            now,
        )
    )


@standin.command()
@click.option("--port", default=0, show_default=True)
@click.option("--late-ms", default=0.0, show_default=True)
@click.argument("path", type=click.Path(dir_okay=False))
def roster(port, late_ms, path):
    """The list's keeper, with the list in a file to begin with: {"do": "set", "hosts": [..]}."""
    from .testbed.discovery_server import DiscoveryServer

    async def keep():
        keeper = DiscoveryServer(late=round(late_ms * 1000))
        click.echo(json.dumps({"port": keeper.listen(port)}))
        keeper.say(document(path)["hosts"])

        async def command(line):
            for entry in line.get("hosts", []):
                keeper.set(entry)
            return {"version": keeper.version}

        await _obey(command)

    asyncio.run(keep())
