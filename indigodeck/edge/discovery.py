"""The endpoint list, watched at discovery's address by long polls.

Polls are short: a connection that falls silent is found out soon, and the agent that answers them
does so at no cost. A list that is older than the last, or has lost all servers, is asked for again
before it is believed. Times are whole microseconds.
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
from .connecting import CONNECTION_ERRORS, Backoff, NumericResolver, keep_running
from .event_log import EventLog
from .json_fields import read_object
from .messages import Address, EndpointList

PATH = "/catalog/members"
POLL_WAIT = SECOND  # discovery answers a poll within it, with what has changed if anything has
RESPONSE_TIMEOUT = SECOND  # beyond the poll's own time, and for a whole list
MAX_LIST_BYTES = 8 << 20
MAX_CLIENTS = 4  # polls at once: those under way at former addresses count
MAX_REJECTIONS = 3  # times in a row that a doubtful list is asked for again


class DiscoveryClient:
    """Polls discovery; `on_list` is called for each answer that is believed.

    `has_servers`: whether the list that was known before the start names any.
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
        self._generation = 0  # of the loop: a move begins another
        self._poll_version: int | None = None  # the next poll asks for what came after it
        self._last_version: int | None = None
        self._rejections = 0
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=MAX_LIST_BYTES,
            resolver=NumericResolver(),
        )

    def start(self) -> None:
        """Begin to poll, in place of any loop before."""
        self._generation += 1
        generation = self._generation
        IOLoop.current().add_callback(keep_running, lambda: self._run(generation), self._log)

    def set_address(self, address: Address) -> None:
        """Go on at another address: the whole list there first, whatever the old one answers."""
        if address != self._address:
            self._address = address
            self._poll_version = None
            self.start()

    def fetch(self) -> None:
        """Ask for the whole list with the next poll."""
        self._poll_version = None

    async def _run(self, generation: int) -> None:
        while generation == self._generation:
            asked_version = self._poll_version
            try:
                answer = await self._poll(asked_version)
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
            if self._poll_version == asked_version:  # else the whole list was asked for meanwhile
                self._poll_version = answer.version
            self._accept(answer)

    async def _poll(self, after: int | None) -> EndpointList:
        """Ask for the whole list, or for what changed after a version."""
        query = ""
        timeout = RESPONSE_TIMEOUT
        if after is not None:
            query = f"?after={after}&wait_ms={POLL_WAIT // MILLISECOND}"
            timeout += POLL_WAIT
        request = HTTPRequest(
            f"http://{authority(self._address)}{PATH}{query}",
            connect_timeout=RESPONSE_TIMEOUT / SECOND,
            request_timeout=timeout / SECOND,
        )
        response = await self._client.fetch(request)
        return self._codec.read_endpoint_list(read_object(response.body))

    def _accept_late_answer(self, answer: EndpointList) -> None:
        """Take an answer of a former address.

        It was written to this planner before it moved, so this planner counts as notified of it.
        What the new address has said may be newer.
        """
        if self._last_version is None or answer.version > self._last_version:
            self._accept(answer)

    def _is_rejected(self, answer: EndpointList) -> bool:
        """Whether to ask for a list again before it is believed.

        An older list may come from a replica that lags, and an empty one from one that has only
        started: to believe either would bring back what drains, or take every server away. One
        that says so again and again has restarted.
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
