import attrs
import testtools
from decision_case import server
from test_weights_age import LIMIT_S, is_used, make_entry, name_weights
from testtools.matchers import Equals

from foxtailcourse.ingress._clock import boot_seconds
from foxtailcourse.ingress._peer_messages import WeightsUpdate
from foxtailcourse.ingress._recent_weights import recent_weights_key
from foxtailcourse.ingress._server_loads import RemoteLoad

KEY = recent_weights_key("guide", 2)


class TestRecordOfRecentWeights(testtools.TestCase):
    """Guards against records that last longer than outdated weights may be used."""

    def test_record_does_not_outweigh_the_time_since_the_version_was_read(self):
        """Its lease may have started late, paused in an outage or been restored."""
        app, now = make_entry(), boot_seconds()
        app._view.configuration_freshness.advance(now)
        name_weights(app, 2)
        app._updates.apply_change(KEY, b"1", 8)
        app._view.servers_freshness.advance(now + LIMIT_S)
        self.assertThat(is_used(app, now + LIMIT_S), Equals(False))

    def test_record_does_not_outweigh_the_time_since_the_entry_started(self):
        app = make_entry()
        name_weights(app, 2)
        app._updates.apply_change(KEY, b"1", 8)
        later = boot_seconds() + LIMIT_S
        app._view.servers_freshness.advance(later)
        self.assertThat(is_used(app, later), Equals(False))

    def test_record_is_not_used_past_the_limit_while_its_end_is_unseen(self):
        for limit_s in (15.0, 8.0):
            app, now = make_entry(), boot_seconds()
            app._cfg = attrs.evolve(app._cfg, weights_ms=1000 * limit_s)
            app._apply_limits()
            name_weights(app, 2)
            app._updates.apply_change(KEY, b"1", 8)
            # Another entry read the version at once; its record has just ended.
            app._view.servers_freshness.advance(now + app._recent_weights.usable_s)
            self.assertThat(is_used(app, now + limit_s), Equals(False), limit_s)


class TestQueuesBeforeTheLimit(testtools.TestCase):
    """Guards requests that wait at a server until its weights must not be used."""

    def test_server_whose_queue_lasts_past_the_limit_gets_no_requests(self):
        app, now = make_entry(), boot_seconds()
        app._view.configuration_freshness.advance(now)
        name_weights(app, 2)
        load = RemoteLoad(
            # Five seconds of prefill.
            prefill_tokens=200_000,
            in_flight=8,
            short_prompts=0,
            received_at=now + 12.5,
        )
        app._loads.update_remote("e2", "a", load)
        self.assertThat(is_used(app, now + 12.5), Equals(False))


class TestWeightsThatOtherEntriesReport(testtools.TestCase):
    """Guards entries that have lost the store, but not the other entries."""

    def test_version_that_a_server_was_reported_to_have_counts_as_named(self):
        app, now = make_entry(), boot_seconds()
        app._view.servers["b"] = server("b", version=1)
        app._view.configuration_freshness.advance(now)
        update = WeightsUpdate(1, [], [("b", 0, "guide", 2)])
        app._peer_exchange.handle(update, "e2")
        selection = app._dispatcher.candidates.select(
            "llm", "guide", None, (), now + 2 * LIMIT_S
        )
        names = [each.server.id for each in selection.candidates]
        self.assertThat(names, Equals(["b"]))
