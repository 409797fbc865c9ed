"""The live planner: hosts the assigner for real proxies, whichever protocol they speak.

`service` puts the parts together. What the assigner orders is kept in `planner_host` and waits in
`pending_updates`; `proxy_sessions` knows the proxies, `endpoint_directory` the hosts. Lists come
through `endpoint_list_source` to `endpoint_list`, or from an earlier run (`cached_endpoint_list`).
What hosts and proxies report goes through `health_checks`, `health_inference` and
`demand_aggregation`. `leadership_hooks` and `version_hooks` are where the packages `leadership` and
`versions` come in.
"""
