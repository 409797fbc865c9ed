"""The SASP frontend: a Tornado TCP server that serves load balancers and members."""

from typing import Any

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from ...clock import SECOND
from ...planner.planner_settings import PlannerSettings, SaspFrontendSettings
from ...planner.service import PlannerService
from . import codec
from .codec import Address
from .connection import Connection
from .conversation import Conversation
from .registration import RegistrationRegistry

FRONTEND_NAME = "sasp"


class SaspFrontend(TCPServer):
    """Serves load balancers and members over SASP (`planner.proxy_sessions.Frontend`).

    It also implements the interface that their conversations use (`registration.SaspEnvironment`).
    """

    def __init__(self, service: PlannerService, settings: PlannerSettings) -> None:
        own_settings = settings.frontends[FRONTEND_NAME]
        assert isinstance(own_settings, SaspFrontendSettings)
        super().__init__(max_buffer_size=2 * own_settings.max_message_bytes)
        self.service = service
        self.planner_host = service.planner_host
        self.registry = RegistrationRegistry(
            self.planner_host,
            self,
            settings.class_names,
            codec.Bounds(
                own_settings.max_message_bytes, own_settings.max_groups, own_settings.max_members
            ),
            own_settings.poll_interval_s,
            settings.deployment.channel.message_window,
        )
        self.max_connections = own_settings.max_connections
        self.message_timeout_s = own_settings.message_timeout / SECOND
        self.stalled_timeout_s = own_settings.stalled_timeout / SECOND
        self._connections: set[Connection] = set()
        self._ids: dict[int, bytes] = {}  # load balancers' ids, by proxy
        self._bound_port = 0

    # The interface for the planner service (`planner.proxy_sessions.Frontend`).

    def listen(self, port: int, address: str) -> None:  # type: ignore[override]
        """Open the socket, and start to serve."""
        # All proxies of a fleet may connect at the same time. The kernel drops connection attempts
        # that exceed the backlog, and clients repeat them a second later; with a shorter backlog
        # this happened to 87 of 303 proxies.
        sockets = bind_sockets(port, address, backlog=self.max_connections)
        self.add_sockets(sockets)
        self._bound_port = sockets[0].getsockname()[1]

    def port(self) -> int:
        """Return the port of the open socket."""
        return self._bound_port

    def set_accepting(self, accepting: bool) -> None:
        """Do nothing: connections are accepted even while another controller leads.

        A proxy that connects then is rejected with a return code, and tries the next controller.
        """

    def request_write(self, proxy: int) -> None:
        """Request a write to a proxy that has pending updates."""
        conversation = self._conversation_of(proxy)
        if conversation is not None:
            conversation.connection.request_write()

    def disconnect_proxy(self, proxy: int) -> None:
        """End the connection of a proxy that is no longer served over it."""
        conversation = self._conversation_of(proxy)
        if conversation is not None:
            conversation.on_replaced()

    def _conversation_of(self, proxy: int) -> Conversation | None:
        load_balancer_id = self._ids.get(proxy)
        if load_balancer_id is None:
            return None
        return self.registry.conversations.get(load_balancer_id)

    def on_servers_changed(self, addresses: list[Address]) -> None:
        """Request a write to all load balancers that know one of these servers.

        This is for changes that are not part of a table, such as those of flags or members.
        """
        for conversation in self.registry.conversations.values():
            if conversation.push and any(
                address in group.members or address in group.sent
                for group in conversation.groups.values()
                for address in addresses
            ):
                conversation.connection.request_write()

    def close(self) -> None:
        """Close the socket and all connections."""
        self.stop()
        for connection in list(self._connections):
            connection.close("the planner is stopping")

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve one connection."""
        if len(self._connections) >= self.max_connections:
            self.log_event(
                "connection_rejected",
                peer=address[0],
                reason=f"{self.max_connections} connections are open",
            )
            stream.close()
            return
        connection = Connection(self, stream, address)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    # The interface for conversations (`registration.SaspEnvironment`).

    def now(self) -> int:
        """Return the time in microseconds on a monotonic clock."""
        return self.service.now()

    def proxy_index(self, load_balancer_id: bytes) -> int | None:
        """Return the index of a proxy, or None if it may not be served by this planner."""
        if not self.service.leadership.may_serve(load_balancer_id.decode("utf-8", "replace")):
            return None
        proxy = self.service.proxies.proxy_index(load_balancer_id)
        if proxy is not None:
            self._ids[proxy] = load_balancer_id
        return proxy

    def on_proxy_joined(self, proxy: int, load_balancer_id: bytes) -> None:
        """Start to serve a proxy."""
        name = load_balancer_id.decode("utf-8", "replace")
        self.service.proxies.on_proxy_joined(self, proxy, name)

    def on_proxy_left(self, proxy: int) -> None:
        """Stop serving a proxy."""
        self.service.proxies.on_proxy_left(self, proxy)

    def server_at(self, address: Address) -> int | None:
        """Return the index of the server at an address, or None."""
        return self.service.endpoints.server_at(address)

    def address_of(self, server: int) -> Address | None:
        """Return a server's address, or None."""
        return self.service.endpoints.address_of(server)

    def answered_recently(self, server: int) -> bool:
        """Return whether a server has answered the planner recently."""
        return self.service.health_checker.answered_recently(server)

    def on_host_quiesced(self, address: Address, quiesced: bool) -> bool:
        """Handle a server's own statement of whether it wants no new requests."""
        return self.service.endpoints.on_host_quiesced(address, quiesced)

    def log_event(self, event: str, **fields: Any) -> None:
        """Write an event to the log, with the name of this frontend."""
        self.service.log_event(event, frontend=FRONTEND_NAME, **fields)
