import msgspec
import testtools
from testtools.matchers import Equals

from foxtailcourse.fleet import RouteKind
from foxtailcourse.platform import (
    RecordDispatcher,
    RequestHeaderError,
    decode_request_headers,
    decode_response_headers,
)
from foxtailcourse.platform._records import decode_configuration

SERVER = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "palermo",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "models": [{"name": "guide", "version": 3, "adapters": []}],
    "sequence": 4,
    "born": 1700000000000,
}
ROUTE = {
    "name": "r",
    "host": "App.Example",
    "pathPrefix": "/a/",
    "kind": "streaming",
    "timeoutMs": 12000,
    "targetLatencyMs": 1000,
    "priority": 1,
    "attempts": 1,
    "public": False,
}


def configuration(**changes):
    """Return a decoded configuration with one route and the given changes."""
    value = {"version": 7, "routes": [ROUTE], "services": [], "limits": {}} | changes
    return decode_configuration(msgspec.json.encode(value))


class TestServerRecords(testtools.TestCase):
    """Guards against malformed entries, which backend servers write themselves."""

    def dispatch(self, value):
        """Return the decoded server and the reasons of unreadable records."""
        servers, reasons = {}, []
        dispatcher = RecordDispatcher(
            on_configuration=lambda *args: None,
            on_weights=lambda *args: None,
            on_server=lambda key, server, revision: servers.update({key: server}),
            on_unreadable=reasons.append,
        )
        dispatcher.dispatch("servers/i-1", value, 5)
        return servers["i-1"], reasons

    def test_complete_entry_is_decoded(self):
        server, reasons = self.dispatch(msgspec.json.encode(SERVER))
        self.assertThat(server.weights, Equals({"guide": 3}))
        self.assertThat((server.leaving, reasons), Equals((False, [])))
        self.assertThat(server.started_ms, Equals(1700000000000))
        self.assertThat(server.software_version, Equals("v1"))

    def test_malformed_entries_give_no_server(self):
        changes = [
            {"state": "odd"},
            {"slots": "many"},
            {"address": "nowhere"},
            {"address": None},
            {"models": {"guide": 3}},
            {"version": 3},
            {"version": None},
        ]
        for change in changes:
            server, reasons = self.dispatch(msgspec.json.encode(SERVER | change))
            self.assertIs(server, None, change)
            self.assertThat(len(reasons), Equals(1))
        for key in ("service", "address", "zone", "version", "slots", "state"):
            incomplete = {k: v for k, v in SERVER.items() if k != key}
            self.assertIs(self.dispatch(msgspec.json.encode(incomplete))[0], None, key)
        for raw in (b"", b"\xff\xfe", b"[]", b"{", b"null", b"[" * 100_000):
            self.assertIs(self.dispatch(raw)[0], None)

    def test_slots_with_a_fraction_are_rounded_down_to_at_least_one(self):
        for slots, expected in ((38.26, 38), (0.5, 1), (1e2, 100), (-3, 1)):
            server, _ = self.dispatch(msgspec.json.encode(SERVER | {"slots": slots}))
            self.assertThat(server.slots, Equals(expected))


class TestConfigurationRecords(testtools.TestCase):
    """Guards against wrong decoding of routes, services and accounts."""

    def test_route_is_chosen_by_lower_case_host_and_longest_prefix(self):
        routes = [ROUTE, ROUTE | {"name": "long", "pathPrefix": "/a/b/"}]
        decoded = configuration(routes=routes)
        self.assertThat(
            decoded.find_route("APP.example", "/a/b/c").name, Equals("long")
        )
        self.assertThat(decoded.find_route("app.example", "/a/x").name, Equals("r"))
        self.assertIs(decoded.find_route("app.example", "/b/"), None)
        self.assertIs(decoded.find_route("other.example", "/a/"), None)

    def test_splits_stores_and_unknown_kinds(self):
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        services = [
            {
                "name": "a",
                "engine": {"maxConcurrent": 12, "slots": 64, "kvCacheTokens": 154132.5},
            },
            {"name": "k", "kvStoreAddress": "10.0.0.9:80", "maxConcurrent": 3},
            {"name": "l", "kvStoreAddress": "10.0.0.8:80"},
        ]
        route = ROUTE | {"trafficSplit": split, "kind": "unheard-of"}
        decoded = configuration(routes=[route], services=services)
        (only,) = decoded.routes["app.example"]
        self.assertThat([e.weight for e in only.backends], Equals([90.0, 10.0]))
        # Requests of an unknown kind must not be repeated.
        self.assertIs(only.kind, RouteKind.UNSAFE)
        self.assertThat(len(decoded.cache_stores()), Equals(2))
        subscribers = [decoded.event_subscribers(e) for e in ("a", "k", "l", "none")]
        self.assertThat(subscribers, Equals([12, 3, 0, 0]))
        memories = [decoded.services[each].cache_tokens for each in ("a", "k")]
        self.assertThat(memories, Equals([154_132, 0]))

    def test_limits_with_a_fraction_are_rounded_down_so_that_they_are_kept(self):
        route = ROUTE | {"priority": 1.5, "attempts": 2.7}
        services = [
            {"name": "a", "connectionLimit": 96.9, "engine": {"maxConcurrent": 0.4}},
            {"name": "b", "connectionLimit": 0},
        ]
        tenants = [{"name": "t", "apiKeys": [], "priority": 2.0}]
        limits = {"maxHeaderBytes": 8192.5, "maxBodyBytes": 1e6, "idleTimeoutMs": 0.5}
        decoded = configuration(
            routes=[route], services=services, tenants=tenants, limits=limits
        )
        (only,) = decoded.routes["app.example"]
        self.assertThat((only.priority, only.max_attempts), Equals((1, 2)))
        self.assertThat(decoded.services["a"].connection_limit, Equals(96))
        self.assertThat(decoded.event_subscribers("a"), Equals(1))
        self.assertThat(decoded.services["b"].connection_limit, Equals(0))
        self.assertThat(decoded.limits.max_header_bytes, Equals(8192))
        self.assertThat(decoded.limits.idle_timeout_s, Equals(0.0005))

    def test_keys_are_required_only_with_accounts(self):
        self.assertFalse(configuration().keys_required)
        tenants = [{"name": "t", "apiKeys": ["k1", "k2"], "isolated": True}]
        decoded = configuration(tenants=tenants)
        self.assertTrue(decoded.keys_required)
        self.assertTrue(decoded.accounts["k2"].isolated)


class TestRequestHeaders(testtools.TestCase):
    """Guards against wrong decoding of callers' headers."""

    def decode(self, **fields):
        raw = [
            (k.replace("_", "-").encode(), v.encode("latin-1"))
            for k, v in fields.items()
        ]
        return decode_request_headers("/a/b?c=d", raw)

    def test_prompt_and_deadline_are_decoded(self):
        request = self.decode(
            host="app.example:8080",
            x_foxtailcourse_prompt_prefix="5c1e:800, 91bd:410",
            x_foxtailcourse_token_counts="1460,80",
            x_foxtailcourse_deadline_ms="12000",
        )
        self.assertThat(request.prompt_tokens, Equals(1210))
        self.assertThat((request.host, request.path), Equals(("app.example", "/a/b")))
        self.assertThat(request.deadline_s, Equals(12.0))
        self.assertThat(request.max_output_tokens, Equals(80))

    def test_resumed_stream_is_decoded_and_forwarded(self):
        request = self.decode(last_event_id="4", resumes="5d2e")
        self.assertThat((request.last_event_id, request.resumes), Equals(("4", "5d2e")))
        self.assertThat(request.headers["resumes"], Equals("5d2e"))
        self.assertThat(self.decode().resumes, Equals(""))

    def test_malformed_headers_are_rejected(self):
        for name, value in (
            ("x_foxtailcourse_deadline_ms", "-1"),
            ("x_foxtailcourse_deadline_ms", "1e3"),
            ("x_foxtailcourse_deadline_ms", "\xb2"),
            ("x_foxtailcourse_deadline_ms", "9" * 12),
            ("x_foxtailcourse_prompt_prefix", "5c1e"),
            ("x_foxtailcourse_prompt_prefix", "5c1e:x"),
        ):
            self.assertRaises(RequestHeaderError, self.decode, **{name: value})

    def test_numbers_may_have_a_fraction(self):
        request = self.decode(
            x_foxtailcourse_prompt_prefix="5c1e:800.4",
            x_foxtailcourse_token_counts="1460.0,80.5",
            x_foxtailcourse_deadline_ms="1250.5",
        )
        self.assertThat(request.deadline_s, Equals(1.2505))
        self.assertThat(request.prompt_tokens, Equals(800))
        self.assertThat(request.max_output_tokens, Equals(80))

    def test_port_is_cut_off_the_host(self):
        for host, expected in (
            ("app.example:80", "app.example"),
            ("[2001:db8::1]:80", "2001:db8::1"),
            ("[2001:db8::1]", "2001:db8::1"),
            ("", ""),
        ):
            self.assertThat(self.decode(host=host).host, Equals(expected))


class TestResponseHeaders(testtools.TestCase):
    """Guards against headers of backend servers that end a request with an error."""

    def test_leaving_server_says_so_with_any_status(self):
        for status in (200, 421, 500, 503):
            for text, leaving in (("1", True), (" 1 ", True), ("0", False)):
                head = decode_response_headers(status, {"server-leaving": text})
                self.assertThat(head.leaving, Equals(leaving))
            self.assertFalse(decode_response_headers(status, {}).leaving)

    def test_retry_after_is_bounded_and_else_reported_as_unreadable(self):
        date = "Fri, 04 Dec 2026 10:00:00 GMT"
        for text, seconds, unreadable in (
            ("2", 2.0, ""),
            ("0.25", 0.25, ""),
            ("0", 0.0, ""),
            ("1000000", 600.0, ""),
            ("", None, ""),
            ("-1", None, "-1"),
            ("nan", None, "nan"),
            ("1" * 40, None, "1" * 40),
            (date, None, date),
        ):
            head = decode_response_headers(503, {"retry-after": text})
            self.assertThat(head.retry_after_s, Equals(seconds))
            self.assertThat(head.retry_after_unreadable, Equals(unreadable))
        head = decode_response_headers(200, {"retry-after": "2"})
        self.assertThat(head.retry_after_s, Equals(None))

    def test_weights_version_that_is_no_number_is_ignored(self):
        for text, version in (("7", 7), ("\xb2", None), ("7.5", None), ("", None)):
            head = decode_response_headers(
                200, {"x-foxtailcourse-weight-versions": text}
            )
            self.assertThat(head.weights_version, Equals(version))
