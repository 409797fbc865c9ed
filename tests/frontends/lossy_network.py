"""A simulation of a planner and xDS proxies on a network that loses messages, without sockets."""

import xxhash
from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import discovery_pb2
from harness import SimulatedLoop, deployment_settings, server
from versions.support import StubStore

from indigodeck.assignment.seeded_random import SeededRandom
from indigodeck.client import Tables
from indigodeck.client.tables import RequestRejectedError
from indigodeck.client.xds_session import XdsSession
from indigodeck.frontends.xds import codec
from indigodeck.frontends.xds.proxies import Bounds, XdsProxy
from indigodeck.frontends.xds.resources import ResourceCache
from indigodeck.frontends.xds.streams import Stream
from indigodeck.id_registry import IdRegistry
from indigodeck.planner.planner_host import PlannerHost
from indigodeck.planner.version_source import VersionSource
from indigodeck.planner.weights import scale_weights
from indigodeck.versions.operator_commands import OperatorCommands
from indigodeck.versions.publisher import TablePublisher
from indigodeck.versions.version_log import DAY

CLASSES = ["read", "write"]
CLASS_INDICES = {"read": 0, "write": 1}


class ScriptedAssigner:
    """Stands in for an assigner: binds each proxy to one of two tables per class.

    The weights of the tables are set by the schedule.
    """

    def __init__(self, planner_host, settings, seed):
        self.planner_host = planner_host

    def on_endpoint_update(self, kind, servers):
        """Do nothing."""
        pass

    def on_proxy_joined(self, proxy, zone, rate, fresh):
        """Bind the proxy to a table of each class."""
        for class_index in (0, 1):
            self.planner_host.assign_table(proxy, 2 * (proxy % 2) + class_index, [class_index])

    def on_proxy_left(self, proxy):
        """Do nothing."""
        pass

    def on_ack(self, proxy, number, took):
        """Do nothing."""
        pass


class LossyNetwork(SimulatedLoop):
    """A planner and four proxies; messages are lost, delayed, duplicated and reordered.

    Either side may restart. `loss_percent` of the messages are lost. `published` holds the versions
    of all endpoints that proxies may be sent, and `versions` the content hash of each version that
    the planner published, by number.
    """

    def __init__(self, seed):
        super().__init__()
        self.random = SeededRandom(seed)
        self.stored = StubStore()
        self.epoch = 0
        self.loss_percent = 30
        self.published = set()
        self.serve_count = 0
        self.versions = {}
        self.proxies = [SimulatedProxy(self, number) for number in range(4)]
        self.restart_planner()

    def restart_planner(self):
        """Start a new planner with the stored data of the last one, under the next epoch."""
        self.epoch += 1
        self.servers = IdRegistry()
        self.proxy_ids = IdRegistry()
        for number in range(8):
            self.servers.index(f"h{number}")
        self.planner_host = PlannerHost(self, deployment_settings(), 1, ScriptedAssigner)
        self.planner_host.on_endpoint_update("whole", [server(number) for number in range(8)])
        source = VersionSource(
            planner_host=self.planner_host,
            server_ids=self.servers,
            proxy_ids=self.proxy_ids,
            store=self,
            stored=dict(self.stored.values),
            wall_clock_offset=DAY,
            on_version_published=lambda version, delta: None,
            on_requests_changed=lambda state: None,
            log=self.log_event,
            clock=self.now,
        )
        self.publisher = TablePublisher(source, CLASSES, 500, DAY)
        self.planner_host.publisher = self.publisher
        self.commands = OperatorCommands(self.publisher, source)
        self.publisher.become_leader(self.epoch)
        self.cache = ResourceCache(self.planner_host, self, CLASS_INDICES, scale_weights)
        self.connected = {}
        for proxy in self.proxies:
            proxy.disconnect()
        self.change_tables(all_tables=True)

    def change_tables(self, all_tables=False):
        """Draw new weights for one table, or for all."""
        for table in range(4) if all_tables else (self.random.randbelow(4),):
            self.planner_host.class_of_table[table] = table % 2
            for number in range(8):
                if all_tables or self.random.randbelow(3) == 0:
                    self.planner_host.set_weight(
                        table, number, self.random.randbelow(3) * 1.0 if number else 1.0
                    )
        self.planner_host.flush_orders("a turn")
        self.record_published()

    def record_published(self):
        """Record the endpoints that may be served from now on, and all published versions.

        Raises AssertionError if a version number was published with two different contents.
        """
        for table in range(4):
            lines = {
                server: weight
                for server, weight in self.planner_host.published_weights(table).items()
            }
            _, data = codec.endpoints(
                CLASSES[table % 2],
                [
                    self.endpoint_of(server) + (weight,)
                    for server, weight in scale_weights(lines).items()
                ],
                [],
                1.0,
            )
            self.published.add(xxhash.xxh3_64_hexdigest(codec.any_pb2.Any.FromString(data).value))
        for number, version in self.publisher.version_log.versions.items():
            if self.versions.setdefault(number, version.content_hash) != version.content_hash:
                raise AssertionError(f"version {number} was published with two contents")

    def give_operator_command(self):
        """Release one class or all, or roll them back, once or twice, with messages in flight.

        Raises AssertionError if a rollback reports that nothing changes, but publishes a version.
        """
        numbers = sorted(self.publisher.version_log.versions)
        classes = [[], ["read"], ["write"]][self.random.randbelow(3)]
        if self.random.randbelow(3) == 0:
            self.commands.release(classes, "duty", "")
        else:
            number = numbers[self.random.randbelow(len(numbers))]
            for _ in range(1 + self.random.randbelow(2)):
                before = len(self.publisher.version_log.versions)
                if (
                    "nothing changes" in self.commands.roll_back(number, classes, "duty", "")
                    and len(self.publisher.version_log.versions) > before
                ):
                    raise AssertionError(f"rollback to {number} took effect twice")
        self.planner_host.flush_orders("a turn")
        self.record_published()

    def endpoint_of(self, server):
        """Return the zone, id, address and port of a server."""
        return "hall", f"h{server}", "127.0.0.1", 9000 + server

    def put(self, changes):
        """Store changes of the publisher's data."""
        self.stored.save(changes)

    def request_write(self, proxy):
        """Request a write to a proxy, if it is connected."""
        if proxy in self.connected:
            self.connected[proxy].request_write()

    def lease_epoch(self, proxy):
        """Return the current planner's epoch."""
        return self.epoch

    def on_content_rejected(self, proxy_id, name, version):
        """Fail, as proxies may not reject published content."""
        raise AssertionError(f"{proxy_id} rejected {name}")

    def rejected_content(self, proxy_id):
        """Return no rejected versions."""
        return {}

    def deliver(self, proxy, incarnation, call, *arguments):
        """Deliver a message by a call: possibly never, twice or late, and only while connected."""
        if self.random.randbelow(100) < self.loss_percent:
            return
        for _ in range(2 if self.random.randbelow(8) == 0 else 1):
            self.call_later(
                1000 + self.random.randbelow(200_000 if self.random.randbelow(4) == 0 else 20_000),
                lambda: proxy.incarnation == incarnation and call(*arguments),
            )


class EnvironmentStandIn:
    """Stands in for the environment of a proxy's streams, without a log."""

    def __init__(self, network):
        self.on_content_rejected = network.on_content_rejected
        self.rejected_content = network.rejected_content
        self.lease_epoch = network.lease_epoch

    def log_event(self, event, **fields):
        """Log nothing."""


class SimulatedProxy:
    """A proxy that connects, disconnects and restarts, and checks the tables that it serves from.

    `incarnation` counts its connections, so that messages and timers of earlier ones are dropped.
    """

    def __init__(self, network, number):
        self.network = network
        self.proxy_id = f"r{number}"
        self.incarnation = 0
        self.stream = None
        self.tables = Tables(CLASSES, network.now)

    def disconnect(self):
        """End the connection, and reconnect after a random time."""
        if self.stream is not None and self.index in self.network.connected:
            del self.network.connected[self.index]
            self.network.planner_host.on_proxy_left(self.index)
        self.incarnation += 1
        self.stream = None
        incarnation = self.incarnation
        self.network.call_later(
            10_000 + self.network.random.randbelow(500_000),
            lambda: incarnation == self.incarnation and self.connect(),
        )

    def connect(self):
        """Open a stream."""
        self.index = self.network.proxy_ids.index(self.proxy_id.encode())
        self.xds_proxy = XdsProxy(
            self.proxy_id,
            self.index,
            self.network.cache,
            self.network.planner_host,
            EnvironmentStandIn(self.network),
            Bounds(),
        )
        self.stream = Stream.open(self.xds_proxy, self, True)
        self.session = XdsSession(self.tables, {})
        self.network.connected[self.index] = self
        self.network.planner_host.on_proxy_joined(self.index, 0, 1.0, False)
        opening = self.session.opening_request(base_pb2.Node(id=self.proxy_id))
        # The first request is not subject to loss, since it opens the connection.
        self.stream.on_delta_request(
            opening.type_url,
            opening.resource_names_subscribe,
            [],
            dict(opening.initial_resource_versions),
            "",
            None,
        )

    # The interface for the stream (`streams.StreamConnection`).

    def request_write(self):
        """Write as soon as other timers of this moment have run."""
        self.network.call_later(0, self.write)

    def call_after(self, after, call, *arguments):
        """Call a function later, unless the connection has ended by then."""
        incarnation = self.incarnation
        self.network.call_later(after, lambda: self.incarnation == incarnation and call(*arguments))

    def end(self):
        """End the connection."""
        self.disconnect()

    def write(self):
        """Send the next response that is due."""
        if self.stream is not None:
            self.xds_proxy.take_updates()
            self.stream.send_next()

    def send(self, type_url, version, nonce, resources, removed):
        """Send a response over the network."""
        data = codec.delta_response(
            type_url, version, nonce, resources, removed
        ).SerializeToString()
        self.network.deliver(self, self.incarnation, self.receive, data)
        self.request_write()

    def receive(self, data):
        """Apply a response, and answer it over the network."""
        try:
            answer = self.session.on_response(discovery_pb2.DeltaDiscoveryResponse.FromString(data))
        except RequestRejectedError:
            return self.disconnect()
        if answer is not None:
            error = answer.error_detail.message or None
            self.network.deliver(
                self,
                self.incarnation,
                self.on_answer,
                answer.type_url,
                answer.response_nonce,
                error,
            )

    def on_answer(self, type_url, nonce, error):
        """Handle the proxy's answer on the planner's end of the stream."""
        if self.stream is not None:
            self.stream.on_delta_request(type_url, [], [], {}, nonce, error)

    def intended_versions(self):
        """Return the versions of endpoints, by class, that the proxy should hold."""
        return {
            name: self.network.cache.resource(codec.ENDPOINTS, name, self.index)[0]
            for name in CLASSES
        }

    def serve(self):
        """Check that each class is served from a complete table that was published."""
        for name, version in self.tables.versions.items():
            if version not in self.network.published:
                raise AssertionError(
                    f"{self.proxy_id} serves {name} from {version}, which was never published"
                )
            self.network.serve_count += 1


def play_schedule(seed):
    """Play 30 random events from a seed with all checks; return how many tables were served."""
    network = LossyNetwork(seed)
    for _ in range(30):
        _play_event(network)
        for _ in range(3):
            network.run(network.random.randbelow(200) / 1000)
            for proxy in network.proxies:
                proxy.serve()
    # From here on nothing is lost. Losses before this point take effect at the latest with the next
    # change of tables.
    network.loss_percent = 0
    network.run(15)
    _check_known_versions(network, seed)
    network.change_tables(all_tables=True)
    network.run(3)
    _check_end(network, seed)
    return network.serve_count


def _play_event(network):
    event = network.random.randbelow(10)
    proxy = network.proxies[network.random.randbelow(4)]
    if event < 5:
        network.change_tables()
    elif event == 5:
        network.give_operator_command()
    elif event < 8:
        proxy.disconnect()
    elif event == 8:
        proxy.tables = Tables(CLASSES, network.now)  # the proxy restarts without any tables
        proxy.disconnect()
    else:
        network.restart_planner()


def _check_known_versions(network, seed):
    """Check that proxies which the publisher reports as up to date hold the intended versions."""
    statuses = network.publisher.relay_versions.statuses()
    up_to_date = {proxy_id for proxy_id, _, newest, _ in statuses if newest}
    for proxy in network.proxies:
        holds_all = proxy.tables.versions == proxy.intended_versions()
        if proxy.proxy_id in up_to_date and not holds_all:
            raise AssertionError(
                f"seed {seed}: {proxy.proxy_id} is reported as up to date, but is not"
            )


def _check_end(network, seed):
    """Check that all proxies hold the newest version, and that the publisher reports that."""
    for proxy in network.proxies:
        proxy.serve()
        intended = proxy.intended_versions()
        statuses = network.publisher.relay_versions.statuses()
        if (
            proxy.tables.versions != intended
            or not all(newest for _, _, newest, _ in statuses)
            or len(statuses) < 4
        ):
            raise AssertionError(
                f"seed {seed}: {proxy.proxy_id} ends on {proxy.tables.versions}, not {intended};"
                f" statuses: {statuses}"
            )
