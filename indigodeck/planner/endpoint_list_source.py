"""Sources of the endpoint list: a file, or a discovery service that pushes it or is polled."""

from collections.abc import Callable
from typing import Any

from tornado.gen import sleep
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..clock import SECOND
from ..json_documents import InvalidDocumentError
from .endpoint_list import EndpointList, parse_endpoint_list
from .planner_settings import PlannerSettings

MAX_LIST_BYTES = 16 << 20
MAX_CONNECTIONS = 8
REQUEST_TIMEOUT_S = 2
CONNECT_TIMEOUT_S = 2
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

READ_ERRORS = (OSError, UnicodeDecodeError, InvalidDocumentError)
FETCH_ERRORS = (*READ_ERRORS, HTTPClientError)


class EndpointListSource:
    """Reads the list from the configured source and applies it to `endpoint_list`.

    `on_fetch_failed` is called after a failed fetch. `jitter` returns a random number from 0 to 1;
    a backoff is multiplied by that number plus one half, so that planners do not all reconnect at
    the same time.
    """

    def __init__(
        self,
        settings: PlannerSettings,
        endpoint_list: EndpointList,
        on_fetch_failed: Callable[[], None],
        jitter: Callable[[], float],
        log: Any,
    ) -> None:
        self._settings = settings.endpoint_list
        self._endpoint_list = endpoint_list
        self._on_fetch_failed = on_fetch_failed
        self._jitter = jitter
        self._log = log
        self._path = settings.folder / (self._settings.file or "")
        self._file_signature: tuple[int, int, int] | None = None
        self._last_error: str | None = None
        self._is_fetching = False
        self._is_closing = False
        self._file_timer: PeriodicCallback | None = None
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS, max_body_size=MAX_LIST_BYTES
        )

    def start(self) -> None:
        """Start to read the file, poll the service, or watch it."""
        if self._settings.file is not None:
            self._read_file()
            self._file_timer = PeriodicCallback(
                self._read_file, self._settings.poll_interval / 1000
            )
            self._file_timer.start()
        elif self._settings.polled:
            self.fetch()
        else:
            IOLoop.current().add_callback(self._watch)

    def close(self) -> None:
        """Stop, and close all connections."""
        self._is_closing = True
        if self._file_timer is not None:
            self._file_timer.stop()
        self._client.close()

    def fetch(self) -> None:
        """Fetch the full list from the service, if one is configured; one fetch at a time."""
        if self._settings.service_url and not self._is_fetching:
            self._is_fetching = True
            IOLoop.current().add_callback(self._fetch)

    def _read_file(self) -> None:
        """Read the file if it has changed."""
        try:
            status = self._path.stat()
            signature = (status.st_mtime_ns, status.st_size, status.st_ino)
            if signature == self._file_signature:
                return
            text = self._path.read_text()
            self._file_signature = signature
            self._endpoint_list.apply_full(parse_endpoint_list(text))
        except READ_ERRORS as error:
            # The last valid list stays in use. The same error is logged only once in a row.
            if str(error) != self._last_error:
                self._last_error = str(error)
                self._log.warning("endpoint_list_not_read", why=str(error))

    async def _fetch(self) -> None:
        try:
            response = await self._client.fetch(
                f"{self._settings.service_url}/roster", request_timeout=REQUEST_TIMEOUT_S
            )
            self._endpoint_list.apply_full(parse_endpoint_list(response.body))
            if self._settings.polled and not self._is_closing:
                # A polled service pushes nothing, so the planner fetches the list periodically.
                # After a failed fetch, the assigner decides when to try again.
                IOLoop.current().call_later(self._settings.poll_interval / SECOND, self.fetch)
        except FETCH_ERRORS as error:
            self._log.warning("endpoint_list_not_read", why=str(error))
            self._on_fetch_failed()
        finally:
            self._is_fetching = False

    async def _watch(self) -> None:
        """Apply the documents that the service pushes; reconnect after a backoff."""
        backoff_s = INITIAL_BACKOFF_S
        while not self._is_closing:
            stream = _DocumentStream(self._endpoint_list)
            request = HTTPRequest(
                f"{self._settings.service_url}/watch",
                streaming_callback=stream.on_chunk,
                request_timeout=0,
                connect_timeout=CONNECT_TIMEOUT_S,
            )
            try:
                await self._client.fetch(request)
            except FETCH_ERRORS as error:
                self._log.warning("endpoint_list_not_followed", why=str(error))
            if stream.has_received:
                backoff_s = INITIAL_BACKOFF_S
            else:
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            await sleep(backoff_s * (0.5 + self._jitter()))


class _DocumentStream:
    """Splits the stream of a discovery service, one document a line, and applies the documents."""

    def __init__(self, endpoint_list: EndpointList) -> None:
        self.has_received = False
        self._endpoint_list = endpoint_list
        self._buffer = b""

    def on_chunk(self, chunk: bytes) -> None:
        """Apply the documents that are complete so far.

        Raises
        ------
        InvalidDocumentError
            If a line is longer than any list may be, or is not a valid list.
        """
        self._buffer += chunk
        if len(self._buffer) > MAX_LIST_BYTES:
            raise InvalidDocumentError(f"roster: line exceeds {MAX_LIST_BYTES} bytes")
        *lines, self._buffer = self._buffer.split(b"\n")
        for line in filter(None, lines):
            self.has_received = True
            self._endpoint_list.apply(parse_endpoint_list(line))
