import random

import testtools
from testtools.matchers import Contains, Equals, HasLength, Not

from foxtailcourse.observe import (
    Event,
    EventFilter,
    EventLog,
    HybridClock,
    merge_events,
    render_html,
    render_text,
    select_events,
)


def exchange_messages(seed, *, carry_clock):
    """Send messages among processes with skewed clocks and return their logs."""
    rng = random.Random(seed)
    now = [1000.0]
    skews = (0.0, 20.0, -15.0, 3.0)
    logs = [
        EventLog(f"p{i}", HybridClock(lambda skew=skew: now[0] + skew))
        for i, skew in enumerate(skews)
    ]
    for message in range(200):
        now[0] += rng.random() / 100
        sender, receiver = rng.sample(logs, 2)
        sender.emit("sent", request_id=message)
        if carry_clock:
            receiver.clock.receive(str(sender.clock.tick()))
        receiver.emit("received", request_id=message)
    return logs


def count_effects_before_causes(logs):
    seen, wrong = set(), 0
    for event in merge_events(log.recent() for log in logs):
        if event.name == "sent":
            seen.add(event.fields["request_id"])
        elif event.fields["request_id"] not in seen:
            wrong += 1
    return wrong


class TestMergeEvents(testtools.TestCase):
    """Guards the merged order against clocks that differ by seconds."""

    def test_no_receipt_before_its_sending(self):
        logs = exchange_messages(7, carry_clock=True)
        self.assertThat(count_effects_before_causes(logs), Equals(0))

    def test_wall_clocks_alone_show_receipts_first(self):
        logs = exchange_messages(7, carry_clock=False)
        self.assertThat(count_effects_before_causes(logs), Not(Equals(0)))

    def test_an_event_of_two_sources_is_kept_once(self):
        event = Event("0" * 12 + "." + "0" * 6, "p", "sent", {})
        self.assertThat(merge_events([[event], [event]]), HasLength(1))


class TestRender(testtools.TestCase):
    """Guards the page against texts that break out of it."""

    def test_filter_and_text(self):
        events = [
            Event("0" * 11 + "1.000000", "p", "sent", {"request_id": "r1"}),
            Event("0" * 11 + "2.000000", "p", "sent", {"request_id": "r2"}),
        ]
        kept = select_events(events, EventFilter(request_id="r2"))
        self.assertThat(render_text(kept), Contains("request_id=r2"))
        self.assertThat(render_text(kept), Not(Contains("r1")))

    def test_page_escapes_values(self):
        event = Event("0" * 12 + ".000000", "<p>", "sent", {"reason": "<script>"})
        self.assertThat(render_html([event]), Not(Contains("<script>")))

    def test_a_request_is_shown_whole_across_processes(self):
        fields = {"request_id": "r1", "attempt_id": "a1", "client_account": "teatro"}
        events = [
            Event("0" * 11 + "1.000000", "foxtail-entry/e1", "attempt_started", fields),
            Event(
                "0" * 11 + "2.000000",
                "foxtail-agent/w1",
                "request_ended",
                {"attempt_id": "a1"},
            ),
            Event("0" * 11 + "3.000000", "foxtail-agent/w2", "event_gap", {}),
        ]
        for kept in (
            EventFilter(client_account="teatro"),
            EventFilter(backend_server="w1"),
        ):
            self.assertThat(select_events(events, kept), Equals(events[:2]))
