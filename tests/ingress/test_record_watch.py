import time

from testtools.matchers import Equals

from foxtailcourse.fleet import Freshness
from foxtailcourse.ingress._membership import MEMBERSHIP_PREFIX
from foxtailcourse.ingress._recent_weights import recent_weights_key
from foxtailcourse.ingress._store_watcher import StoreWatcher
from foxtailcourse.observe import EventLog, HybridClock, Metrics
from foxtailcourse.platform import KeyValue, PlatformError, RangeResult
from support import AsyncTestCase

KEY = recent_weights_key("guide", 2)


def make_log():
    return EventLog("e1", HybridClock(time.time))


class ListedStore:
    """A store whose listing the test sets."""

    def __init__(self, keys):
        self.keys = keys
        self.era = 1

    async def range(self, *prefixes):
        items = [KeyValue(key=each, value=b"1", mod_revision=3) for each in self.keys]
        return RangeResult(revision=5, items=tuple(items), era=self.era)


class TestRecordAfterAnOutage(AsyncTestCase):
    """Guards against records that are kept although the store has ended them."""

    async def scan_twice(self, *, lost_s, era):
        """Return what a watcher knows after the store came back without the record."""
        known = {}

        def apply_change(key, value, revision):
            known[key] = value

        store = ListedStore([KEY])
        watcher = StoreWatcher(
            store,
            {MEMBERSHIP_PREFIX: Freshness()},
            0.2,
            0.0,
            apply_change,
            make_log(),
            Metrics(),
        )
        await watcher.scan()
        watcher._record_loss(PlatformError("down", may_have_applied=False))
        watcher._lost_at -= lost_s
        store.keys, store.era = [], era
        await watcher.scan()
        return known

    def test_record_that_ended_in_an_outage_is_removed_at_once(self):
        async def main():
            known = await self.scan_twice(lost_s=2.0, era=1)
            self.assertThat(known, Equals({KEY: None}))

        self.run_async(main)

    def test_record_that_a_restored_store_lacks_is_removed_at_once(self):
        async def main():
            known = await self.scan_twice(lost_s=0.0, era=2)
            self.assertThat(known, Equals({KEY: None}))

        self.run_async(main)
