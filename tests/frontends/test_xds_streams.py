"""Versions, acknowledgements and subscriptions of xDS streams, without sockets."""

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
    """A resource cache, a planner's host and an environment; a test says what resources are."""

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
        """Return a resource, which holds its version alone."""
        version = self.resources.get((kind, name))
        return None if version is None else codec.Resource(version, b"")

    def take_updates(self, proxy):
        """Return the update that a test has put here."""
        return self.updates.pop() if self.updates else None

    def lease_epoch(self, proxy):
        """Return the same epoch for all."""
        return 3

    def on_content_rejected(self, proxy_id, name, version):
        """Keep what was rejected."""
        self.rejected[name] = version

    def rejected_content(self, proxy_id):
        """Return what was rejected."""
        return dict(self.rejected)

    def on_delivered(self, update):
        """Print the update."""
        self.log_event(f"update {update} is delivered")

    def set(self, version, kind="endpoints", name="read"):
        """Set the version of a resource."""
        self.resources[TYPE_URLS[kind], name] = version

    def drop(self, name):
        """Remove all resources of a name."""
        self.resources = {key: version for key, version in self.resources.items() if key[1] != name}


class RecordedStream:
    """A relay's end of one stream, that prints what it is sent and can answer any of it."""

    def __init__(self, planner, delta=False):
        self.planner, self.nonces, self.names = planner, {}, {}
        self.stream = Stream.open(planner.proxy, self, delta)

    def request_write(self):
        """Do nothing: a test calls `drain`."""
        pass

    def later(self, after, call, *given):
        """No test here waits for so long."""

    def send(self, kind, version, nonce, resources, removed):
        """Print a response, and keep its nonce."""
        self.nonces.setdefault(kind, []).append(nonce)
        told = " ".join(f"{name}={held}" for name, held, _ in resources) + "".join(
            f" -{name}" for name in removed
        )
        self.planner.log_event(f"{SHORT_NAMES[kind]} #{nonce}: {told}")

    def ask(self, kind, *names, nonce="", error=None):
        """Send a state-of-the-world request."""
        kind = TYPE_URLS[kind]
        self.names[kind] = names
        self.stream.on_full_request(kind, names, nonce, error)

    def change(self, kind, subscribe=(), unsubscribe=(), holding=None, nonce="", error=None):
        """Send an incremental request."""
        self.stream.on_delta_request(
            TYPE_URLS[kind], subscribe, unsubscribe, holding or {}, nonce, error
        )

    def drain(self):
        """Have all responses sent that are due."""
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
        """Responses in flight are bounded, and rejected content is not sent again."""
        planner = XdsPlanner("read", "write")
        client = RecordedStream(planner)
        for kind in ("listener", "route", "cluster", "endpoints"):
            client.ask(kind, "read", "write")
        client.drain()
        for kind in SHORT_NAMES.values():
            client.answer(kind)
        planner.log_event("three states go out before the first is answered; a fourth waits")
        for version in ("4", "5", "6", "7"):
            planner.set(version)
            planner.updates.append(version)
            planner.proxy.take_updates()
            client.drain()
        planner.log_event("the one before the newest is acknowledged, then the newest")
        client.answer("endpoints", -2)
        client.drain()
        client.answer("endpoints")
        planner.log_event("it refuses 8, which is not sent again, and takes 9")
        planner.set("8")
        client.drain()
        client.answer("endpoints", error="no such host")
        client.drain()
        client.drain()
        planner.set("9")
        client.drain()
        client.answer("endpoints")
        planner.log_event(
            "a subscription that grows and shrinks; a nonce of long ago asks for nothing"
        )
        client.ask("endpoints", "read", nonce=client.nonces[ENDPOINTS][-1])
        planner.set("2", name="write")
        client.drain()
        client.ask("endpoints", "read", "write", nonce="1")
        client.drain()
        client.ask("endpoints", "read", "write", nonce=client.nonces[ENDPOINTS][-1])
        client.drain()
        self.assert_matches_trace("xds-whole", planner)

    def test_removals_come_after_what_leads_to_them(self):
        """Clusters and endpoints go when no route or listener may use them."""
        planner = XdsPlanner("read", "write")
        client = RecordedStream(planner, delta=True)
        for kind in ("listener", "route", "cluster", "endpoints"):
            client.change(kind, ("read", "write", "other"))
        client.drain()
        for kind in SHORT_NAMES.values():
            client.answer(kind)
        planner.log_event("write is renamed to store while its endpoints change")
        planner.set("2", name="write")
        client.drain()
        planner.drop("write")
        for kind in SHORT_NAMES.values():
            planner.resources[TYPE_URLS[kind], "store"] = "1"
            client.change(kind, ("store",), ())
        client.drain()
        planner.log_event("its route and listener are acknowledged")
        client.answer("listener")
        client.answer("route")
        client.drain()
        self.assert_matches_trace("xds-removals", planner)

    def test_a_relay_that_comes_back_gets_only_what_it_lacks(self):
        """Initial versions that are current are not sent."""
        planner = XdsPlanner("read", "write", "store")
        client = RecordedStream(planner, delta=True)
        client.change(
            "endpoints",
            ("read", "write", "store", "lost"),
            holding={"read": "1", "write": "of another planner", "lost": "7"},
        )
        client.drain()
        other = RecordedStream(planner, delta=True)
        planner.log_event("a wildcard of clusters, on a second stream")
        other.change("cluster")
        other.drain()
        planner.drop("store")
        other.drain()
        other.change("cluster", (), ("*",))
        other.drain()
        self.assert_matches_trace("xds-back", planner)

    def test_a_proxy_that_asks_for_too_much_is_rejected(self):
        """Streams and names are bounded; unknown types are not answered."""
        planner = XdsPlanner("read")
        client, _ = RecordedStream(planner), RecordedStream(planner)
        with self.assertRaises(LimitExceededError):
            RecordedStream(planner)
        with self.assertRaises(LimitExceededError):
            client.ask("endpoints", *[f"n{nth}" for nth in range(17)])
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
    def test_whatever_is_said_every_relay_ends_on_the_newest_state(self, delta, steps):
        """Any order of steps ends with each resource acknowledged or rejected."""
        planner = XdsPlanner("read", "write")
        client = RecordedStream(planner, delta)
        for kind in SHORT_NAMES.values():
            client.change(kind, ("read", "write")) if delta else client.ask(kind, "read", "write")
        for step, kind, name, number in steps:
            if step in ("ask", "answer", "reject"):
                self._say(client, step, kind, number)
            elif step == "drain":
                client.drain()
            else:
                self._change(planner, step, kind, name, number)
            for each in RESOURCE_TYPES:
                self.assertLessEqual(
                    len(client.stream.subscriptions[each].unanswered), MAX_UNANSWERED
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

    def _say(self, client, step, kind, number):
        """Have the client ask without a change, or answer one of the responses it got."""
        type_url = TYPE_URLS[kind]
        if step == "ask" and not client.stream.is_delta:
            client.stream.on_full_request(
                type_url, client.names.get(type_url, ()), f"{number}", None
            )
        elif step != "ask" and client.nonces.get(type_url):
            which = -1 - number % len(client.nonces[type_url])
            client.answer(kind, which, "no" if step == "reject" else None)

    def _change(self, planner, step, kind, name, number):
        """Change, remove or add a resource, where that may be."""
        if step == "set" and (TYPE_URLS[kind], name) in planner.resources:
            planner.set(f"v{number}", kind, name)
        elif step == "drop" and name != "read":
            planner.drop(name)
        elif step == "add" and name == "write":
            for type_url in RESOURCE_TYPES:
                planner.resources.setdefault((type_url, name), "1")


if __name__ == "__main__":
    unittest.main()
