"""Base class of the tests that run a small fleet of real processes."""

import tempfile

import trio
from fleet import Fleet, guardaroba_layout
from testtools.matchers import Equals
from traffic import ACCOUNTS, Callers, demo_records

from support import AsyncTestCase

SLOW_ENGINE = "decode_s_per_token=0.01"
STREAM_TOKENS = 150
SHARED_MESSAGES = [{"role": "user", "content": "a question that all accounts ask"}]


def records_without_limits():
    """Return the demo's records with request limits that no test reaches."""
    records = demo_records()
    for key, body in records.items():
        if key.startswith("contracts/"):
            body |= {"requests_per_s": 1e5, "tokens_per_s": 1e8}
    return records


class FleetTestCase(AsyncTestCase):
    """Runs a check against a small fleet of real processes."""

    fleet_class = Fleet

    def run_fleet(self, check, records=None, assistants=2, layout=None, **options):
        """Start a fleet and run ``check(fleet, callers, nursery)``.

        ``records`` replace records of the demo by key, ``layout`` changes the arguments
        of ``guardaroba_layout``, and ``options`` are those of Fleet.
        """

        async def main():
            vms = guardaroba_layout(**({"assistants": assistants} | (layout or {})))
            with tempfile.TemporaryDirectory() as folder:
                fleet = self.fleet_class(folder, vms, **options)
                async with trio.open_nursery() as nursery:
                    await fleet.start(
                        nursery, records_without_limits() | (records or {})
                    )
                    await fleet.wait_configured()
                    addresses = [each.listen for each in fleet.entries()]
                    callers = Callers(addresses, seed=1)
                    await check(fleet, callers, nursery)
                    await callers.pool.aclose()
                    await fleet.pool.aclose()
                    nursery.cancel_scope.cancel()

        self.run_async(main)

    async def run_during_streams(self, callers, action):
        """Start a stream for each account and run an action once all have begun."""
        streams = callers.stats_for("stream")
        async with trio.open_nursery() as nursery:
            for account in ACCOUNTS:
                nursery.start_soon(
                    callers.ask, "stream", account, SHARED_MESSAGES, STREAM_TOKENS
                )
            while len(streams.ttft_s) < len(ACCOUNTS):
                self.assertThat((streams.violations, streams.refused), Equals(([], {})))
                await trio.sleep(0.01)
            await action()
        return streams
