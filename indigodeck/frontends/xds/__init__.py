"""The xDS transport protocol, version 3, over aggregated streams: codec, streams, load reports and their server."""
