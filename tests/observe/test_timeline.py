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


def exchange_messages(seed, *, send_clock):
    """Send messages among processes with clock skew; return the event logs."""
    rng = random.Random(seed)
    now = [1000.0]
    clock_skews_s = (0.0, 20.0, -15.0, 3.0)
    logs = [
        EventLog(f"p{i}", HybridClock(lambda skew=skew: now[0] + skew))
        for i, skew in enumerate(clock_skews_s)
    ]
    for message in range(200):
        now[0] += rng.random() / 100
        sender, receiver = rng.sample(logs, 2)
        sender.emit("sent", request_id=message)
        if send_clock:
            receiver.clock.receive(str(sender.clock.tick()))
        receiver.emit("received", request_id=message)
    return logs


def count_receipts_before_sends(logs):
    """Count the received messages that the merged order shows before their send."""
    sent_ids, misordered = set(), 0
    for event in merge_events(log.recent() for log in logs):
        if event.name == "sent":
            sent_ids.add(event.fields["request_id"])
        elif event.fields["request_id"] not in sent_ids:
            misordered += 1
    return misordered


class TestMergeEvents(testtools.TestCase):
    """Guards the merged order of events against clocks that differ by seconds."""

    def test_no_receipt_is_ordered_before_its_send(self):
        logs = exchange_messages(7, send_clock=True)
        self.assertThat(count_receipts_before_sends(logs), Equals(0))

    def test_without_clocks_in_messages_receipts_are_misordered(self):
        """Control: wall clocks alone do not give a causal order."""
        logs = exchange_messages(7, send_clock=False)
        self.assertThat(count_receipts_before_sends(logs), Not(Equals(0)))

    def test_event_in_two_sources_is_included_once(self):
        event = Event("0" * 12 + "." + "0" * 6, "p", "sent", {})
        self.assertThat(merge_events([[event], [event]]), HasLength(1))


class TestRender(testtools.TestCase):
    """Guards the selection of events, and the page against unescaped values."""

    def test_text_contains_only_selected_events(self):
        events = [
            Event("0" * 11 + "1.000000", "p", "sent", {"request_id": "r1"}),
            Event("0" * 11 + "2.000000", "p", "sent", {"request_id": "r2"}),
        ]
        selected = select_events(events, EventFilter(request_id="r2"))
        self.assertThat(render_text(selected), Contains("request_id=r2"))
        self.assertThat(render_text(selected), Not(Contains("r1")))

    def test_page_escapes_values(self):
        event = Event("0" * 12 + ".000000", "<p>", "sent", {"reason": "<script>"})
        self.assertThat(render_html([event]), Not(Contains("<script>")))

    def test_all_events_of_a_matching_request_are_selected(self):
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
        for event_filter in (
            EventFilter(client_account="teatro"),
            EventFilter(backend_server="w1"),
        ):
            self.assertThat(select_events(events, event_filter), Equals(events[:2]))
