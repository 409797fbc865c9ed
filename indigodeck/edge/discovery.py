"""Follows the endpoint list by long polls of the platform's discovery service.

Each poll is short, so that a silent connection is noticed soon; the agent that answers polls does
so at no cost. A list that is older than the last one, or that has lost all servers, is requested
again before it is accepted. Times are whole microseconds.
"""

from collections.abc import Callable

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.ioloop import IOLoop
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..assignment.seeded_random import SeededRandom
from ..clock import MILLISECOND, SECOND
from ..errors import MalformedMessageError
from ..planner.host_client import authority
from .codec import MessageCodec
from .connecting import (
    CONNECT_TIMEOUT,
    CONNECTION_ERRORS,
    Backoff,
    NumericResolver,
    keep_running,
)
from .event_log import EventLog
from .json_fields import read_object
from .messages import Address, EndpointList

PATH = "/catalog/members"
POLL_WAIT = SECOND  # discovery answers a poll within this time, even if nothing has changed
RESPONSE_TIMEOUT = SECOND  # in addition to POLL_WAIT; on its own for a whole list
MAX_LIST_BYTES = 8 << 20
MAX_CLIENTS = 4  # concurrent polls, including those still open at former addresses
MAX_REJECTIONS = 3  # consecutive times that a suspect list is requested again


class DiscoveryClient:
    """Polls discovery; `on_list` is called with each answer that is accepted.

    `has_servers`: whether the endpoint list from before the start names any server.
    """

    def __init__(
        self,
        address: Address,
        codec: MessageCodec,
        on_list: Callable[[EndpointList], None],
        log: EventLog,
        random: SeededRandom,
        has_servers: bool = False,
    ) -> None:
        self._address = address
        self._codec = codec
        self._on_list = on_list
        self._log = log
        self._has_servers = has_servers
        self._backoff = Backoff(random)
        self._generation = 0  # of the polling loop: each start begins a new one
        # The next poll requests the changes after this version, or the whole list if it is None.
        self._poll_version: int | None = None
        self._last_version: int | None = None
        self._rejections = 0
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=MAX_LIST_BYTES,
            resolver=NumericResolver(),
        )

    def start(self) -> None:
        """Start to poll; this replaces a polling loop that was started before."""
        self._generation += 1
        generation = self._generation
        IOLoop.current().add_callback(keep_running, lambda: self._run(generation), self._log)

    def set_address(self, address: Address) -> None:
        """Poll another address from now on, beginning with its whole list."""
        if address != self._address:
            self._address = address
            self._poll_version = None
            self.start()

    def fetch(self) -> None:
        """Request the whole list with the next poll."""
        self._poll_version = None

    async def _run(self, generation: int) -> None:
        while generation == self._generation:
            requested_version = self._poll_version
            try:
                answer = await self._poll(requested_version)
            except (*CONNECTION_ERRORS, HTTPClientError, MalformedMessageError) as error:
                if generation == self._generation:
                    self._log("endpoint_list_poll_failed", error=repr(error))
                    await self._backoff.wait()
                continue
            if generation != self._generation:
                self._accept_late_answer(answer)
                return
            self._backoff.reset()
            if self._is_rejected(answer):
                self._poll_version = None
                await self._backoff.wait()
                continue
            if self._poll_version == requested_version:  # else `fetch` was called during the poll
                self._poll_version = answer.version
            self._accept(answer)

    async def _poll(self, after: int | None) -> EndpointList:
        """Request the whole list, or the changes after a version."""
        query = ""
        timeout = RESPONSE_TIMEOUT
        if after is not None:
            query = f"?after={after}&wait_ms={POLL_WAIT // MILLISECOND}"
            timeout += POLL_WAIT
        request = HTTPRequest(
            f"http://{authority(self._address)}{PATH}{query}",
            connect_timeout=CONNECT_TIMEOUT / SECOND,
            request_timeout=timeout / SECOND,
        )
        response = await self._client.fetch(request)
        return self._codec.read_endpoint_list(read_object(response.body))

    def _accept_late_answer(self, answer: EndpointList) -> None:
        """Accept an answer from the former address, unless a newer one was accepted before.

        The former address sent the answer to this planner, so discovery counts this planner as
        notified of it.
        """
        if self._last_version is None or answer.version > self._last_version:
            self._accept(answer)

    def _is_rejected(self, answer: EndpointList) -> bool:
        """Return whether an answer must be requested again before it is accepted.

        An older list may come from a replica that lags behind, and an empty one from a replica
        that has just started. Accepting the first could put draining servers back into service;
        accepting the second would remove every server. After `MAX_REJECTIONS` such lists in a row
        the next one is accepted: discovery has restarted. An older answer that is not a whole list
        is always rejected.
        """
        is_older = self._last_version is not None and answer.version < self._last_version
        has_lost_all = answer.complete and self._has_servers and answer.is_empty
        if not (is_older or has_lost_all):
            self._rejections = 0
            return False
        if not answer.complete:
            return True
        self._rejections += 1
        self._log("endpoint_list_doubted", version=answer.version, servers=len(answer.endpoints))
        return self._rejections <= MAX_REJECTIONS

    def _accept(self, answer: EndpointList) -> None:
        self._last_version = answer.version
        self._rejections = 0
        if answer.complete:
            self._has_servers = not answer.is_empty
        if answer.complete or answer.endpoints:
            self._on_list(answer)
