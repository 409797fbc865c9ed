"""The planner in service on the platform: one more host of the assigner, and its sockets."""
