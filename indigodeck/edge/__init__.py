"""The planner in service on the platform: one more host of the same assigner, and the sockets around it."""
