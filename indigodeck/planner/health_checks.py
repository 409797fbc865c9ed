"""How a planner reaches hosts: a real exchange as a probe, and the host's load report, over HTTP.

Reports are read in the JSON form of an ORCA header, `endpoint-load-metrics: JSON {..}`. Over gRPC see fronts/xds/reach.py.
"""

import json

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError, SimpleAsyncHTTPClient

from .health_inference import report_of

HEADER = "endpoint-load-metrics"


def authority(place):
    """(address, port) as it stands in a URL."""
    return f"[{place[0]}]:{place[1]}" if ":" in place[0] else f"{place[0]}:{place[1]}"


class HttpReach:
    """`reports`: the charter's section; `safe`: a class whose exchanges may be done twice."""

    def __init__(self, reports, safe):
        self.path, self.probe = (
            reports.get("path", "/load"),
            reports.get("probe_path", f"/exchange/{safe}"),
        )
        self.client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=512, max_body_size=1 << 20
        )

    async def exchange(self, where, patience):
        """(outcome as the assigner knows them, report or None)"""
        return await self._fetch(where, self.probe, patience)

    async def report(self, where, patience):
        return (await self._fetch(where, self.path, patience))[1]

    async def _fetch(self, where, path, patience):
        request = HTTPRequest(
            f"http://{authority(where)}{path}",
            connect_timeout=min(patience, 1.0),
            request_timeout=patience,
            headers={"Relay": "planner"},
        )
        try:
            answer = await self.client.fetch(request, raise_error=False)
        except HTTPTimeoutError:
            return "silent", None
        except HTTPStreamClosedError:
            return "broken", None
        except (OSError, HTTPClientError):
            return "unreachable", None
        outcome = "ok" if answer.code < 400 else "full" if answer.code == 503 else "error"
        return outcome, self.report_in(answer)

    def report_in(self, answer):
        """The load report that an answer carries, or None."""
        kind, _, text = answer.headers.get(HEADER, "").strip().partition(" ")
        try:
            given = json.loads(text) if kind == "JSON" else None
            return report_of(given, given.get("named_metrics", {}))
        except (AttributeError, TypeError, ValueError, OverflowError):
            return None

    def close(self):
        self.client.close()
