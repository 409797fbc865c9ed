"""indigodeck: shuffle-sharded assignment of traffic classes to servers, for control planes."""
