import time

import msgspec
import testtools
import trio
from decision_case import server
from testtools.matchers import Equals

from foxtailcourse.ingress import IngressApp, IngressSettings
from foxtailcourse.ingress._clock import boot_seconds
from foxtailcourse.observe import EventLog, HybridClock, Metrics
from foxtailcourse.process import DaemonContext, ProcessSettings
from foxtailcourse.settings import Address

LOCAL = Address("127.0.0.1", 0)
LIMIT_S = 15.0


def make_entry():
    """Return an entry that is not running, with a server that has version 1."""
    cfg = IngressSettings(
        listen=LOCAL,
        ready_listen=LOCAL,
        exchange_listen=LOCAL,
        store=LOCAL,
        weights_ms=1000 * LIMIT_S,
    )
    process = ProcessSettings(vm="e1", failure_domain="palermo", admin_listen=LOCAL)
    log = EventLog("e1", HybridClock(time.time))
    app = IngressApp(DaemonContext(process, log, Metrics(), trio.Event()), cfg)
    app._view.servers = {"a": server("a", version=1)}
    return app


def name_weights(app, version):
    value = msgspec.json.encode({"model": "guide", "version": version})
    app._updates.apply_change("op/version/guide", value, 7)


def is_used(app, now):
    """Return whether the server gets requests at a time, with its weights."""
    candidates = app._dispatcher.candidates
    return bool(candidates.select("llm", "guide", None, (), now).candidates)


class TestWeightsAge(testtools.TestCase):
    """Guards against answers on weights that are outdated for longer than allowed."""

    def test_entry_that_starts_uses_no_weights_of_unknown_age(self):
        app = make_entry()
        # The version may have been named up to the whole limit before the start.
        name_weights(app, 2)
        self.assertThat(is_used(app, boot_seconds() + 2), Equals(False))

    def test_entry_that_read_a_version_late_counts_from_its_last_reading(self):
        app, now = make_entry(), boot_seconds()
        app._updates.state.complete = True
        app._view.configuration_freshness.advance(now - 10)
        name_weights(app, 2)
        self.assertThat(is_used(app, now + 1), Equals(True))
        self.assertThat(is_used(app, now + LIMIT_S - 10), Equals(False))
