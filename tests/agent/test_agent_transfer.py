import testtools
import trio
from testtools.matchers import Equals

from foxtailcourse.agent._transfer import BlockTransfer
from foxtailcourse.cache import HotPrefixes, TransferCosts, TransferPolicy
from foxtailcourse.standin import (
    KvStoreStandin,
    answer_text,
    prompt_text,
    serve_handler,
)
from standins import (
    LOOPBACK,
    MESSAGES,
    chain_keys,
    chat,
    make_agent,
    make_attempt,
    start_agent,
    start_engine,
    wait_until,
)
from support import AsyncTestCase, run_trio

COSTS = TransferCosts(
    recompute_s_per_block=0.01, import_s_per_block=0.001, call_overhead_s=0.05
)


class TestTransferPolicy(testtools.TestCase):
    """Guards against transfers that cost more than they save."""

    def test_import_must_be_cheaper_than_recomputing(self):
        policy = TransferPolicy(COSTS)
        self.assertThat(
            [policy.should_import(n) for n in (5, 6)], Equals([False, True])
        )
        self.assertThat(
            [policy.should_query_store(n) for n in (11, 12)], Equals([False, True])
        )

    def test_hot_prefix_is_exported_once_per_interval(self):
        policy = TransferPolicy(COSTS, hot_count=3.0, reexport_after_s=60.0)
        exported = [policy.should_export(b"k", 0.1 * i) for i in range(6)]
        self.assertThat(exported.count(True), Equals(1))
        self.assertThat([policy.should_export(b"k", 70.0)], Equals([False]))
        exported = [policy.should_export(b"k", 70.0 + 0.1 * i) for i in range(6)]
        self.assertThat(exported.count(True), Equals(1))

    def test_counts_are_bounded_and_never_below_the_true_count(self):
        prefixes = HotPrefixes(capacity=8)
        for i in range(100):
            prefixes.add(bytes([i]), 0.0)
            count = prefixes.add(b"hot", 0.0)
            self.assertTrue(len(prefixes) <= 8)
            self.assertTrue(count >= i + 1)


class TestTransfer(AsyncTestCase):
    """Guards the transfer of hot blocks between engines through a KV-cache store."""

    async def read_on_second_engine(self, *, kv_store):
        async with trio.open_nursery() as nursery:
            self.store = KvStoreStandin()
            store = await nursery.start(serve_handler, self.store.handle)
            addresses, settings = [], {"kv_store": (store,) if kv_store else ()}
            # The predicted time to recompute limits the import. A loaded test machine
            # needs a high limit.
            settings["prefill_s_per_token"] = 0.2
            for vm in ("palermo-1", "catania-1"):
                engine, backend = await start_engine(
                    nursery, prefill_s_per_token=0.001, kv_store=store
                )
                agent = make_agent(backend, vm=vm, **settings)
                addresses.append(await start_agent(nursery, agent))
            keys = chain_keys("teatro", 3)
            for number in range(6):
                attempt = make_attempt(f"a{number}", prefix_keys=keys, cache_salt="s")
                await chat(addresses[0], attempt)
            if kv_store:
                await wait_until(lambda: self.store.blocks)
            attempt = make_attempt("b", prefix_keys=keys, cache_salt="s")
            response = await chat(addresses[1], attempt)
            nursery.cancel_scope.cancel()
        expected = answer_text(prompt_text(MESSAGES), 16, "v1")
        self.assertThat(response.text(), Equals(expected))
        return response.headers["foxtail-cached-tokens"]

    @run_trio
    async def test_hot_blocks_are_imported_by_another_engine(self):
        cached = await self.read_on_second_engine(kv_store=True)
        self.assertThat(cached, Equals("48"))

    @run_trio
    async def test_without_the_store_blocks_are_recomputed(self):
        """Control: without a store the second engine has no block cached."""
        cached = await self.read_on_second_engine(kv_store=False)
        self.assertThat(cached, Equals("0"))


class FakeTransferPeer:
    """An engine and a store of 20 blocks, with the result of the engine's orders."""

    def __init__(self, result):
        self.result = result

    async def send_order(self, order):
        return self.result

    async def count_stored_blocks(self, salt, keys):
        return 20


class TestTransferResults(AsyncTestCase):
    """Guards against counting blocks that were ordered and not moved."""

    async def import_blocks(self, result):
        """Return the events of an import of 20 blocks."""
        context = make_agent(LOOPBACK).context
        peer = FakeTransferPeer(result)
        transfer = BlockTransfer(context, peer, peer, TransferPolicy(COSTS))
        keys = chain_keys("teatro", 20)
        attempt = make_attempt("a", prefix_keys=keys, cache_salt="s")
        await transfer.import_missing(attempt)
        return {each.name: each.fields for each in context.events.recent()}

    @run_trio
    async def test_only_imported_blocks_are_counted(self):
        events = await self.import_blocks({"imported": 7})
        self.assertThat(events["blocks_imported"]["blocks"], Equals("7"))

    @run_trio
    async def test_import_without_a_result_has_failed(self):
        for result in ({}, {"imported": "7"}, {"imported": -1}):
            events = await self.import_blocks(result)
            self.assertThat(events.keys(), Equals({"import_failed"}))
