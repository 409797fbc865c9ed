"""The list's keeper: knows which hosts run, tells it late, and tells it wrongly when it is made to.

`GET /roster` gives the whole list, `GET /watch` the whole one and then each change as a JSON line.
"""

import json
import pathlib

from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.locks import Condition
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

SECOND = 1_000_000


class ListFile:
    """The list as a file, put in place whole: each time under the next version."""

    def __init__(self, folder):
        self.path, self.version = pathlib.Path(folder) / "roster.json", 0

    def keep(self, hosts):
        self.version += 1
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps({"version": self.version, "hosts": hosts}))
        fresh.replace(self.path)


class DiscoveryServer:
    """`late`: microseconds from a change to its telling. `told(host, state)` hears what is told, as it is."""

    def __init__(self, told=lambda host, state: None, late=0):
        self.told, self.late, self.version = told, late, 0
        self.hosts, self.changes, self.news, self.refusing = {}, [], Condition(), False
        self.server = self.port = None

    def set(self, host, also=0):
        """One host's entry changes; it is told when it is due. Gone ones are told once."""
        IOLoop.current().call_later((self.late + also) / SECOND, self._tell, [host])

    def say(self, hosts):
        """What is told at once, true or not: all in one change."""
        self._tell(hosts)

    def _tell(self, hosts):
        self.version += 1
        for host in hosts:
            if host["state"] == "gone":
                self.hosts.pop(host["id"], None)
            else:
                self.hosts[host["id"]] = host
            self.told(host["id"], host["state"])
        self.changes.append((self.version, hosts))
        del self.changes[:-64]
        self.news.notify_all()

    def whole(self):
        return json.dumps(
            {"version": self.version, "kind": "whole", "hosts": list(self.hosts.values())}
        )

    def listen(self, port=0):
        sockets = bind_sockets(port, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self.server = HTTPServer(
            Application(
                [("/roster", Whole, {"keeper": self}), ("/watch", Watch, {"keeper": self})],
                log_function=lambda handler: None,
            )
        )
        self.server.add_sockets(sockets)
        return self.port

    def shut(self):
        """Refuses connections, and ends those that stand, until `listen` on the same port."""
        self.refusing = True
        self.news.notify_all()
        self.server.stop()

    def again(self):
        self.refusing = False
        self.listen(self.port)


class Whole(RequestHandler):
    def initialize(self, keeper):
        self.keeper = keeper

    def prepare(self):
        if self.keeper.refusing:
            self.set_status(503)
            self.finish()

    def get(self):
        self.write(self.keeper.whole())


class Watch(Whole):
    async def get(self):
        known = self.keeper.version
        self.write(self.keeper.whole() + "\n")
        try:
            await self.flush()
            while not self.keeper.refusing:
                if known == self.keeper.version:
                    await self.keeper.news.wait(timeout=IOLoop.current().time() + 1)
                for version, hosts in list(self.keeper.changes):
                    if version > known:
                        known = version
                        self.write(
                            json.dumps({"version": version, "kind": "changes", "hosts": hosts})
                            + "\n"
                        )
                await self.flush()
        except StreamClosedError:
            pass
