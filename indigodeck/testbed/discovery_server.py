"""The endpoint list as a file or as an HTTP service that can be late, wrong or unavailable.

`GET /roster` returns the whole list. `GET /watch` returns the whole list and then each change as a
JSON line. Keys and paths are those that `planner/endpoint_list.py` reads.
"""

import contextlib
import json
import pathlib
from collections.abc import Callable, Iterable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.locks import Condition
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from ..clock import SECOND

CHANGES_KEPT = 64  # a watch request that falls further behind misses changes
SERVICE_UNAVAILABLE = 503

Entry = dict[str, Any]  # a host in the list: id, address, port, state and other keys


class EndpointListFile:
    """The list as a file; each write replaces the whole file and increments its version."""

    def __init__(self, folder: str | pathlib.Path) -> None:
        self.path = pathlib.Path(folder) / "roster.json"
        self.version = 0

    def write(self, hosts: Iterable[Entry]) -> None:
        """Replace the list."""
        self.version += 1
        replacement = self.path.with_suffix(".new")
        replacement.write_text(json.dumps({"version": self.version, "hosts": list(hosts)}))
        replacement.replace(self.path)


class DiscoveryServer:
    """The list as an HTTP service.

    `delay` is the time from a change to its publication, in microseconds. `on_published(host,
    state)` is called for each published entry. While `unavailable` is set, requests are answered
    with status 503.
    """

    def __init__(
        self,
        on_published: Callable[[str, str], None] = lambda host, state: None,
        delay: int = 0,
    ) -> None:
        self.delay = delay
        self.version = 0
        self.hosts: dict[str, Entry] = {}
        self.changes: list[tuple[int, list[Entry]]] = []
        self.changed = Condition()
        self.unavailable = False
        self._on_published = on_published
        self._server: HTTPServer | None = None
        self._port = 0

    def set(self, host: Entry) -> None:
        """Change one host's entry and publish it after the delay; state "gone" removes the host."""
        IOLoop.current().call_later(self.delay / SECOND, self.publish, [host])

    def publish(self, hosts: list[Entry]) -> None:
        """Publish entries immediately as one change; they need not match the state of the hosts."""
        self.version += 1
        for host in hosts:
            if host["state"] == "gone":
                self.hosts.pop(host["id"], None)
            else:
                self.hosts[host["id"]] = host
            self._on_published(host["id"], host["state"])
        self.changes.append((self.version, hosts))
        del self.changes[:-CHANGES_KEPT]
        self.changed.notify_all()

    def whole_list(self) -> str:
        """Return the whole list as a JSON message."""
        hosts = list(self.hosts.values())
        return json.dumps({"version": self.version, "kind": "whole", "hosts": hosts})

    def listen(self, port: int = 0) -> int:
        """Accept connections and return the port; 0 lets the kernel choose one."""
        sockets = bind_sockets(port, "127.0.0.1")
        self._port = sockets[0].getsockname()[1]
        self._server = HTTPServer(
            Application(
                [("/roster", WholeList, {"server": self}), ("/watch", Watch, {"server": self})],
                log_function=lambda handler: None,
            )
        )
        self._server.add_sockets(sockets)
        return self._port

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.stop()

    def make_unavailable(self) -> None:
        """Refuse connections and end open watch requests until `make_available` is called."""
        self.unavailable = True
        self.changed.notify_all()
        self.stop()

    def make_available(self) -> None:
        """Accept connections again, on the same port."""
        self.unavailable = False
        self.listen(self._port)


class WholeList(RequestHandler):
    """Returns the whole list."""

    def initialize(self, server: DiscoveryServer) -> None:
        """Set the server that holds the list."""
        self._discovery = server

    def prepare(self) -> None:
        """Answer with status 503 while the service is unavailable."""
        if self._discovery.unavailable:
            self.set_status(SERVICE_UNAVAILABLE)
            self.finish()

    async def get(self) -> None:
        """Return the whole list."""
        self.write(self._discovery.whole_list())


class Watch(WholeList):
    """Returns the whole list and then each change as it is published."""

    async def get(self) -> None:
        """Stream the list and its changes until the client or the service ends the request."""
        known_version = self._discovery.version
        self.write(self._discovery.whole_list() + "\n")
        with contextlib.suppress(StreamClosedError):
            await self.flush()
            while not self._discovery.unavailable:
                if known_version == self._discovery.version:
                    await self._discovery.changed.wait(timeout=IOLoop.current().time() + 1)
                for version, hosts in list(self._discovery.changes):
                    if version > known_version:
                        known_version = version
                        change = {"version": version, "kind": "changes", "hosts": hosts}
                        self.write(json.dumps(change) + "\n")
                await self.flush()
