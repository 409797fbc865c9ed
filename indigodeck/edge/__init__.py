"""The planner as a service on the platform: hosts the assigner and owns the network connections."""
