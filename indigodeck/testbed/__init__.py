"""Stand-ins for what a planner meets: hosts, relays with their clients, the list's keeper, and a tap on streams.

They know nothing of the planner's code beyond the client library, and are no part of a deployment.
"""
