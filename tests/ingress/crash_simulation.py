"""Simulation of entries that judge crashes together while they fail themselves.

Only their decisions run; requests, servers, datagrams and the store are simulated on
trio's clock.
"""

import math
import random
import time

import attrs
import trio

from foxtailcourse.crashes import PartSuspicions
from foxtailcourse.fleet import ServerRun
from foxtailcourse.ingress._part_exchange import PartExchange
from foxtailcourse.ingress._part_records import PartRecords
from foxtailcourse.observe import EventLog, HybridClock
from foxtailcourse.platform import PlatformError

# Requests that crash servers come one after the other, each for this time. Sound ones
# share the parts of their prompts.
DEADLY_S = 20.0
SHARED = frozenset({"shared"})
DEADLY_PART = frozenset({"deadly"})
RUN_S, STORE_CALL_S, DATAGRAM_S = (0.005, 0.05), 0.02, (0.0005, 0.005)
RESTART_S, CRASH_SPREAD_S = (0.3, 3.0), 0.1
# Time from the start of an entry until it knows the store and takes requests, and until
# the others count it.
START_S, SETTLE_S = 0.5, 2.0
FAULT_S, FAULTS_PER_S = (0.5, 4.0), 0.5
# Times around a fault in which an entry does not count.
REACTION_S, CONTACT_S = 0.5, 1.5
# Servers to which an entry sends a request, and repetitions by its caller.
ATTEMPTS, REPETITIONS, PAUSE_S = (1, 3), 2, (0.3, 3.0)
# A blocked request is repeated so long after the end of its block.
AFTER_BLOCK_S = 3.0


@attrs.define
class SimulatedServer:
    """A backend server; ``run`` changes with each start."""

    run: ServerRun
    down: bool = False


@attrs.define(eq=False)
class SimulatedEntry:
    """An entry, with what keeps it from its work at present."""

    name: str
    settle_s: float = SETTLE_S
    started_at: float = 0.0
    ready: bool = False
    frozen: bool = False
    # Whether datagrams, or calls to the store, are lost.
    cut_off: bool = False
    store_cut: bool = False
    exchange: PartExchange = attrs.field(init=False)
    records: PartRecords = attrs.field(init=False)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def thawed(self):
        """Wait until the process runs."""
        while self.frozen:
            await trio.sleep(0.05)

    # The membership that PartExchange needs.

    names: frozenset = frozenset()

    def members(self, now):
        return self.names

    def is_settled(self, now):
        return now - self.started_at >= self.settle_s


@attrs.define
class StoreClient:
    """The calls of one entry to the simulated store."""

    simulation: "Simulation"
    entry: SimulatedEntry
    era: int = 1

    async def _call(self):
        await trio.sleep(STORE_CALL_S)
        await self.entry.thawed()
        if self.simulation.store_down or self.entry.store_cut:
            raise PlatformError("no response", may_have_applied=False)

    async def lease_grant(self, ttl_s):
        await self._call()
        return str(trio.current_time() + ttl_s)

    async def lease_revoke(self, lease):
        await self._call()

    async def txn(self, guards, puts=(), delete=()):
        await self._call()
        for put in puts:
            self.simulation.store[put.key] = (put.value, float(put.lease))
        for key in delete:
            self.simulation.store.pop(key, None)
        return self


@attrs.define(eq=False)
class Outcome:
    """What came of a request that a caller sent once."""

    request: frozenset
    entry: str
    sent_at: float
    deadly: bool = False
    result: str = "lost"
    breaks: int = 0
    wait_s: float = 0.0


class Simulation:
    """Entries, servers and callers with a seeded course of faults.

    ``heads`` is the fraction of prompts that are lost after the head of the response.
    ``crash_s`` is the range of times after which a deadly request crashes its server,
    in addition to that of a sound one. Each deadly request comes for ``deadly_s`` from
    so many callers. With ``by_part``, all of them are different and have the part that
    crashes servers in common. An entry has a share of the limits ``settle_s`` after its
    start.
    """

    def __init__(
        self,
        seed,
        *,
        loss=0.1,
        heads=1.0,
        with_faults=True,
        entries=4,
        crash_s=(0.0, 0.0),
        deadly_s=DEADLY_S,
        deadly_callers=1,
        by_part=False,
        settle_s=SETTLE_S,
    ):
        self.rng, self.loss, self.with_faults = random.Random(seed), loss, with_faults
        self.heads, servers = heads, 4
        self.crash_s, self.deadly_s = crash_s, deadly_s
        self.by_part = by_part
        self.deadly_callers, self.settle_s = deadly_callers, settle_s
        self.names = frozenset(f"e{number}" for number in range(entries))
        self.entries = {
            name: SimulatedEntry(name, settle_s=settle_s) for name in sorted(self.names)
        }
        self.servers = [SimulatedServer(ServerRun(f"c{n}", 1)) for n in range(servers)]
        self.store, self.store_down = {}, False
        self.outcomes: list[Outcome] = []
        # Time and entry of each run of deadly requests, all of which are crashes, by
        # what they have in common.
        self.deadly_runs: dict[frozenset, list[tuple[float, str]]] = {}
        self.faults: list[tuple[str, float, float]] = []

    async def run(self, seconds):
        """Play for some time, and then until the sound callers are done."""
        async with trio.open_nursery() as self.nursery:
            for entry in self.entries.values():
                self.nursery.start_soon(self._run_entry, entry)
            await trio.sleep(2 * START_S)
            self.nursery.start_soon(self._follow_store)
            if self.with_faults:
                self.nursery.start_soon(self._inject_faults, seconds)
            self.nursery.start_soon(self._crash_servers, seconds)
            async with trio.open_nursery() as callers:
                for _ in range(self.deadly_callers):
                    callers.start_soon(self._send_deadly, seconds)
                for number in range(6):
                    callers.start_soon(self._send_sound, callers, number, seconds)
            self.nursery.cancel_scope.cancel()

    # Entries

    async def _run_entry(self, entry):
        """Run an entry until cancelled; it starts again when its scope is cancelled."""
        while True:
            entry.started_at, entry.ready = trio.current_time(), False
            entry.names = self.names
            entry.exchange = self._make_exchange(entry)
            entry.records = PartRecords(
                exchange=entry.exchange,
                store=StoreClient(self, entry),
                min_ttl_s=1.0,
                clock=trio.current_time,
                wall_clock=trio.current_time,
                events=entry.exchange.events,
            )
            with trio.CancelScope() as entry.scope:
                await trio.sleep(START_S)
                while self.store_down or entry.store_cut:
                    await trio.sleep(0.1)
                for key, (value, _) in self.store.items():
                    entry.records.apply_change(key, value)
                entry.ready = True
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(entry.exchange.run)
                    nursery.start_soon(entry.records.run)

    def _make_exchange(self, entry):
        async def send(message, to):
            await entry.thawed()
            for name in sorted(set(to) - {entry.name}):
                if self.rng.random() >= self.loss and not entry.cut_off:
                    self.nursery.start_soon(self._deliver, message, entry.name, name)

        return PartExchange(
            vm=entry.name,
            suspicions=PartSuspicions(),
            shares=entry,
            peers=self.names,
            send=send,
            clock=trio.current_time,
            events=EventLog(entry.name, HybridClock(time.time)),
        )

    async def _deliver(self, message, sender, name):
        await trio.sleep(self.rng.uniform(*DATAGRAM_S))
        entry = self.entries[name]
        is_cut, exchange = entry.cut_off, entry.exchange
        await entry.thawed()
        if entry.ready and not is_cut and exchange is entry.exchange:
            exchange.handle(message, sender)

    async def _follow_store(self):
        """Tell entries what changed in the store, and end its leases."""
        known = {name: {} for name in self.names}
        while True:
            await trio.sleep(0.05)
            now = trio.current_time()
            if not self.store_down:
                self.store = {k: v for k, v in self.store.items() if now < v[1]}
            for name, entry in self.entries.items():
                if self.store_down or entry.store_cut or entry.frozen:
                    continue
                if not entry.ready:
                    known[name] = dict(self.store)
                    continue
                for key in known[name].keys() - self.store.keys():
                    entry.records.apply_change(key, None)
                for key, value in self.store.items():
                    if known[name].get(key) != value:
                        entry.records.apply_change(key, value[0])
                known[name] = dict(self.store)

    # Faults

    async def _inject_faults(self, seconds):
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(self.rng.expovariate(FAULTS_PER_S))
            fault = self.rng.choice(
                ["restart", "restart all", "frozen", "cut_off", "store_cut", "store"]
            )
            entry = self.entries[self.rng.choice(sorted(self.names))]
            self.nursery.start_soon(self._inject, fault, entry)

    async def _inject(self, fault, entry):
        start, duration_s = trio.current_time(), self.rng.uniform(*FAULT_S)
        if fault in {"restart", "restart all"}:
            entries = [entry] if fault == "restart" else list(self.entries.values())
            for each in entries:
                each.scope.cancel()
                self.faults.append((each.name, start, start + START_S))
            return
        target, name = (self, "store_down") if fault == "store" else (entry, fault)
        if getattr(target, name):
            return
        setattr(target, name, True)
        await trio.sleep(duration_s)
        setattr(target, name, False)
        if fault != "store":
            self.faults.append((entry.name, start, trio.current_time()))

    def is_calm(self, name, at):
        """Whether an entry has no fault near a time."""
        return not any(
            each == name and start - REACTION_S < at < end + CONTACT_S
            for each, start, end in self.faults
        )

    async def _crash_servers(self, seconds):
        """Crash several servers nearly at once, now and then."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(self.rng.expovariate(0.1))
            count = self.rng.randint(2, len(self.servers))
            for server in self.rng.sample(self.servers, count):
                self._crash(server)
                await trio.sleep(self.rng.uniform(0, CRASH_SPREAD_S / count))

    def _crash(self, server):
        if not server.down:
            server.down = True
            server.run = ServerRun(server.run.server_id, server.run.started_ms + 1)
            self.nursery.start_soon(self._restart, server)

    async def _restart(self, server):
        await trio.sleep(self.rng.uniform(*RESTART_S))
        server.down = False

    # Callers

    async def _send_deadly(self, seconds):
        end = trio.current_time() + seconds
        while (now := trio.current_time()) < end:
            request = SHARED | {f"r-deadly{now // self.deadly_s:.0f}"}
            if self.by_part:
                request = DEADLY_PART | {f"r-deadly{len(self.outcomes)}"}
            await self._send_repeatedly(request, deadly=True)
            await trio.sleep(self.rng.uniform(*PAUSE_S))

    async def _send_sound(self, nursery, number, seconds):
        end, count = trio.current_time() + seconds, 0
        while trio.current_time() < end:
            count += 1
            request = frozenset({f"r{number}-{count}"})
            if number % 2:
                request |= SHARED
            outcome = await self._send_repeatedly(request)
            if outcome.result == "blocked":
                nursery.start_soon(self._send_after_block, outcome)
            await trio.sleep(self.rng.expovariate(3.0))

    async def _send_after_block(self, outcome):
        while outcome.result == "blocked":
            await trio.sleep(outcome.wait_s + AFTER_BLOCK_S)
            outcome = await self._send_repeatedly(outcome.request)

    async def _send_repeatedly(self, request, *, deadly=False):
        for _ in range(1 + REPETITIONS):
            outcome = await self._send(request, deadly=deadly)
            if outcome.result != "lost":
                break
        return outcome

    async def _send(self, request, *, deadly):
        entry = self.entries[self.rng.choice(sorted(self.names))]
        outcome = Outcome(request, entry.name, trio.current_time(), deadly)
        self.outcomes.append(outcome)
        exchange = entry.exchange
        for _ in range(self.rng.choice(ATTEMPTS)):
            await entry.thawed()
            if not entry.ready or exchange is not entry.exchange:
                break
            outcome.wait_s = exchange.wait_s(request)
            servers = [each for each in self.servers if not each.down]
            if outcome.wait_s > 0 or not servers:
                outcome.result = "blocked" if outcome.wait_s > 0 else "no server"
                break
            server = self.rng.choice(servers)
            if await self._run_request(entry, exchange, server, outcome):
                outcome.result = "served"
                break
        return outcome

    async def _run_request(self, entry, exchange, server, outcome):
        """Run a request at a server; return whether the entry has its response."""
        run, sent_at = server.run, trio.current_time()
        exchange.record_sent(outcome.request)
        run_s = self.rng.uniform(*RUN_S)
        # Without slow crashes nothing is drawn, so that seeds keep their course.
        if outcome.deadly and any(self.crash_s):
            run_s += self.rng.uniform(*self.crash_s)
        await trio.sleep(run_s)
        is_broken = run != server.run
        if outcome.deadly and not is_broken:
            cause = DEADLY_PART if self.by_part else outcome.request
            runs = self.deadly_runs.setdefault(cause, [])
            runs.append((sent_at, entry.name))
            self._crash(server)
            is_broken = True
        outcome.breaks += is_broken
        await entry.thawed()
        if exchange is not entry.exchange:
            return False
        if not is_broken:
            exchange.record_answered(outcome.request)
            return True
        begun = not outcome.request >= SHARED or self.rng.random() < self.heads
        exchange.record_broken_off(run, outcome.request, begun=begun, sent_at=sent_at)
        await exchange.announce()
        return False

    # Results

    def late_deadly_runs(self, crashes, delay_s):
        """Return the runs of a request by calm entries some time after its crashes."""
        late = []
        for runs in self.deadly_runs.values():
            start = [at for at, _ in sorted(runs)][crashes - 1 : crashes]
            found = [
                (at, name)
                for at, name in runs
                if start and at > start[0] + delay_s and self.is_calm(name, at)
            ]
            late.append(found)
        return max(late, key=len, default=[])

    def blocked_without_loss(self):
        """Return the refusals of sound requests that never broke off before."""
        lost_at: dict[frozenset, float] = {}
        for each in self.outcomes:
            if each.breaks:
                first = lost_at.get(each.request, math.inf)
                lost_at[each.request] = min(first, each.sent_at)
        return [
            each
            for each in self.outcomes
            if not each.deadly
            and each.result == "blocked"
            and lost_at.get(each.request, math.inf) > each.sent_at
        ]

    def sound_results(self):
        """Return the last result of each sound request."""
        return {x.request: x.result for x in self.outcomes if not x.deadly}
