"""What the platform tells a planner of its place: addresses, limits, the last known list and the charter."""

import json
import os
import pathlib

from ..assignment.seeded_random import seed_from
from ..settings import MalformedMessageError, settings_from_object
from .codec import MessageCodec, address

LARGEST = 16 << 20
SOCKETS_LEAST = 64


class Bootstrap:
    """A configuration file. Raises Malformed, or OSError where there is none to read.

    `listen`, `discovery`, `registry`: (address, port); `peers`: such pairs in the order of the planners' numbers.
    """

    def __init__(self, path):
        self.path = pathlib.Path(path)
        with self.path.open("rb") as file:
            data = file.read(LARGEST + 1)
        try:
            given = json.loads(data) if len(data) <= LARGEST else None
        except (ValueError, RecursionError) as error:
            raise MalformedMessageError(f"{self.path}: no JSON: {error}") from error
        if not isinstance(given, dict):
            raise MalformedMessageError(f"{self.path}: no JSON object")
        self.name = str(given.get("name", os.environ.get("EDGE_NAME", "")))
        self.listen = self._address(given, "listen", "EDGE_LISTEN")
        self.discovery = self._address(given, "discovery", "EDGE_DISCOVERY")
        self.registry = self._address(self._object(given, "registry"), "address")
        self.settings = settings_from_object(given.get("settings"))
        self.words = MessageCodec(self.settings)
        self.seed = seed_from(str(given.get("seed", "")), [])
        self.known = (
            self.words.catalog(self._object(given, "known")) if given.get("known") else None
        )
        sockets = self._object(given, "limits").get("sockets")
        self.sockets = max(SOCKETS_LEAST, sockets) if isinstance(sockets, int) else 256
        self.peer_listen, self.peers, self.peers_all = None, [], None
        if self.settings.peer_messages_allowed and given.get("peer_listen"):
            self.peer_listen = self._address(given, "peer_listen")
            self.peers = [address(text) for text in given.get("peers") or []]
            self.peers_all = self._address(given, "peers_all") if given.get("peers_all") else None

    def _object(self, given, name):
        if not isinstance(given.get(name), dict):
            raise MalformedMessageError(f"{self.path}: {name} is no object")
        return given[name]

    def _address(self, given, name, variable=""):
        try:
            return address(given.get(name) or os.environ.get(variable))
        except MalformedMessageError as error:
            raise MalformedMessageError(f"{self.path}: {name}: {error}") from error
