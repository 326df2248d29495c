import testtools
from decision_case import NOW
from testtools.matchers import Equals

from foxtailcourse.ingress._events import EventSplitter
from foxtailcourse.ingress._loads import ServerLoad
from foxtailcourse.ingress._silence import Watched


class TestSilence(testtools.TestCase):
    """Guards streams to slow callers."""

    def test_slow_caller_is_not_a_silent_server(self):
        watched = Watched(ServerLoad(), 1.0, NOW)
        self.assertFalse(watched.is_silent(NOW + 0.9))
        self.assertTrue(watched.is_silent(NOW + 1.1))
        with watched.pass_on(lambda: NOW + 5):
            self.assertFalse(watched.is_silent(NOW + 4))
        self.assertFalse(watched.is_silent(NOW + 5.9))
        self.assertTrue(watched.is_silent(NOW + 6.1))

    def test_requests_of_a_busy_server_are_not_repeated(self):
        """Each event takes longer than the silence, but others keep coming."""
        load = ServerLoad()
        begun = [NOW + n * 0.15 for n in range(8)]
        attempts = [Watched(load, 0.5, each) for each in begun]
        news = sorted(
            (at + after_s, number)
            for number, at in enumerate(begun)
            for after_s in (0.0, 0.9)  # the head, then the event that ends it
        )
        ended: set[int] = set()
        for at, number in news:
            running = [
                each
                for n, each in enumerate(attempts)
                if begun[n] < at and n not in ended
            ]
            self.assertFalse(any(each.is_silent(at) for each in running), at)
            attempts[number].note_progress(at)
            if at > begun[number]:
                ended.add(number)
        # Once nothing comes any more, every one of them counts as silent.
        self.assertTrue(all(each.is_silent(NOW + 30) for each in attempts))

    def test_busy_server_is_not_a_silent_one(self):
        load = ServerLoad(progress_at=NOW + 1.0)
        watched = Watched(load, 1.0, NOW)
        self.assertFalse(watched.is_silent(NOW + 1.5))
        self.assertTrue(watched.is_silent(NOW + 1.7))


class TestEventSplitter(testtools.TestCase):
    """Guards the bytes and the order of resumed streams."""

    def test_any_cut_leaves_whole_events_and_resumes_after_them(self):
        events = [f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 6)]
        whole = b"".join(events)
        for cut in range(len(whole) + 1):
            first = EventSplitter()
            sent = first.feed(whole[: cut // 2]) + first.feed(whole[cut // 2 : cut])
            last = int(first.last_id or 0)
            self.assertThat(sent, Equals(b"".join(events[:last])))
            second = EventSplitter(first.last_id)
            # A server that repeats an event that was passed on does no harm.
            again = b"".join(events[max(0, last - 1) :])
            rest = second.feed(again) + second.end()
            self.assertThat(sent + rest, Equals(whole))
