"""Exchange of decayed sums between entries; see ``FleetSums``.

Up to 12 entries send their sums to each other. In a larger fleet an entry sends them to
its relay; see ``RelayPlan``. A relay sends the sums of its members to the relays of the
other failure domains, and to each member those of the whole fleet without the member.

No entry is counted twice while members change their relay: of the relays of a failure
domain a receiver uses one, the one that covers most entries, and a relay counts entries
of its own failure domain only if they send to it.
"""

from collections.abc import Awaitable, Callable, Iterable, Sequence, Set

import attrs
import trio

from foxtailcourse.ingress._fleet_sums import FleetSums, SourceSums
from foxtailcourse.ingress._peer_messages import (
    DomainSums,
    Message,
    OtherSums,
    SumsUpdate,
    SumWireRow,
)
from foxtailcourse.ingress._peers import PeerDirectory
from foxtailcourse.ingress._relays import RELAY_SILENCE_S, RelayPlan
from foxtailcourse.ingress._sum_rows import (
    LARGE_FLEET_ENTRIES,
    MAX_ROWS_IN_LARGE_FLEET,
    MAX_ROWS_PER_PERIOD,
    RowSelection,
    SumTotals,
    split_rows,
)
from foxtailcourse.observe import Metrics

# All rows are sent in this period.
PERIOD_S = 0.4
# Shortest time between two messages for urgent keys.
URGENT_SPACING_S = 0.05
# A relay counts a member, or the relay of another domain, that it heard within this
# time; two messages in a row may be lost. The time is shorter than the one of
# FleetSums, as the ages at both relays and at the receiver add up.
RELAYED_HOLD_S = 1.0
# The exchange notices in this period that the process runs.
ALIVE_PERIOD_S = 0.1
# After a pause of the process of this time, datagrams may be as old as the pause. They
# are ignored for CATCH_UP_S, in which the socket is read.
SUSPENDED_S = 0.5
CATCH_UP_S = 0.1
# Larger amounts, decay times and numbers of entries are not real. Their sums would not
# fit a message, and the exponential of a negative decay time overflows.
MAX_AMOUNT = 1e12
MAX_TAU_MS = 3_600_000
MAX_ENTRIES = 100_000
# Source of the sums from relays, in place of a VM.
FLEET_SOURCE = "fleet"

Outgoing = tuple[SumsUpdate, list[str]]


@attrs.frozen(kw_only=True)
class _Head:
    """Fields of a message besides its rows; see ``SumsUpdate``."""

    sent_ms: int
    entries: int = 1
    has_keys: bool
    is_urgent: bool
    is_partial: bool


@attrs.define
class SumExchange:
    """Sends this entry's sums, receives those of the others and relays them.

    Parameters
    ----------
    vm : str
        Name of this VM.
    sums : FleetSums
        Sums of this entry; gets those of the others.
    peers : PeerDirectory
        The registered entries.
    plan : RelayPlan
        Which entries relay.
    send : coroutine function
        Sends a message to entries.
    clock : callable
        Returns seconds since boot.
    metrics : Metrics
        Counts messages.
    """

    vm: str
    sums: FleetSums
    peers: PeerDirectory
    plan: RelayPlan
    send: Callable[[Message, Iterable[str]], Awaitable[None]]
    clock: Callable[[], float]
    metrics: Metrics
    # What entries, relays of other domains, and relays of the own domain said, by VM.
    _entries: dict[str, SourceSums] = attrs.field(factory=dict, init=False)
    _domains: dict[str, SourceSums] = attrs.field(factory=dict, init=False)
    _others: dict[str, SourceSums] = attrs.field(factory=dict, init=False)
    # Keys to send, to entries or relays, to other domains and to members.
    _own_selection: RowSelection = attrs.field(factory=RowSelection, init=False)
    _domain_selection: RowSelection = attrs.field(factory=RowSelection, init=False)
    _fleet_selection: RowSelection = attrs.field(factory=RowSelection, init=False)
    # Urgent keys of other domains.
    _urgent_for_members: set[str] = attrs.field(factory=set, init=False)
    _alive_at: float | None = attrs.field(default=None, init=False)
    _ignore_until: float = attrs.field(default=float("-inf"), init=False)

    # Receiving

    def notice_running(self, now: float) -> None:
        """Record that the process runs; ignore old datagrams after a pause."""
        if self._alive_at is not None and now - self._alive_at > SUSPENDED_S:
            self._ignore_until = now + CATCH_UP_S
        self._alive_at = now

    def handle(self, message: SumsUpdate, sender: str, now: float) -> None:
        """Handle a message of the registered entry ``sender``."""
        self.notice_running(now)
        source = self._source(message, sender)
        if source is None:
            return
        if now < self._ignore_until or not source.is_newer(message.sent_ms, now):
            self.metrics.count("foxtail_ingress_old_sums_total")
            return
        rows = [
            (key, _amounts(amounts), _tau_s(tau)) for key, amounts, tau in message.rows
        ]
        source.merge(rows, min(message.entries, MAX_ENTRIES), now)
        source.has_keys, source.is_partial = message.has_keys, message.is_partial
        if isinstance(message, OtherSums) and message.entries > 0:
            self.plan.record_heard(sender, now)
        elif message.is_urgent and not self.plan.is_mesh and self.plan.is_relay(now):
            self._pass_on({row[0] for row in message.rows}, message)
        self._use_sources(now)

    def _source(self, message: SumsUpdate, sender: str) -> SourceSums | None:
        """Return what the sender said before, or None if it is not used."""
        is_own_domain = self._domain(sender) == self._domain(self.vm)
        match message:
            case DomainSums() if not self.plan.is_mesh and not is_own_domain:
                sources = self._domains
            case OtherSums() if not self.plan.is_mesh and is_own_domain:
                sources = self._others
            case SumsUpdate() if type(message) is SumsUpdate and (
                self.plan.is_mesh or is_own_domain
            ):
                sources = self._entries
            case _:
                return None
        return sources.setdefault(sender, SourceSums())

    def _pass_on(self, keys: set[str], message: SumsUpdate) -> None:
        """Send keys that a member or another relay marked as urgent at once."""
        if isinstance(message, DomainSums):
            # Only to the members, or relays would send to each other without end.
            self._urgent_for_members |= keys
            self.sums.urgent.set()
        else:
            for key in keys:
                self.sums.mark_urgent(key)

    def _domain(self, vm: str) -> str | None:
        peer = self.peers.get(vm)
        return peer.failure_domain if peer else None

    def _use_sources(self, now: float) -> None:
        if self.plan.is_mesh:
            self.sums.use_sources(self._entries)
            return
        relay = _best(self._others.values(), now, self.sums.hold_s)
        self.sums.use_sources({FLEET_SOURCE: relay} if relay else {})

    # Sending

    def messages(self, now: float) -> list[Outgoing]:
        """Return the periodic messages with all rows, with their receivers."""
        self.notice_running(now)
        for sources in (self._entries, self._domains, self._others):
            for vm, source in list(sources.items()):
                source.expire(now)
                if now - source.heard_at > self.sums.hold_s:
                    del sources[vm]
        self._use_sources(now)
        is_large = len(self.peers) > LARGE_FLEET_ENTRIES
        for selection in (
            self._own_selection,
            self._domain_selection,
            self._fleet_selection,
        ):
            selection.max_rows = (
                MAX_ROWS_IN_LARGE_FLEET if is_large else MAX_ROWS_PER_PERIOD
            )
        self._urgent_for_members.clear()
        return self._messages(now, None, None)

    def urgent_messages(self, now: float) -> list[Outgoing]:
        """Return the messages with the keys that were marked as urgent."""
        keys = self.sums.take_urgent()
        for_members = keys | self._urgent_for_members
        self._urgent_for_members = set()
        return self._messages(now, keys, for_members) if for_members else []

    def _messages(
        self, now: float, only: Set[str] | None, for_members: Set[str] | None
    ) -> list[Outgoing]:
        """Return the messages for some keys, or with None for all."""
        own = SumTotals()
        if for_members is None:
            own_rows = self.sums.own_rows(now)
        else:
            own_rows = [(key, list(self.sums.own(key, now))) for key in for_members]
        for key, amounts in own_rows:
            own.add(key, amounts, self.sums.own_tau_s(key))
        heard = (self._entries, self._domains, self._others)
        if not self.sums.has_own_keys and not any(
            source.has_keys and now - source.heard_at <= self.sums.hold_s
            for sources in heard
            for source in sources.values()
        ):
            return []
        if self.plan.is_mesh:
            receivers = [vm for vm in self.peers if vm != self.vm]
        else:
            receivers = [vm for vm in self.plan.upstream(now) if vm != self.vm]
        keys = self._own_selection.select(own, now, only)
        rows = own.rows(keys, None, now)
        head = _Head(
            sent_ms=int(now * 1000),
            has_keys=self.sums.has_own_keys,
            is_urgent=only is not None,
            is_partial=self._own_selection.is_partial,
        )
        outgoing = _build(SumsUpdate, rows, head, receivers)
        if not self.plan.is_mesh and self.plan.is_relay(now):
            outgoing += self._relayed(own, head, now, only, for_members)
        return outgoing

    def _relayed(
        self,
        own: SumTotals,
        own_head: _Head,
        now: float,
        only: Set[str] | None,
        for_members: Set[str] | None,
    ) -> list[Outgoing]:
        """Return the messages of a relay to other relays and to its members."""
        members = {
            vm: source
            for vm, source in self._entries.items()
            if now - source.heard_at <= RELAYED_HOLD_S
            and self._domain(vm) == self._domain(self.vm)
        }
        if not members and self.vm not in self.plan.upstream(now):
            return []
        domain = own.copy()
        for source in members.values():
            domain.add_source(source, now, for_members)
        has_keys = self.sums.has_own_keys or any(e.has_keys for e in members.values())
        keys = self._domain_selection.select(domain, now, only)
        rows = domain.rows(keys, None, now)
        receivers = self._other_domain_relays(now)
        head = attrs.evolve(
            own_head,
            entries=len(members) + 1,
            has_keys=has_keys,
            is_partial=self._domain_selection.is_partial,
        )
        outgoing = _build(DomainSums, rows, head, receivers)
        fleet, others = domain.copy(), len(members)
        for source in self._other_domains(now):
            fleet.add_source(source, now, for_members)
            others += source.entries
            has_keys |= source.has_keys
        keys = self._fleet_selection.select(fleet, now, for_members)
        head = attrs.evolve(
            head,
            entries=others,
            has_keys=has_keys,
            is_partial=self._fleet_selection.is_partial,
        )
        for vm, source in members.items():
            outgoing += _build(OtherSums, fleet.rows(keys, source, now), head, [vm])
        if for_members is None and self.plan.own_relays(now)[0] == self.vm:
            # An entry without keys sends nothing until it hears that others have some.
            silent = sorted(self._domain_entries() - members.keys())
            outgoing += _build(OtherSums, [], attrs.evolve(head, entries=0), silent)
        mine = self._others.setdefault(self.vm, SourceSums())
        own_sums = SourceSums()
        own_sums.merge(
            [(key, each, own.taus_s.get(key)) for key, each in own.amounts.items()],
            1,
            now,
        )
        rows = fleet.rows(keys, own_sums, now)
        mine.merge([(k, v, tau / 1000) for k, v, tau in rows], others, now)
        mine.is_partial = head.is_partial
        self._use_sources(now)
        return outgoing

    def _domain_entries(self) -> set[str]:
        """Return the other entries of the own failure domain."""
        own = self._domain(self.vm)
        return {vm for vm in self.peers if self._domain(vm) == own} - {self.vm}

    def _other_domains(self, now: float) -> list[SourceSums]:
        """Return one relay of each other failure domain."""
        by_domain: dict[str | None, list[SourceSums]] = {}
        for vm, source in self._domains.items():
            by_domain.setdefault(self._domain(vm), []).append(source)
        by_domain.pop(None, None)
        best = [_best(each, now, RELAYED_HOLD_S) for each in by_domain.values()]
        return [source for source in best if source is not None]

    def _other_domain_relays(self, now: float) -> list[str]:
        """Return the first relay of each other domain, and others that relay now."""
        own = self._domain(self.vm)
        relays = [
            each[0] for each in self.plan.relays(now).values() if self.vm not in each
        ]
        active = [
            vm
            for vm, source in self._domains.items()
            if now - source.heard_at <= self.sums.hold_s
        ]
        chosen = dict.fromkeys([*relays, *active])
        return [vm for vm in chosen if self._domain(vm) not in (own, None)]

    async def run(self) -> None:
        """Send messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_periodically)
            nursery.start_soon(self._send_urgent)

    async def _send_periodically(self) -> None:
        sent_at = self.clock()
        while True:
            await trio.sleep(ALIVE_PERIOD_S)
            now = self.clock()
            self.notice_running(now)
            if now - sent_at >= PERIOD_S:
                sent_at = now
                await self._send(self.messages(now))
                heard = self.sums.heard_entries(now)
                self.metrics.gauge("foxtail_ingress_sums_entries", heard)

    async def _send_urgent(self) -> None:
        while True:
            await self.sums.urgent.wait()
            await self._send(self.urgent_messages(self.clock()))
            await trio.sleep(URGENT_SPACING_S)

    async def _send(self, outgoing: Sequence[Outgoing]) -> None:
        for message, receivers in outgoing:
            await self.send(message, receivers)
            self.metrics.count("foxtail_ingress_sums_sent_total", len(receivers))


def _amounts(amounts: Sequence[float]) -> list[float]:
    return [each if 0 <= each <= MAX_AMOUNT else 0.0 for each in amounts]


def _tau_s(tau_ms: int) -> float | None:
    return tau_ms / 1000 if 0 < tau_ms <= MAX_TAU_MS else None


def _best(
    sources: Iterable[SourceSums], now: float, hold_s: float
) -> SourceSums | None:
    """Return the source that covers most entries; one that is silent comes last."""
    return max(
        (each for each in sources if now - each.heard_at <= hold_s),
        key=lambda each: (now - each.heard_at < RELAY_SILENCE_S, each.entries),
        default=None,
    )


def _build(
    message_type: type[SumsUpdate],
    rows: list[SumWireRow],
    head: _Head,
    receivers: list[str],
) -> list[Outgoing]:
    """Return messages that fit a datagram each; an empty one only in the period."""
    if not receivers or (head.is_urgent and not rows):
        return []
    fields = attrs.asdict(head)
    return [(message_type(**fields, rows=part), receivers) for part in split_rows(rows)]
