"""Simulated entries that keep a quota, beside a counter that sees all requests."""

import random

import attrs
from fleet_simulation import NEWS_S, RUN, SimulatedEntry, SimulatedFleet

from foxtailcourse.fleet import Account, Quota
from foxtailcourse.ingress._account_quotas import AccountQuotas, Grant, QuotaRule
from foxtailcourse.ingress._fleet_sums import FleetSums, SourceSums

RULE = QuotaRule(window_s=8.0, overage=0.1, tolerance=190_000)
CONFIGURATION_S = 2.0
# An entry that has not heard from the store for so long accepts no keys.
KEY_AGE_S = 4.7
PERIOD_S, SPACING_S, MESH_ENTRIES = 0.4, 0.05, 12
# Long prompts of the galleries, and their fraction of all prompts.
LONG_TOKENS, SHORT_TOKENS, LONG_FRACTION = 17_044, 392, 14.3 / 280.3


def account(rate_per_s=47_000, burst=47_000, name="a", unit="tokens"):
    quota = None
    if rate_per_s:
        quota = Quota(
            rate_per_s=rate_per_s,
            burst=burst,
            counts_tokens=unit == "tokens",
            default_tokens=200,
        )
    return Account(name=name, priority=0, isolated=False, quota=quota)


def prompt_tokens(rng):
    """Return the size of a prompt; one in a thousand has 100,000 tokens."""
    if rng.random() < 0.001:
        return 100_000
    typical = LONG_TOKENS if rng.random() < LONG_FRACTION else SHORT_TOKENS
    return min(100_000, max(100, int(typical * rng.lognormvariate(0, 0.3))))


MEAN_TOKENS = sum(prompt_tokens(random.Random(n)) for n in range(20_000)) / 20_000


@attrs.define(eq=False)
class QuotaEntry(SimulatedEntry):
    sums: FleetSums = attrs.field(factory=FleetSums)
    quotas: AccountQuotas = attrs.field(init=False)
    accounts: dict = attrs.field(factory=dict)
    accounts_at: float = 0.0
    next_update_at: float = 0.0
    next_send_at: float = 0.0
    next_period_at: float = 0.0
    # Separated from the other entries, but not from callers and servers.
    isolated_until: float = 0.0

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        self.quotas = AccountQuotas(
            sums=self.sums, shares=self.shares, rng=random.Random(1), rule=RULE
        )


class QuotaFleet(SimulatedFleet):
    """Entries, and demand of one account with the mix of the galleries.

    Above MESH_ENTRIES entries, sums are passed on by a relay.
    """

    def __init__(self, rng, size, present, delays_s=(0.005, 0.2), loss=0.05):
        self.account, self.changed_at = present, 0.0
        self.delays_s, self.loss, self.group = delays_s, loss, {}
        # Demand in tokens/s, and the entries that it falls on.
        self.demand_per_s, self.placed_on = 0.0, None
        self.messages, self.relay, self.held = [], {}, []
        self.ran, self.offered, self.refused = [], 0, []
        self.limits_since = [(float("-inf"), present.quota)]
        super().__init__(rng, size, 1.0)

    def add(self, now, vm):
        entry = QuotaEntry(vm, now)
        entry.next_news_at = now + self.rng.uniform(0, NEWS_S)
        entry.accounts = {"k": self.account}
        entry.limits.record_limit(RUN, self.limit_per_s, now)
        return entry

    def limits_allow(self, entry):
        return False

    def configure(self, changed):
        self.account, self.changed_at = changed, self.now
        self.limits_since.append((self.now, changed.quota))

    def reachable(self, entry, other):
        return self.now >= max(entry.isolated_until, other.isolated_until) and (
            self.group.get(entry.vm) == self.group.get(other.vm)
        )

    def step(self):
        super().step()
        # The steps of requests and messages are shorter than those of registrations.
        for part in (0.0, 0.05):
            self._step_at(self.now + part)

    def _step_at(self, now):
        alive = [each for each in self.entries if each.runs(now)]
        for entry in alive:
            if now >= max(entry.cut_until, entry.accounts_at):
                entry.accounts_at = now + self.rng.uniform(0, CONFIGURATION_S)
                if entry.accounts.get("k") is not self.account:
                    entry.accounts = {"k": self.account}
            if now >= entry.next_update_at:
                entry.next_update_at = now + 0.25
                entry.quotas.update(entry.accounts, now)
        self._deliver(now)
        self._offer(alive, now, 0.05)
        for entry in alive:
            self._send(entry, now)
        for due, entry, grant, runs in list(self.held):
            if due <= now:
                self.held.remove((due, entry, grant, runs))
                self._finish(entry, grant, runs, now)

    def _finish(self, entry, grant, runs, now):
        if not runs:
            entry.quotas.give_back(grant, now)
        elif entry in self.entries and entry.runs(now):
            entry.quotas.record_sent(grant, now)
            self.ran.append((now, grant.tokens))

    def _offer(self, alive, now, step_s):
        rng, candidates = self.rng, alive
        if self.placed_on is not None:
            candidates = [each for each in alive if each.vm == self.placed_on] or alive
        candidates = [e for e in candidates if e.freshness.age_s(now) < KEY_AGE_S]
        mean = self.demand_per_s / MEAN_TOKENS * step_s
        count = int(mean) + (rng.random() < mean % 1)
        for _ in range(count if candidates else 0):
            entry, tokens = rng.choice(candidates), prompt_tokens(rng)
            self.offered += 1
            grant = entry.quotas.admit(entry.accounts["k"], tokens, now)
            if grant is None:
                continue
            if not isinstance(grant, Grant):
                self.refused.append((now, tokens, grant))
                continue
            delay_s = rng.uniform(0.1, 2) if rng.random() < 0.05 else 0.0
            due = (now + delay_s, entry, grant, rng.random() < 0.97)
            if delay_s:
                self.held.append(due)
            else:
                self._finish(entry, grant, due[3], now)

    def _send(self, entry, now):
        sums = entry.sums
        is_urgent = sums.urgent.is_set()
        if now < (entry.next_send_at if is_urgent else entry.next_period_at):
            return
        sums.take_urgent()
        entry.next_send_at = now + SPACING_S
        entry.next_period_at = now + PERIOD_S
        rows = sums.own_rows(now)
        taus_s = {key: sums.own_tau_s(key) for key, _ in rows}
        if len(self.entries) > MESH_ENTRIES:
            self._post(entry, None, rows, taus_s, 1, now)
            return
        for other in self.entries:
            if other is not entry:
                self._post(entry, other, rows, taus_s, 1, now)

    def _post(self, sender, receiver, rows, taus_s, entries, now):
        if self.rng.random() >= self.loss:
            arrives_at = now + self.rng.uniform(*self.delays_s)
            message = (arrives_at, sender, receiver, rows, taus_s, entries)
            self.messages.append(message)

    def _deliver(self, now):
        due = sorted((m for m in self.messages if m[0] <= now), key=lambda m: m[0])
        self.messages = [m for m in self.messages if m[0] > now]
        changed = False
        for _, sender, receiver, rows, taus_s, entries in due:
            if receiver is None:
                if now < sender.isolated_until:
                    continue
                source = SourceSums()
                source.merge([(k, v, taus_s[k]) for k, v in rows], 1, now)
                self.relay[sender.vm], changed = source, True
            elif not receiver.runs(now):
                if receiver in self.entries and now < receiver.frozen_until:
                    # It stays in the socket.
                    later = (receiver.frozen_until, sender, receiver, rows, taus_s)
                    self.messages.append((*later, entries))
            elif sender is None:
                if now >= receiver.isolated_until:
                    receiver.sums.update_others("relay", rows, entries, now)
            elif self.reachable(sender, receiver):
                receiver.sums.update_others(sender.vm, rows, entries, now)
        if changed:
            self._relay_sums(now)

    def _relay_sums(self, now):
        """Send each entry the sums of the rest of its side of the fleet."""
        heard = {
            vm: source
            for vm, source in self.relay.items()
            if now - source.heard_at <= 1.5
        }
        self.relay = heard
        rows_of = {
            vm: {key: source.decayed(key, now)[0] for key in source}
            for vm, source in heard.items()
        }
        totals, counts = {}, {}
        for vm, rows in rows_of.items():
            side = self.group.get(vm)
            counts[side] = counts.get(side, 0) + 1
            for key, amount in rows.items():
                totals[side, key] = totals.get((side, key), 0.0) + amount
        for entry in self.entries:
            side = self.group.get(entry.vm)
            own = rows_of.get(entry.vm)
            rows = [
                (key, [amount - (own or {}).get(key, 0.0)])
                for (each, key), amount in totals.items()
                if each == side
            ]
            count = counts.get(side, 0) - (own is not None)
            self._post(None, entry, rows, {}, count, now)

    def inject_fault(self):
        fault = self.rng.choice(["isolate", "split", "fleet", "fleet", "fleet"])
        until = self.now + self.rng.uniform(0.2, 15.0)
        if fault == "fleet":
            super().inject_fault()
        elif fault == "isolate":
            self.rng.choice(self.entries).isolated_until = until
        elif self.group:
            self.group = {}
        else:
            sides = self.rng.choice([2, 3])
            self.group = {e.vm: self.rng.randrange(sides) for e in self.entries}

    def most_over_limit(self):
        """Return the largest use of a window as a fraction of what the rule allows.

        The highest limit that some entry may still use counts; windows in which there
        is none are left out.
        """
        worst, start, used = 0.0, 0, 0.0
        for at, tokens in self.ran:
            used += tokens
            while self.ran[start][0] <= at - RULE.window_s:
                used -= self.ran[start][1]
                start += 1
            allowed = self._allowed(at)
            if allowed is not None:
                worst = max(worst, used / allowed)
        return worst

    def _allowed(self, end):
        binding_from = end - 2 * RULE.window_s - CONFIGURATION_S
        since = [at for at, _ in self.limits_since] + [float("inf")]
        allowed = []
        for (at, quota), until in zip(self.limits_since, since[1:], strict=True):
            if at > end or until <= binding_from:
                continue
            if quota is None:
                return None
            window = quota.rate_per_s * RULE.window_s + quota.burst
            allowed.append(window * (1 + RULE.overage) + RULE.tolerance)
        return max(allowed)
