"""The endpoint list as others provide it: a file, or a service that is late, wrong or down.

`GET /roster` answers with the whole list; `GET /watch` with the whole list and then with each
change as a JSON line. Keys and paths are those that `planner/endpoint_list.py` reads.
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

CHANGES_KEPT = 64  # a watch that falls further behind misses changes
SERVICE_UNAVAILABLE = 503

Entry = dict[str, Any]  # one host of the list: id, address, port, state and others


class EndpointListFile:
    """The list as a file, which is replaced as a whole under the next version each time."""

    def __init__(self, folder: str | pathlib.Path) -> None:
        self.path = pathlib.Path(folder) / "roster.json"
        self.version = 0

    def write(self, hosts: Iterable[Entry]) -> None:
        """Put a new list in place."""
        self.version += 1
        replacement = self.path.with_suffix(".new")
        replacement.write_text(json.dumps({"version": self.version, "hosts": list(hosts)}))
        replacement.replace(self.path)


class DiscoveryServer:
    """The list as a service.

    `delay` is the time from a change to its publication, in microseconds. `on_published(host,
    state)` is called for each entry that is published. While `unavailable` is set, requests are
    refused.
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
        """Change one host's entry; it is published after the delay. Gone hosts are named once."""
        IOLoop.current().call_later(self.delay / SECOND, self.publish, [host])

    def publish(self, hosts: list[Entry]) -> None:
        """Publish entries at once as one change, true or not."""
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
        """Return the message with the whole list."""
        hosts = list(self.hosts.values())
        return json.dumps({"version": self.version, "kind": "whole", "hosts": hosts})

    def listen(self, port: int = 0) -> int:
        """Accept connections; return the port, which the kernel chooses where none is given."""
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
        """Accept no more connections."""
        if self._server is not None:
            self._server.stop()

    def take_down(self) -> None:
        """Refuse connections, and end those that are open, until `bring_up`."""
        self.unavailable = True
        self.changed.notify_all()
        self.stop()

    def bring_up(self) -> None:
        """Accept connections again, on the same port."""
        self.unavailable = False
        self.listen(self._port)


class WholeList(RequestHandler):
    """Answers with the whole list."""

    def initialize(self, server: DiscoveryServer) -> None:
        """Keep the server whose list is asked for."""
        self._list = server

    def prepare(self) -> None:
        """Refuse the request while the service is unavailable."""
        if self._list.unavailable:
            self.set_status(SERVICE_UNAVAILABLE)
            self.finish()

    async def get(self) -> None:
        """Answer with the whole list."""
        self.write(self._list.whole_list())


class Watch(WholeList):
    """Answers with the whole list and then with each change as it is published."""

    async def get(self) -> None:
        """Answer until the client or the service ends it."""
        known_version = self._list.version
        self.write(self._list.whole_list() + "\n")
        with contextlib.suppress(StreamClosedError):
            await self.flush()
            while not self._list.unavailable:
                if known_version == self._list.version:
                    await self._list.changed.wait(timeout=IOLoop.current().time() + 1)
                for version, hosts in list(self._list.changes):
                    if version > known_version:
                        known_version = version
                        change = {"version": version, "kind": "changes", "hosts": hosts}
                        self.write(json.dumps(change) + "\n")
                await self.flush()
