"""One discovery stream on grpcio's asyncio server, with a task that reads and one that writes."""

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

import grpc
from envoy.config.core.v3 import base_pb2

from ...clock import SECOND
from ...errors import LimitExceededError
from . import codec
from .codec import ENDPOINTS, RESOURCE_TYPES, NamedResource
from .proxies import NotLeaderError, XdsProxy
from .streams import Stream

if TYPE_CHECKING:
    from .server import XdsFrontend


class Connection:
    """One discovery stream: reads requests as they come, writes responses one at a time."""

    def __init__(self, frontend: "XdsFrontend", context: Any, is_delta: bool) -> None:
        self.frontend = frontend
        self.context = context  # the servicer context of grpcio
        self.is_delta = is_delta
        self.proxy: XdsProxy | None = None
        self.stream: Stream | None = None
        self._write_requested = asyncio.Event()
        self._response: Any = None
        self._reader: asyncio.Task[None] | None = None
        self._writer: asyncio.Task[None] | None = None

    # The interface for the stream (`streams.StreamConnection`).

    def send(
        self,
        type_url: str,
        version: str,
        nonce: str,
        resources: Sequence[NamedResource],
        removed: Sequence[str],
    ) -> None:
        """Build the response that is written next."""
        if self.is_delta:
            self._response = codec.delta_response(type_url, version, nonce, resources, removed)
        else:
            self._response = codec.full_response(type_url, version, nonce, resources)

    def request_write(self) -> None:
        """Have the stream's `send_next` called as soon as the message limits allow a write."""
        self._write_requested.set()

    def call_after(self, after: int, call: Callable[..., None], *arguments: Any) -> None:
        """Call a function after this many microseconds."""
        asyncio.get_running_loop().call_later(after / SECOND, call, *arguments)

    def end(self) -> None:
        """End the stream."""
        if self._reader is not None:
            self._reader.cancel()

    async def run(self) -> None:
        """Serve the stream until the proxy or the planner ends it."""
        reader = asyncio.get_running_loop().create_task(self._read_requests())
        self._reader = reader
        status = grpc.StatusCode.UNAVAILABLE
        reason = "this relay is now served over another connection or by another controller"
        try:
            await asyncio.wait([reader])
            error = None if reader.cancelled() else reader.exception()
            if error is None and not reader.cancelled():
                return
            if isinstance(error, LimitExceededError):
                status = grpc.StatusCode.RESOURCE_EXHAUSTED
                reason = str(error)
                peer = self.proxy.proxy_id if self.proxy else None
                self.frontend.log_event("proxy_rejected", peer=peer, reason=reason)
            elif error is not None and not isinstance(error, NotLeaderError):
                raise error
        finally:
            self._close()
        # An explicit status is needed: the stream stays open if its handler is merely cancelled.
        await self.context.abort(status, reason)

    def _close(self) -> None:
        self.end()
        if self._writer is not None:
            self._writer.cancel()
        if self.stream is not None and self.proxy is not None:
            self.frontend.on_stream_closed(self.proxy, self.stream)

    async def _read_requests(self) -> None:
        while (request := await self.context.read()) is not grpc.aio.EOF:
            if self.stream is None:
                self.stream = await self._open_stream(request.node)
            self._handle_request(self.stream, request)
            # Yield to other tasks, so that a flood of requests from one proxy does not block them.
            await asyncio.sleep(0)

    async def _open_stream(self, node: base_pb2.Node) -> Stream:
        frontend = self.frontend
        if (
            not frontend.is_connected(node)
            and not await frontend.service.proxies.wait_for_admission()
        ):
            raise LimitExceededError("too many relays are waiting to join")
        self.proxy = frontend.proxy_of(node)
        stream = Stream.open(self.proxy, self, self.is_delta)
        self._writer = asyncio.get_running_loop().create_task(
            self._write_responses(self.proxy, stream)
        )
        return stream

    def _handle_request(self, stream: Stream, request: Any) -> None:
        error = None
        if request.HasField("error_detail"):
            error = request.error_detail.message or "rejected without a reason"
        if self.is_delta:
            stream.on_delta_request(
                request.type_url,
                request.resource_names_subscribe,
                request.resource_names_unsubscribe,
                dict(request.initial_resource_versions),
                request.response_nonce,
                error,
            )
        else:
            stream.on_full_request(
                request.type_url, request.resource_names, request.response_nonce, error
            )

    async def _write_responses(self, proxy: XdsProxy, stream: Stream) -> None:
        try:
            while True:
                await self._write_requested.wait()
                self._write_requested.clear()
                proxy.take_updates()
                while await self._write_next(proxy, stream):
                    pass
        except NotLeaderError:
            self.end()

    async def _write_next(self, proxy: XdsProxy, stream: Stream) -> bool:
        """Write the next response that is due, and return whether there was one.

        Raises
        ------
        NotLeaderError
            If another controller now leads the relay group of the proxy.
        """
        service = self.frontend.service
        quota = service.proxies.message_quota(proxy.proxy_id)
        while wait := quota.order_wait(service.now()):
            await asyncio.sleep(wait / SECOND)
        proxy.take_updates()  # includes those that arrived while this task slept
        # Answers to subscriptions are limited to a part of the message quota, so that a proxy that
        # subscribes without end does not delay its own orders.
        answer_wait = quota.answer_wait(service.now())
        type_url = stream.send_next((ENDPOINTS,) if answer_wait else RESOURCE_TYPES)
        if type_url is None:
            if answer_wait:
                self.call_after(answer_wait, self._write_requested.set)
            return False
        # Endpoints are the only resources that change without a request, and count as orders; other
        # resources count as answers to subscriptions.
        quota.on_written(service.now(), is_answer=type_url != ENDPOINTS)
        response = self._response
        self._response = None
        if not service.leadership.may_write(proxy.index):
            # Checked directly before the write, as the lease may have ended since the response was
            # built.
            raise NotLeaderError("another controller leads this relay group")
        await self.context.write(response)
        return True
