"""Relays in one process, controlled by commands: start, disconnect, report tables, stop."""

import json
from collections.abc import Callable
from typing import Any, TextIO

from .relay import Relay, RelaySettings


class RelayPool:
    """The relays in one process. Outcomes are written to `outcomes`."""

    def __init__(self, now: Callable[[], int], outcomes: TextIO) -> None:
        self._now = now
        self._outcomes = outcomes
        self._relays: dict[str, Relay] = {}
        self._lost_servers: list[tuple[int, int]] = []  # (time, port)

    async def execute(self, command: dict[str, Any]) -> dict[str, Any]:
        """Execute one command: {"do": "start" | "drop" | "tables" | "changes" | "leave", ..}."""
        match command["do"]:
            case "start":
                settings = RelaySettings.from_json(command["relay"])
                relay = Relay(self._now, self._write, settings, command["until"])
                self._relays[relay.uid] = relay
                relay.start()
            case "drop":
                self._relays[command["uid"]].client.disconnect()
            case "tables":
                return {uid: _tables_as_json(relay) for uid, relay in self._relays.items()}
            case "changes":
                return {"lost": self._take_lost_servers()}
            case "leave":
                for relay in self._relays.values():
                    relay.client.stop()
        return {}

    def _write(self, outcome: dict[str, Any]) -> None:
        self._outcomes.write(json.dumps(outcome, separators=(",", ":")) + "\n")

    def _take_lost_servers(self) -> list[tuple[int, int]]:
        """Return (time, port) of each server that a table lost since the last such command."""
        lost = self._lost_servers
        self._lost_servers = []
        for relay in self._relays.values():
            if relay.tables.changed is None:
                relay.tables.changed = self._record_losses(relay)
        return lost

    def _record_losses(self, relay: Relay) -> Callable[[str], None]:
        before = {name: set(lines) for name, lines in relay.tables.lines.items()}

        def on_change(name: str) -> None:
            lines = relay.tables.lines[name]
            self._lost_servers += [(self._now(), port) for _, port in before[name] - lines.keys()]
            before[name] = set(lines)

        return on_change


def _tables_as_json(relay: Relay) -> dict[str, Any]:
    return {
        name: [[*address, weight] for address, weight in sorted(lines.items())]
        for name, lines in relay.tables.lines.items()
    }
