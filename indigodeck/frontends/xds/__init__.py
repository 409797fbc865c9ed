"""The xDS transport protocol, version 3, over aggregated streams, with its load reports (LRS)."""
