"""The planner for real proxies: hosts the assigner and serves proxies over several protocols.

`service` wires the modules together and runs them. `planner_host` implements the assigner's host
interface, and `pending_updates` queues its orders until proxies can be written to. `proxy_sessions`
tracks the connected proxies, `endpoint_directory` the hosts.

`endpoint_list_source` reads the endpoint list from a file or a discovery service, and
`endpoint_list` holds its newest version. `cached_endpoint_list` restores the list that an earlier
run stored. `health_checks`, `health_inference` and `demand_aggregation` turn reports from hosts and
proxies into reports to the assigner. `leadership_hooks` and `version_hooks` connect the packages
`leadership` and `versions`.
"""
