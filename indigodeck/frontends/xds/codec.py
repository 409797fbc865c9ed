"""Encodes the resources of the xDS protocol, and reads the messages of proxies into plain values.

The message classes are generated ones from xds-protos. A class of requests is represented by a
listener, a route, a cluster and its endpoints, all with the name of the class; docs/xds.md
describes their content. Encoding is deterministic: the version of a resource is the hash of its
content, so that two planners, or one planner before and after a restart, give the same table the
same version.
"""

from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import NamedTuple

import xxhash
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import address_pb2, base_pb2, config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2, load_report_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import (
    http_connection_manager_pb2 as manager_pb2,
)
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.type.v3 import percent_pb2
from google.protobuf import any_pb2, duration_pb2, message, wrappers_pb2

from ...clock import MILLISECOND, SECOND

TYPE_URL_PREFIX = "type.googleapis.com/"
CLUSTER = TYPE_URL_PREFIX + "envoy.config.cluster.v3.Cluster"
ENDPOINTS = TYPE_URL_PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
LISTENER = TYPE_URL_PREFIX + "envoy.config.listener.v3.Listener"
ROUTE = TYPE_URL_PREFIX + "envoy.config.route.v3.RouteConfiguration"
# In the order in which responses are sent: clusters and endpoints come before the listeners and
# routes that refer to them.
RESOURCE_TYPES = (CLUSTER, ENDPOINTS, LISTENER, ROUTE)

DROP_DENOMINATOR = 1_000_000  # drop percentages are given in millionths
DROP_CATEGORY = "level"  # of requests that are rejected by the admission control of their class
LATENCY_METRIC = "took_ms"
MAX_LATENCY_US = 1e12  # a longer latency in a report is not plausible, and is ignored
NANOSECONDS_PER_MICROSECOND = 1000

_AGGREGATED = config_source_pb2.ConfigSource(
    ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
)
_SAME_SERVER = config_source_pb2.ConfigSource(self=config_source_pb2.SelfConfigSource())


class Resource(NamedTuple):
    """One resource: its version, the hash of its content, and its serialized Any message."""

    version: str
    data: bytes


class NamedResource(NamedTuple):
    """A resource with its name, as part of a response."""

    name: str
    version: str
    data: bytes


class Endpoint(NamedTuple):
    """A server among the endpoints of a class; a draining server has weight 0."""

    zone: str
    host_id: str
    address: str
    port: int
    weight: int


class NodeIdentity(NamedTuple):
    """The id that a proxy states, and its zone, or None if the deployment has no such zone."""

    proxy_id: str
    zone: str | None


class ServerCounts(NamedTuple):
    """A proxy's requests to one server; `mean_latency`, in us, covers those that succeeded."""

    host_id: str
    issued: int
    succeeded: int
    failed: int
    mean_latency: int


class ClassReport(NamedTuple):
    """A proxy's load report on one class.

    It covers `span` microseconds; `rejected` counts the requests that the proxy itself dropped.
    """

    name: str
    span: int
    rejected: int
    servers: list[ServerCounts]


def listener(name: str) -> Resource:
    """Return the listener of a class."""
    manager = manager_pb2.HttpConnectionManager(
        rds=manager_pb2.Rds(config_source=_AGGREGATED, route_config_name=name),
        http_filters=[
            manager_pb2.HttpFilter(name="router", typed_config=_any(router_pb2.Router()))
        ],
    )
    return _resource(
        LISTENER,
        listener_pb2.Listener(
            name=name, api_listener=api_listener_pb2.ApiListener(api_listener=_any(manager))
        ),
    )


def route(name: str, retries: int) -> Resource:
    """Return the route of a class, with the number of retries that the assigner allows.

    These are retries after any failure. Without such a policy clients still retry once if it is
    certain that the first attempt was not executed.
    """
    action = route_components_pb2.RouteAction(cluster=name)
    if retries:
        action.retry_policy.CopyFrom(
            route_components_pb2.RetryPolicy(
                retry_on="unavailable", num_retries=wrappers_pb2.UInt32Value(value=retries)
            )
        )
    every_request = route_components_pb2.RouteMatch(prefix="")
    virtual_host = route_components_pb2.VirtualHost(
        name=name,
        domains=["*"],
        routes=[route_components_pb2.Route(match=every_request, route=action)],
    )
    return _resource(ROUTE, route_pb2.RouteConfiguration(name=name, virtual_hosts=[virtual_host]))


def cluster(name: str) -> Resource:
    """Return the cluster of a class."""
    return _resource(
        CLUSTER,
        cluster_pb2.Cluster(
            name=name,
            type=cluster_pb2.Cluster.EDS,
            lb_policy=cluster_pb2.Cluster.ROUND_ROBIN,
            lrs_server=_SAME_SERVER,
            lrs_report_endpoint_metrics=[f"named_metrics.{LATENCY_METRIC}"],
            eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=_AGGREGATED),
        ),
    )


def endpoints(
    name: str,
    serving: Iterable[Endpoint],
    draining: Iterable[Endpoint],
    admitted_share: float,
) -> Resource:
    """Return the endpoints of a class: the servers in its table and the draining ones.

    Each server is a locality of its own within its zone, because clients apply the weights of
    localities, but many ignore those of endpoints within a locality. A locality without a weight
    gets no requests.
    """
    groups = [_locality(*endpoint) for endpoint in [*sorted(serving), *sorted(draining)]]
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=name, endpoints=groups)
    if admitted_share < 1:
        overload = assignment.policy.drop_overloads.add(category=DROP_CATEGORY)
        overload.drop_percentage.numerator = round((1 - admitted_share) * DROP_DENOMINATOR)
        overload.drop_percentage.denominator = percent_pb2.FractionalPercent.MILLION
    return _resource(ENDPOINTS, assignment)


def _locality(
    zone: str, host_id: str, address: str, port: int, weight: int
) -> endpoint_components_pb2.LocalityLbEndpoints:
    socket_address = address_pb2.SocketAddress(address=address, port_value=port)
    endpoint = endpoint_components_pb2.LbEndpoint(
        health_status=health_check_pb2.HEALTHY if weight else health_check_pb2.DRAINING,
        endpoint=endpoint_components_pb2.Endpoint(
            address=address_pb2.Address(socket_address=socket_address)
        ),
    )
    if weight:
        endpoint.load_balancing_weight.value = weight
    group = endpoint_components_pb2.LocalityLbEndpoints(
        locality=base_pb2.Locality(zone=zone, sub_zone=host_id), lb_endpoints=[endpoint]
    )
    if weight:
        group.load_balancing_weight.value = weight
    return group


def _resource(type_url: str, content: message.Message) -> Resource:
    wrapped = any_pb2.Any(type_url=type_url, value=content.SerializeToString(deterministic=True))
    return Resource(xxhash.xxh3_64_hexdigest(wrapped.value), wrapped.SerializeToString())


def _any(content: message.Message) -> any_pb2.Any:
    wrapped = any_pb2.Any()
    wrapped.Pack(content, deterministic=True)
    return wrapped


def full_response(
    type_url: str, version: str, nonce: str, resources: Iterable[NamedResource]
) -> discovery_pb2.DiscoveryResponse:
    """Return a state-of-the-world response."""
    response = discovery_pb2.DiscoveryResponse(type_url=type_url, version_info=version, nonce=nonce)
    for _, _, data in resources:
        response.resources.add().MergeFromString(data)
    return response


def delta_response(
    type_url: str,
    version: str,
    nonce: str,
    resources: Iterable[NamedResource],
    removed: Sequence[str],
) -> discovery_pb2.DeltaDiscoveryResponse:
    """Return an incremental response."""
    response = discovery_pb2.DeltaDiscoveryResponse(
        type_url=type_url, system_version_info=version, nonce=nonce, removed_resources=removed
    )
    for name, resource_version, data in resources:
        response.resources.add(name=name, version=resource_version).resource.MergeFromString(data)
    return response


def load_report_request(period: int) -> lrs_pb2.LoadStatsResponse:
    """Return the message that requests a load report every `period` microseconds."""
    return lrs_pb2.LoadStatsResponse(
        send_all_clusters=True,
        report_endpoint_granularity=True,
        load_reporting_interval=duration_pb2.Duration(
            seconds=period // SECOND, nanos=period % SECOND * NANOSECONDS_PER_MICROSECOND
        ),
    )


def node_identity(node: base_pb2.Node, zone_names: Collection[str]) -> NodeIdentity:
    """Return the identity that a proxy states in its node message."""
    zone = node.locality.zone
    return NodeIdentity(node.id, zone if zone in zone_names else None)


def read_load_report(request: lrs_pb2.LoadStatsRequest) -> Iterator[ClassReport]:
    """Yield the report of each class in a load report. Each server is a locality of its own."""
    for stats in request.cluster_stats:
        interval = stats.load_report_interval
        yield ClassReport(
            stats.cluster_name,
            interval.seconds * SECOND + interval.nanos // NANOSECONDS_PER_MICROSECOND,
            stats.total_dropped_requests,
            [
                ServerCounts(
                    group.locality.sub_zone,
                    group.total_issued_requests,
                    group.total_successful_requests,
                    group.total_error_requests,
                    _mean_latency(group.load_metric_stats),
                )
                for group in stats.upstream_locality_stats
            ],
        )


def _mean_latency(metrics: Iterable[load_report_pb2.EndpointLoadMetricStats]) -> int:
    for metric in metrics:
        count = metric.num_requests_finished_with_metric
        if metric.metric_name == LATENCY_METRIC and count:
            mean = metric.total_metric_value / count * MILLISECOND
            return round(mean) if 0 <= mean < MAX_LATENCY_US else 0
    return 0
