"""Tests of versions, acknowledgements and subscriptions of xDS streams, without sockets."""

import unittest

from harness import SimulatedLoop, TraceTestCase
from hypothesis import given, settings
from hypothesis import strategies as st

from indigodeck.errors import LimitExceededError
from indigodeck.frontends.xds import codec
from indigodeck.frontends.xds.codec import CLUSTER, ENDPOINTS, LISTENER, RESOURCE_TYPES, ROUTE
from indigodeck.frontends.xds.proxies import Bounds, XdsProxy
from indigodeck.frontends.xds.streams import MAX_UNANSWERED, Stream

SHORT_NAMES = {CLUSTER: "cluster", ENDPOINTS: "endpoints", LISTENER: "listener", ROUTE: "route"}
TYPE_URLS = {short: type_url for type_url, short in SHORT_NAMES.items()}


class XdsPlanner(SimulatedLoop):
    """Stands in for a resource cache, a planner host and an environment.

    Resources consist of their versions alone, which the tests set.
    """

    def __init__(self, *names):
        super().__init__()
        self.resources = {(kind, name): "1" for kind in RESOURCE_TYPES for name in names}
        self.updates = []
        self.rejected = {}
        self.class_indices = {name: index for index, name in enumerate(names)}
        self.proxy = XdsProxy("r1", 0, self, self, self, Bounds(names=16, streams=2))

    def names(self):
        """Return the names of all resources."""
        return {name for _, name in self.resources}

    def resource(self, kind, name, proxy):
        """Return a resource, which has a version and no content."""
        version = self.resources.get((kind, name))
        return None if version is None else codec.Resource(version, b"")

    def take_updates(self, proxy):
        """Return the last update that a test has added to `updates`, if any."""
        return self.updates.pop() if self.updates else None

    def lease_epoch(self, proxy):
        """Return the same epoch for all proxies."""
        return 3

    def on_content_rejected(self, proxy_id, name, version):
        """Record a rejected version."""
        self.rejected[name] = version

    def rejected_content(self, proxy_id):
        """Return the rejected versions by name."""
        return dict(self.rejected)

    def on_delivered(self, update):
        """Print the update."""
        self.log_event(f"update {update} is delivered")

    def set(self, version, kind="endpoints", name="read"):
        """Set the version of a resource."""
        self.resources[TYPE_URLS[kind], name] = version

    def drop(self, name):
        """Remove all resources with a name."""
        self.resources = {key: version for key, version in self.resources.items() if key[1] != name}


class RecordedStream:
    """A proxy's end of one stream, which prints each response and can answer any of them."""

    def __init__(self, planner, delta=False):
        self.planner, self.nonces, self.names = planner, {}, {}
        self.stream = Stream.open(planner.proxy, self, delta)

    def request_write(self):
        """Do nothing: a test calls `drain` instead."""
        pass

    def call_after(self, after, call, *arguments):
        """Do nothing: no test here lasts as long as the time-out of an answer."""

    def send(self, kind, version, nonce, resources, removed):
        """Print a response, and record its nonce."""
        self.nonces.setdefault(kind, []).append(nonce)
        content = " ".join(
            f"{name}={resource_version}" for name, resource_version, _ in resources
        ) + "".join(f" -{name}" for name in removed)
        self.planner.log_event(f"{SHORT_NAMES[kind]} #{nonce}: {content}")

    def request(self, kind, *names, nonce="", error=None):
        """Send a state-of-the-world request."""
        kind = TYPE_URLS[kind]
        self.names[kind] = names
        self.stream.on_full_request(kind, names, nonce, error)

    def request_delta(
        self, kind, subscribe=(), unsubscribe=(), initial_versions=None, nonce="", error=None
    ):
        """Send an incremental request."""
        self.stream.on_delta_request(
            TYPE_URLS[kind], subscribe, unsubscribe, initial_versions or {}, nonce, error
        )

    def drain(self):
        """Have the stream send all responses that are due."""
        while self.stream.send_next():
            self.planner.proxy.take_updates()

    def answer(self, kind, which=-1, error=None):
        """Acknowledge a response, or reject it with an error."""
        nonce, kind = self.nonces[TYPE_URLS[kind]][which], TYPE_URLS[kind]
        if self.stream.is_delta:
            self.stream.on_delta_request(kind, (), (), {}, nonce, error)
        else:
            self.stream.on_full_request(kind, self.names.get(kind, ()), nonce, error)


class StreamTest(TraceTestCase):
    """Subscriptions, acknowledgements and rejections on one stream."""

    def test_make_before_break_stale_answers_and_rejections(self):
        """Unanswered responses are limited, and rejected content is not sent again."""
        planner = XdsPlanner("read", "write")
        client = RecordedStream(planner)
        for kind in ("listener", "route", "cluster", "endpoints"):
            client.request(kind, "read", "write")
        client.drain()
        for kind in SHORT_NAMES.values():
            client.answer(kind)
        planner.log_event(
            "three versions are sent before the first is acknowledged; the fourth is held back"
        )
        for version in ("4", "5", "6", "7"):
            planner.set(version)
            planner.updates.append(version)
            planner.proxy.take_updates()
            client.drain()
        planner.log_event("the second newest response is acknowledged, then the newest")
        client.answer("endpoints", -2)
        client.drain()
        client.answer("endpoints")
        planner.log_event("version 8 is rejected and not sent again; version 9 is acknowledged")
        planner.set("8")
        client.drain()
        client.answer("endpoints", error="no such host")
        client.drain()
        client.drain()
        planner.set("9")
        client.drain()
        client.answer("endpoints")
        planner.log_event(
            "a name is unsubscribed and subscribed again; a request with an old nonce has no effect"
        )
        client.request("endpoints", "read", nonce=client.nonces[ENDPOINTS][-1])
        planner.set("2", name="write")
        client.drain()
        client.request("endpoints", "read", "write", nonce="1")
        client.drain()
        client.request("endpoints", "read", "write", nonce=client.nonces[ENDPOINTS][-1])
        client.drain()
        self.assert_matches_trace("xds-whole", planner)

    def test_resources_are_removed_after_those_that_refer_to_them(self):
        """Clusters and endpoints are removed once no route or listener may refer to them."""
        planner = XdsPlanner("read", "write")
        client = RecordedStream(planner, delta=True)
        for kind in ("listener", "route", "cluster", "endpoints"):
            client.request_delta(kind, ("read", "write", "other"))
        client.drain()
        for kind in SHORT_NAMES.values():
            client.answer(kind)
        planner.log_event("write is replaced by store while the endpoints of write change")
        planner.set("2", name="write")
        client.drain()
        planner.drop("write")
        for kind in SHORT_NAMES.values():
            planner.resources[TYPE_URLS[kind], "store"] = "1"
            client.request_delta(kind, ("store",), ())
        client.drain()
        planner.log_event("the listener and route responses are acknowledged")
        client.answer("listener")
        client.answer("route")
        client.drain()
        self.assert_matches_trace("xds-removals", planner)

    def test_a_proxy_that_reconnects_is_sent_only_the_versions_that_it_lacks(self):
        """Resources whose initial versions are current are not sent."""
        planner = XdsPlanner("read", "write", "store")
        client = RecordedStream(planner, delta=True)
        client.request_delta(
            "endpoints",
            ("read", "write", "store", "lost"),
            initial_versions={"read": "1", "write": "of another planner", "lost": "7"},
        )
        client.drain()
        other = RecordedStream(planner, delta=True)
        planner.log_event("a wildcard subscription to clusters on a second stream")
        other.request_delta("cluster")
        other.drain()
        planner.drop("store")
        other.drain()
        other.request_delta("cluster", (), ("*",))
        other.drain()
        self.assert_matches_trace("xds-back", planner)

    def test_a_proxy_that_exceeds_its_limits_is_rejected(self):
        """Streams and names are limited, and requests for unknown types are not answered."""
        planner = XdsPlanner("read")
        client, _ = RecordedStream(planner), RecordedStream(planner)
        with self.assertRaises(LimitExceededError):
            RecordedStream(planner)
        with self.assertRaises(LimitExceededError):
            client.request("endpoints", *[f"n{nth}" for nth in range(17)])
        client.stream.on_full_request("type.googleapis.com/unknown", ["x"] * 1000, "", None)
        client.drain()

    @settings(max_examples=300, deadline=None)
    @given(
        st.booleans(),
        st.lists(
            st.tuples(
                st.sampled_from(
                    ["ask", "set", "answer", "reject", "stale", "drain", "drop", "add"]
                ),
                st.sampled_from(sorted(TYPE_URLS)),
                st.sampled_from(["read", "write", "none"]),
                st.integers(0, 9),
            ),
            max_size=40,
        ),
    )
    def test_after_any_requests_and_changes_a_proxy_ends_on_the_newest_state(self, delta, steps):
        """After any sequence of steps each resource ends up acknowledged or rejected."""
        planner = XdsPlanner("read", "write")
        client = RecordedStream(planner, delta)
        for kind in SHORT_NAMES.values():
            (
                client.request_delta(kind, ("read", "write"))
                if delta
                else client.request(kind, "read", "write")
            )
        for step, kind, name, number in steps:
            if step in ("ask", "answer", "reject"):
                self._send_request(client, step, kind, number)
            elif step == "drain":
                client.drain()
            else:
                self._change_resource(planner, step, kind, name, number)
            for type_url in RESOURCE_TYPES:
                self.assertLessEqual(
                    len(client.stream.subscriptions[type_url].unanswered), MAX_UNANSWERED
                )
        for _ in range(20):
            client.drain()
            for kind in SHORT_NAMES.values():
                for which in range(len(client.nonces.get(TYPE_URLS[kind], ()))):
                    client.answer(kind, which)
        for (kind, name), version in planner.resources.items():
            subscription = client.stream.subscriptions[kind]
            self.assertIn(
                version,
                (subscription.acknowledged.get(name), subscription.rejected.get(name)),
                f"{SHORT_NAMES[kind]} {name}",
            )

    def _send_request(self, client, step, kind, number):
        """Repeat the client's subscription, or answer one of the responses that it received."""
        type_url = TYPE_URLS[kind]
        if step == "ask" and not client.stream.is_delta:
            client.stream.on_full_request(
                type_url, client.names.get(type_url, ()), f"{number}", None
            )
        elif step != "ask" and client.nonces.get(type_url):
            which = -1 - number % len(client.nonces[type_url])
            client.answer(kind, which, "no" if step == "reject" else None)

    def _change_resource(self, planner, step, kind, name, number):
        """Change, remove or add a resource, if the step is possible."""
        if step == "set" and (TYPE_URLS[kind], name) in planner.resources:
            planner.set(f"v{number}", kind, name)
        elif step == "drop" and name != "read":
            planner.drop(name)
        elif step == "add" and name == "write":
            for type_url in RESOURCE_TYPES:
                planner.resources.setdefault((type_url, name), "1")


if __name__ == "__main__":
    unittest.main()
