"""Several HTTP hosts in one process, which can be started, stopped and made to fail.

For each request that reaches it, a host writes a receipt, a JSON line that `evidence.py` reads.
"""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TextIO

from tornado.gen import sleep
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.locks import Event
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from ..clock import SECOND
from .host_model import CompletedRequest, HostModel, HostSettings

LOAD_REPORT_HEADER = "endpoint-load-metrics"
DEFAULT_WORK = 1000  # microseconds of one core, for a class without a stated amount
HUNG_CPU_UTILIZATION = 0.01  # a host that hangs reports itself as idle


class Host:
    """One host on its own port.

    `fault`: "slow", "hang" (requests start but do not finish), "errors" (a share of requests
    fails), "silent" (neither requests nor health checks are answered), or None.
    """

    def __init__(self, pool: "HostPool", name: str, settings: HostSettings) -> None:
        self.name = name
        self.port = 0
        self.fault: str | None = None
        self._fault_size = 1.0
        self._fault_ended = Event()
        self._pool = pool
        self._model = HostModel(settings)
        self._request_count = 0
        self._server: HTTPServer | None = None
        self._listen()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        assert self._server is not None
        self._server.stop()
        await self._server.close_all_connections()

    def set_fault(self, fault: str | None, size: float = 1.0) -> None:
        """Start a fault, or end the current one with None.

        `size` is the share of its speed that a slow host loses, or the share of failed requests.
        """
        self.fault = fault
        self._fault_size = size
        self._model.speed = 1 - size if fault == "slow" else 1.0
        if fault not in ("hang", "silent"):
            self._fault_ended.set()
            self._fault_ended = Event()

    async def serve(self, handler: RequestHandler, class_name: str) -> None:
        """Handle one request according to the host's state and fault."""
        headers = handler.request.headers
        work = int(headers.get("Work", 0)) or self._pool.work.get(class_name, DEFAULT_WORK)
        now = self._pool.now()
        self._request_count += 1
        if not self._model.add_arrival(now, work):
            self._write_receipt(class_name, work, headers, "fallen")
            await self.stop()
            return
        if self.fault == "silent":
            self._write_receipt(class_name, work, headers, "silent")
            await self._fault_ended.wait()
            return
        if self._model.is_full():
            self._write_receipt(class_name, work, headers, "full")
            handler.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self._write_receipt(class_name, work, headers, "begun")
        if self.fault == "errors" and self._request_count % 100 < self._fault_size * 100:
            self._model.record_completion(CompletedRequest(now, class_name, False, 0))
            handler.set_status(HTTPStatus.INTERNAL_SERVER_ERROR)
            return
        await self._execute(class_name, work)
        report = self._model.load_report(self._pool.now(), self._pool.work)
        handler.set_header(LOAD_REPORT_HEADER, report)

    async def load_report(self) -> str:
        """Return the load report; a silent host waits until the fault has ended."""
        if self.fault == "silent":
            await self._fault_ended.wait()
        report = self._model.load_report(self._pool.now(), self._pool.work)
        if self.fault != "hang":
            return report
        metrics = json.loads(report.partition(" ")[2])
        metrics["cpu_utilization"] = HUNG_CPU_UTILIZATION
        return "JSON " + json.dumps(metrics)

    def _listen(self) -> None:
        sockets = bind_sockets(0, "127.0.0.1", reuse_port=False)
        self.port = sockets[0].getsockname()[1]
        self._server = HTTPServer(
            Application(
                [
                    (r"/exchange/([a-z-]+)", RequestEndpoint, {"host": self}),
                    (r"/load", LoadReportEndpoint, {"host": self}),
                ],
                log_function=lambda handler: None,
            )
        )
        self._server.add_sockets(sockets)

    async def _execute(self, class_name: str, work: int) -> None:
        """Wait for a slot, then for the time that the work takes."""
        model = self._model
        if model.in_flight >= model.settings.slots:
            slot_free = Event()
            model.queue.append(slot_free)
            await slot_free.wait()
        model.in_flight += 1
        try:
            if self.fault == "hang":
                await self._fault_ended.wait()
            service_time = model.service_time(self._pool.now(), work)
            await sleep(service_time / SECOND)
            model.record_completion(
                CompletedRequest(self._pool.now(), class_name, True, service_time)
            )
        finally:
            model.in_flight -= 1
            if model.queue:
                model.queue.popleft().set()

    def _write_receipt(self, class_name: str, work: int, headers: HTTPHeaders, state: str) -> None:
        now = self._pool.now()
        self._pool.write(
            {
                "at": now,
                "host": self.name,
                "relay": headers.get("Relay", ""),
                "key": headers.get("Exchange", ""),
                "try": int(headers.get("Try", 0)),
                "class": class_name,
                "work": work,
                "able": self._model.capacity(now),
                "cold": self._model.capacity_share(now) < 1,
                "state": state,
            }
        )


class RequestEndpoint(RequestHandler):
    """Serves the requests of relays."""

    def initialize(self, host: Host) -> None:
        """Set the host that serves the requests."""
        self._host = host

    async def get(self, class_name: str) -> None:
        """Serve one request of a class."""
        await self._host.serve(self, class_name)

    post = get


class LoadReportEndpoint(RequestHandler):
    """Answers health checks with the load report."""

    def initialize(self, host: Host) -> None:
        """Set the host that the report describes."""
        self._host = host

    async def get(self) -> None:
        """Return the load report in a header."""
        self.set_header(LOAD_REPORT_HEADER, await self._host.load_report())


class HostPool:
    """The hosts in one process.

    `work` is the work of a request of each class, in microseconds of one core. Receipts are
    written to `receipts`.
    """

    def __init__(self, now: Callable[[], int], receipts: TextIO, work: dict[str, int]) -> None:
        self.now = now
        self.work = work
        self.hosts: dict[str, Host] = {}
        self._receipts = receipts

    def write(self, receipt: dict[str, Any]) -> None:
        """Write one receipt."""
        self._receipts.write(json.dumps(receipt, separators=(",", ":")) + "\n")

    def start(self, name: str, settings: HostSettings) -> int:
        """Start one host; return its port."""
        host = self.hosts[name] = Host(self, name, settings)
        return host.port

    async def stop(self, name: str) -> None:
        """Stop one host."""
        await self.hosts.pop(name).stop()

    async def execute(self, command: dict[str, Any]) -> dict[str, Any]:
        """Execute one command: {"do": "start" | "stop" | "hurt", "host": .., ..}."""
        name = command["host"]
        match command["do"]:
            case "start":
                return {"port": self.start(name, HostSettings.from_json(command))}
            case "stop":
                await self.stop(name)
            case "hurt":
                self.hosts[name].set_fault(command["fault"], command.get("part", 1.0))
        return {}
