"""The xDS transport protocol, version 3, over aggregated streams, and its load reports (LRS)."""
