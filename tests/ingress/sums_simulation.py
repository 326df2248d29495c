"""Simulated exchange of sums: delayed and lost datagrams, freezes, joins, restarts."""

import heapq
import itertools
import math

import attrs

from foxtailcourse.ingress._fleet_sums import FleetSums
from foxtailcourse.ingress._peer_messages import SumsUpdate, decode, encode
from foxtailcourse.ingress._peers import Peer, PeerDirectory
from foxtailcourse.ingress._relays import RelayPlan
from foxtailcourse.ingress._sum_exchange import (
    ALIVE_PERIOD_S,
    PERIOD_S,
    URGENT_SPACING_S,
    SumExchange,
)
from foxtailcourse.observe import Metrics
from foxtailcourse.settings import Address

# Long, so that the decay on the way does not hide an entry that is counted twice.
TAU_S = 30.0
STEP_S = 0.05
# Two relays hold sums for 1 s, the receiver for 1.5 s, with a delay before each.
OLDEST_S = 1.0 + 1.0 + 1.5 + 3 * 0.25
DOMAINS = ("palermo", "catania", "enna", "noto")


@attrs.define
class SimulatedEntry:
    """One process of an entry; a restart makes a new one."""

    vm: str
    peers: PeerDirectory
    now: float
    next_at: float
    frozen_until: float = 0.0
    urgent_at: float = 0.0
    # Datagrams that were not read yet: sender and contents.
    socket: list = attrs.field(factory=list)
    sums: FleetSums = attrs.field(factory=FleetSums)
    exchange: SumExchange = attrs.field(init=False)
    # What was really added, without the code under test: amount and its time, by key.
    truth: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        plan = RelayPlan(self.vm, self.peers)
        self.exchange = SumExchange(
            self.vm, self.sums, self.peers, plan, None, None, Metrics()
        )

    def add(self, key, amount, now, *, urgent=False):
        self.sums.add(key, [amount], TAU_S, now)
        self.truth[key] = (self.true_sum(key, now) + amount, now)
        if urgent:
            self.sums.mark_urgent(key)

    def true_sum(self, key, now):
        amount, at = self.truth.get(key, (0.0, now))
        return amount * math.exp(-(now - at) / TAU_S)


class SimulatedFleet:
    """Entries that exchange encoded datagrams with delays and losses.

    Parameters
    ----------
    rng : random.Random
        Source of all chances.
    size : int
        Number of entries.
    loss : float
        Fraction of the datagrams that are lost.
    max_delay_s : float
        Longest delay of a datagram; the shortest is 5 ms.
    """

    def __init__(self, rng, size, loss=0.0, max_delay_s=0.2):
        self.rng, self.loss, self.max_delay_s = rng, loss, max_delay_s
        self.now = 100.0
        self.peers = PeerDirectory()
        self.entries, self.dead = {}, []
        self.datagrams, self.order = [], itertools.count()
        self.is_cut = lambda sender, receiver: False
        self.last_sent = {}
        self.sent = []  # time, sender, receiver, bytes
        for number in range(size):
            self.start(f"e{number}")

    def start(self, vm):
        number = int(vm[1:])
        cores = 2.0 if number < 2 * len(DOMAINS) else 0.3
        peer = Peer(
            address=Address("127.0.0.1", 1000 + number),
            failure_domain=DOMAINS[number % len(DOMAINS)],
            capacity_cores=cores - number / 1e4,
        )
        self.peers.add(vm, peer)
        if vm in self.entries:
            self.dead.append(self.entries[vm])
        next_at = self.now + self.rng.uniform(0, PERIOD_S)
        self.entries[vm] = SimulatedEntry(vm, self.peers, self.now, next_at)

    def stop(self, vm):
        """Kill an entry, whose registration stays for now."""
        self.dead.append(self.entries.pop(vm))

    def run(self, seconds, each_step=lambda: None):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self.deliver()
            for entry in self.entries.values():
                if entry.frozen_until <= self.now:
                    self.play(entry)
            each_step()

    def deliver(self):
        while self.datagrams and self.datagrams[0][0] <= self.now:
            _, _, sender, receiver, data = heapq.heappop(self.datagrams)
            if receiver in self.entries:
                self.entries[receiver].socket.append((sender, data))
        for entry in self.entries.values():
            if entry.frozen_until <= self.now:
                received, entry.socket = entry.socket, []
                for sender, data in received:
                    entry.exchange.handle(decode(data), sender, self.now)

    def play(self, entry):
        """Do what the tasks of the exchange do at this time."""
        entry.exchange.notice_running(self.now)
        if entry.sums.urgent.is_set() and self.now >= entry.urgent_at:
            entry.urgent_at = self.now + URGENT_SPACING_S
            self.send(entry, entry.exchange.urgent_messages(self.now))
        if self.now >= entry.next_at:
            entry.next_at = self.now + PERIOD_S + self.rng.uniform(0, ALIVE_PERIOD_S)
            self.send(entry, entry.exchange.messages(self.now))

    def send(self, entry, outgoing):
        for message, receivers in outgoing:
            data = encode(message)
            if type(message) is SumsUpdate or entry.exchange.plan.is_relay(self.now):
                self.last_sent[entry.vm] = self.now
            for receiver in receivers:
                self.sent.append((self.now, entry.vm, receiver, len(data)))
                is_lost = self.rng.random() < self.loss
                if is_lost or self.is_cut(entry.vm, receiver):
                    continue
                at = self.now + self.rng.uniform(0.005, self.max_delay_s)
                datagram = (at, next(self.order), entry.vm, receiver, data)
                heapq.heappush(self.datagrams, datagram)

    def recent_senders(self, vm):
        """Return the other entries whose sums may be on the way or held somewhere."""
        since = self.now - OLDEST_S
        return {each for each, at in self.last_sent.items() if at >= since} - {vm}

    def true_others(self, keys):
        """Return what others added, also in earlier processes, decayed until now.

        By key and VM, for the VMs of live entries.
        """
        sums = {}
        for key in keys:
            total = sum(
                each.true_sum(key, self.now)
                for each in [*self.entries.values(), *self.dead]
            )
            for vm, entry in self.entries.items():
                sums[key, vm] = total - entry.true_sum(key, self.now)
        return sums
