"""Injection of faults into a running scenario, by the names of fault types in scripts."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from tornado.gen import sleep

from ..clock import SECOND, now
from .host_fleet import choose_share
from .scenario_script import Fault

if TYPE_CHECKING:
    from .scenario import ScenarioRunner

DEFAULT_DURATION_S = 10.0
DRAIN_TIME_S = 6.0  # from the start of a host's drain to its removal


class FaultInjector:
    """Injects faults into one running scenario."""

    def __init__(self, scenario: "ScenarioRunner") -> None:
        self._scenario = scenario
        self._hosts = scenario.hosts
        self._tasks: set[asyncio.Task[None]] = set()
        self._handlers: dict[str, Callable[[Fault, float], Awaitable[None]]] = {
            "slow": self._fail_hosts,
            "hang": self._fail_hosts,
            "errors": self._fail_hosts,
            "silent": self._fail_hosts,
            "crash": self._crash_hosts,
            "deploy": self._drain_hosts,
            "shrink": self._drain_hosts,
            "roster_late": self._delay_list,
            "roster_wrong": self._publish_wrong_list,
            "roster_down": self._stop_list_service,
            "planner_killed": self._kill_planner,
            "planner_stalled": self._pause_planner,
            "relay_cut": self._disconnect_relays,
            "relay_deaf": self._pause_relays,
            "relays_join": self._reconnect_relays,
        }

    async def inject(self, fault: Fault) -> None:
        """Start one fault and end it after its duration."""
        duration_s = DEFAULT_DURATION_S if fault.duration_s is None else fault.duration_s
        self._scenario.report_progress(
            f"fault {fault.type} {fault.zone or ''} part {fault.share} size {fault.size} "
            f"for {duration_s:.0f} s"
        )
        handler = self._handlers.get(fault.type)
        if handler is not None:
            await handler(fault, duration_s)

    def _choose_hosts(self, fault: Fault) -> list[str]:
        return choose_share(self._scenario.random, self._hosts.running(fault.zone), fault.share)

    def _choose_relays(self, fault: Fault) -> list[str]:
        return choose_share(self._scenario.random, self._scenario.relay_process_of, fault.share)

    async def _fail_hosts(self, fault: Fault, duration_s: float) -> None:
        names = self._choose_hosts(fault)
        for name in names:
            await self._hosts.set_fault(name, fault.type, part=fault.size)
        await sleep(duration_s)
        for name in set(names) & set(self._hosts.running()):
            await self._hosts.set_fault(name, None)

    async def _crash_hosts(self, fault: Fault, duration_s: float) -> None:
        for name in self._choose_hosts(fault):
            zone = self._hosts.zone(name)
            await self._hosts.remove(name)
            loop = asyncio.get_running_loop()
            loop.call_later(duration_s, self._spawn, self._hosts.add_and_list, zone)

    async def _drain_hosts(self, fault: Fault, duration_s: float) -> None:
        """Drain hosts in waves, each a share `size` of the chosen ones; a deploy replaces them."""
        names = self._choose_hosts(fault)
        wave_size = max(1, round(len(names) * min(1.0, fault.size)))
        wave_count = -(-len(names) // wave_size)
        for wave in range(wave_count):
            for name in names[wave * wave_size : (wave + 1) * wave_size]:
                self._spawn(self._hosts.replace, name, DRAIN_TIME_S, fault.type == "deploy")
            await sleep(duration_s / wave_count)

    async def _delay_list(self, fault: Fault, duration_s: float) -> None:
        delay = round(fault.size * SECOND)
        self._scenario.discovery.delay += delay
        await sleep(duration_s)
        self._scenario.discovery.delay -= delay

    async def _publish_wrong_list(self, fault: Fault, duration_s: float) -> None:
        """Publish running hosts as gone, and as ready again at the end."""
        discovery = self._scenario.discovery
        chosen = choose_share(self._scenario.random, self._hosts.running(), fault.share)
        names = [name for name in chosen if name in discovery.hosts]
        discovery.publish([self._hosts.entry(name, "gone") for name in names])
        await sleep(duration_s)
        running = self._hosts.running()
        discovery.publish([self._hosts.entry(name, "ready") for name in names if name in running])

    async def _stop_list_service(self, fault: Fault, duration_s: float) -> None:
        self._scenario.discovery.make_unavailable()
        await sleep(duration_s)
        self._scenario.discovery.make_available()

    async def _kill_planner(self, fault: Fault, duration_s: float) -> None:
        planner = self._scenario.running_planner()
        planner.send_signal(signal.SIGKILL)
        self._scenario.planner_port = None
        await planner.wait()
        await sleep(fault.size)
        await self._scenario.start_planner()

    async def _pause_planner(self, fault: Fault, duration_s: float) -> None:
        self._scenario.running_planner().send_signal(signal.SIGSTOP)
        await sleep(duration_s)
        self._scenario.running_planner().send_signal(signal.SIGCONT)

    async def _disconnect_relays(self, fault: Fault, duration_s: float) -> None:
        for uid in self._choose_relays(fault):
            await self._scenario.disconnect_relay(uid)

    async def _pause_relays(self, fault: Fault, duration_s: float) -> None:
        """Stop the delivery of messages to relays for the duration."""
        for uid in self._choose_relays(fault):
            self._scenario.proxy.pause(uid, now() + round(duration_s * SECOND))

    async def _reconnect_relays(self, fault: Fault, duration_s: float) -> None:
        """Disconnect all relays one after the other, in `size` rounds, so that they rejoin."""
        uids = list(self._scenario.relay_process_of) * max(1, round(fault.size))
        for uid in uids:
            await self._scenario.disconnect_relay(uid)
            await sleep(duration_s / len(uids))

    def _spawn(self, function: Callable[..., Awaitable[None]], *arguments: object) -> None:
        task = asyncio.ensure_future(function(*arguments))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
