"""Runs a case's play, writes `record.txt` beside it and turns the result into an exit code."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import traceback

from .world import CannotRunError

TIME_LIMIT = 100
COULD_NOT_RUN = 2
MAX_RECORD_LINES = 4000


def trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case_file, rules, make_world, play):
    """Play a case; exit with 1 if one of `rules` was broken, 0 if they held, else with 2.

    `make_world` returns the world, `play(world)` is its course of events.
    """
    folder = pathlib.Path(case_file).resolve().parent
    with tempfile.TemporaryDirectory() as scratch:
        try:
            code, lines = asyncio.run(_run(rules, make_world, play, scratch))
        except asyncio.CancelledError:
            sys.exit(COULD_NOT_RUN)
    (folder / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-6:]))
    sys.exit(code)


async def _run(rules, make_world, play, scratch):
    # Ended from outside, it still ends the processes that it started.
    main_task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, main_task.cancel)
    world = make_world()
    error = None
    try:
        await world.start(scratch)
        await asyncio.wait_for(play(world), TIME_LIMIT)
    except CannotRunError as problem:
        error = str(problem)
    except Exception:  # a fault of the case itself
        error = traceback.format_exc()
    finally:
        world.expect_alive = False
        for task in world.tasks:
            task.cancel()
        await world.stop()
    failed_tasks = [
        repr(task.exception())
        for task in world.tasks
        if task.done() and not task.cancelled() and task.exception()
    ]
    log = (pathlib.Path(scratch) / "planner.log").read_text(errors="replace").splitlines()
    if os.environ.get("KEEP_LOG"):
        pathlib.Path(os.environ["KEEP_LOG"]).write_text("\n".join(log))
    broken = [text for rule, text in world.broken if rule in rules]
    others = [f"{rule}: {text}" for rule, text in world.broken if rule not in rules]
    lines = [f"trouble: {trouble()}", *world.record[:MAX_RECORD_LINES]]
    lines += ["the planner's log, last lines:", *(line[:1500] for line in log[-30:])]
    lines += [f"breaks of other rules, which don't count here: {len(others)}", *others[:3]]
    lines += world.summary()
    if error or failed_tasks:
        lines.append(f"could not run: {error or failed_tasks}")
        return COULD_NOT_RUN, lines
    lines.append(f"result: {'broken: ' + broken[0] if broken else 'the rule held'}")
    return (1 if broken else 0), lines
