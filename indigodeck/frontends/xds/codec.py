"""Resources of the xDS protocol as bytes, and what relays send as plain values.

Messages are the generated ones of xds-protos. A class is a listener, a route, a cluster and its endpoints, all named
after it; docs/xds.md says what each carries. Bytes are deterministic: the version of a resource is the hash of its
content, so that two planners, or one before and after a restart, give the same table the same version.
"""

import xxhash
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import address_pb2, base_pb2, config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import (
    http_connection_manager_pb2 as manager_pb2,
)
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf import any_pb2, duration_pb2, wrappers_pb2

PREFIX = "type.googleapis.com/"
CLUSTER = PREFIX + "envoy.config.cluster.v3.Cluster"
ENDPOINTS = PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
LISTENER = PREFIX + "envoy.config.listener.v3.Listener"
ROUTE = PREFIX + "envoy.config.route.v3.RouteConfiguration"
# What is used comes before what uses it: clusters and their endpoints, then listeners and routes that lead there.
KINDS = (CLUSTER, ENDPOINTS, LISTENER, ROUTE)
MILLION = 1_000_000
HEALTHY, DRAINING = health_check_pb2.HEALTHY, health_check_pb2.DRAINING
LEVEL = "level"  # the category of what a class's level turns away

ADS = config_source_pb2.ConfigSource(
    ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
)
SELF = config_source_pb2.ConfigSource(self=config_source_pb2.SelfConfigSource())


def packed(kind, message):
    """(version, bytes of the Any) of one resource."""
    wrapped = any_pb2.Any(type_url=kind, value=message.SerializeToString(deterministic=True))
    return xxhash.xxh3_64_hexdigest(wrapped.value), wrapped.SerializeToString()


def listener(name):
    manager = manager_pb2.HttpConnectionManager(
        rds=manager_pb2.Rds(config_source=ADS, route_config_name=name),
        http_filters=[
            manager_pb2.HttpFilter(name="router", typed_config=_any(router_pb2.Router()))
        ],
    )
    return packed(
        LISTENER,
        listener_pb2.Listener(
            name=name, api_listener=api_listener_pb2.ApiListener(api_listener=_any(manager))
        ),
    )


def _any(message):
    wrapped = any_pb2.Any()
    wrapped.Pack(message, deterministic=True)
    return wrapped


def route(name, tries):
    """`tries`: further tries after any failure that the assigner allows: 0, or as many as its way states. One after
    proof that the first never ran is what relays of this protocol do by themselves.
    """
    action = route_components_pb2.RouteAction(cluster=name)
    if tries:
        action.retry_policy.CopyFrom(
            route_components_pb2.RetryPolicy(
                retry_on="unavailable", num_retries=wrappers_pb2.UInt32Value(value=tries)
            )
        )
    return packed(
        ROUTE,
        route_pb2.RouteConfiguration(
            name=name,
            virtual_hosts=[
                route_components_pb2.VirtualHost(
                    name=name,
                    domains=["*"],
                    routes=[
                        route_components_pb2.Route(
                            match=route_components_pb2.RouteMatch(prefix=""), route=action
                        )
                    ],
                )
            ],
        ),
    )


def cluster(name):
    return packed(
        CLUSTER,
        cluster_pb2.Cluster(
            name=name,
            type=cluster_pb2.Cluster.EDS,
            lb_policy=cluster_pb2.Cluster.ROUND_ROBIN,
            lrs_server=SELF,
            lrs_report_endpoint_metrics=["named_metrics.took_ms"],
            eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=ADS),
        ),
    )


def endpoints(name, lines, out, level):
    """`lines`, `out`: (hall, host's id, address, port, weight), those in the table and those that drain.

    Each host is a locality of its own within its hall: relays weigh localities, and many of them not the endpoints
    within one. A locality without a weight gets nothing.
    """
    groups = []
    for hall, host, address, port, weight in sorted(lines) + sorted(out):
        point = endpoint_components_pb2.LbEndpoint(
            health_status=HEALTHY if weight else DRAINING,
            endpoint=endpoint_components_pb2.Endpoint(
                address=address_pb2.Address(
                    socket_address=address_pb2.SocketAddress(address=address, port_value=port)
                )
            ),
        )
        group = endpoint_components_pb2.LocalityLbEndpoints(
            locality=base_pb2.Locality(zone=hall, sub_zone=host), lb_endpoints=[point]
        )
        if weight:
            point.load_balancing_weight.value = weight
            group.load_balancing_weight.value = weight
            group.lb_endpoints[0].CopyFrom(point)
        groups.append(group)
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=name, endpoints=groups)
    if level < 1:
        dropped = assignment.policy.drop_overloads.add(category=LEVEL)
        dropped.drop_percentage.numerator = round((1 - level) * MILLION)
        dropped.drop_percentage.denominator = 2  # of a million
    return packed(ENDPOINTS, assignment)


# What relays send.


def place_of(node, halls):
    """(id, hall or None) of a relay, by its node message."""
    return node.id, node.locality.zone if node.locality.zone in halls else None


def whole(kind, version, nonce, resources):
    """A state-of-the-world response; `resources`: [(name, version, bytes)]."""
    answer = discovery_pb2.DiscoveryResponse(type_url=kind, version_info=version, nonce=nonce)
    for _, _, data in resources:
        answer.resources.add().MergeFromString(data)
    return answer


def changes(kind, version, nonce, resources, removed):
    """A delta response."""
    answer = discovery_pb2.DeltaDiscoveryResponse(
        type_url=kind, system_version_info=version, nonce=nonce, removed_resources=removed
    )
    for name, held, data in resources:
        answer.resources.add(name=name, version=held).resource.MergeFromString(data)
    return answer


def asking_reports(period):
    """The answer that asks a relay for its load reports, each `period` microseconds."""
    return lrs_pb2.LoadStatsResponse(
        send_all_clusters=True,
        report_endpoint_granularity=True,
        load_reporting_interval=duration_pb2.Duration(
            seconds=period // MILLION, nanos=period % MILLION * 1000
        ),
    )


def reports_in(request):
    """What a load report says: (class, span in microseconds, dropped, [(host's id, place, issued, succeeded, failed, mean time
    of succeeded in microseconds)]) for each cluster. Hosts are localities of their own; where a relay tells of endpoints
    by address, these stand in place of them.
    """
    for stats in request.cluster_stats:
        span = (
            stats.load_report_interval.seconds * MILLION + stats.load_report_interval.nanos // 1000
        )
        met = []
        for group in stats.upstream_locality_stats:
            met.append(
                (
                    group.locality.sub_zone,
                    None,
                    group.total_issued_requests,
                    group.total_successful_requests,
                    group.total_error_requests,
                    _mean(group.load_metric_stats),
                )
            )
        yield stats.cluster_name, span, stats.total_dropped_requests, met


def _mean(metrics):
    for metric in metrics:
        if metric.metric_name == "took_ms" and metric.num_requests_finished_with_metric:
            value = metric.total_metric_value / metric.num_requests_finished_with_metric * 1000
            return round(value) if 0 <= value < 1e12 else 0
    return 0
