"""Placement policy of the entries: ranks backend servers for a prompt."""

from collections import OrderedDict
from collections.abc import Sequence

from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing._levels import find_home_level, tracked_levels
from foxtailcourse.routing._open_attempts import (
    OpenAttempt,
    OpenAttempts,
    PromptId,
    prompt_id,
)
from foxtailcourse.routing._prefix_table import (
    MAX_SERVERS,
    PrefixTable,
    TrackedPrefix,
    evict_oldest,
)
from foxtailcourse.routing._ring_cache import FleetRing, RingCache
from foxtailcourse.routing._server_load import (
    REFUSED_AVOID_S,
    UNREACHABLE_AVOID_S,
    ServerLoad,
)
from foxtailcourse.routing._settings import PlacementSettings
from foxtailcourse.routing._types import Prompt, RankedServer, ServerReply

# Numbers of candidates from the home level, from all other levels, and from the
# servers that recently used the prefix. A hot prefix has more home servers.
HOME_CANDIDATES, OTHER_CANDIDATES = 2, 5
MAX_HOME_SERVERS = 16
RECENT_CANDIDATES = 2
MAX_RECORDED_CLASSES = 1_024
# A home server is assumed to have the prefix cached even before a reply confirms it,
# so that entries without contact to each other send a prefix to the same server.
HOME_CACHED_PROBABILITY = 0.95
# A server with an unanswered long attempt of the prefix will probably have it cached
# before a later long request of the account starts there.
PENDING_CACHED_PROBABILITY = 0.97


class PrefixPlacement:
    """Ranks backend servers by predicted wait plus weighted prefill time.

    The candidates are the home servers of the prompt's prefix by consistent hashing,
    servers of its other levels, and servers that recently used the prefix.

    Parameters
    ----------
    cfg : PlacementSettings
        Weights and rates.
    """

    def __init__(self, cfg: PlacementSettings | None = None) -> None:
        self.cfg = cfg or PlacementSettings()
        self._rings = RingCache()
        self._loads: dict[str, ServerLoad] = {}
        self._prefix_table = PrefixTable(self.cfg.tracked_prefixes)
        self._open = OpenAttempts(self.cfg.tracked_attempts)
        self._request_classes: OrderedDict[PromptId, RequestClass] = OrderedDict()
        self._unkeyed_requests = 0

    def rank(
        self,
        prompt: Prompt,
        servers: Sequence[str],
        request_class: RequestClass,
        now: float,
    ) -> list[RankedServer]:
        """Return a few candidates among the servers in service, best first.

        Callers should pass the same tuple object until the fleet changes. The cost of
        a call then does not depend on the size of the fleet.
        """
        if not servers:
            return []
        self._record_class(prompt, request_class)
        fleet = self._rings.find(prompt.model, servers)
        ranked = [
            self._evaluate(prompt, server, home_level, request_class, now)
            for server, home_level in self._candidates(prompt, fleet, now).items()
        ]
        return sorted(ranked, key=lambda each: each.cost_s)

    def record_sent(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Record that an attempt was sent."""
        request_class = self._request_classes.get(prompt_id(prompt), RequestClass.SHORT)
        n_matched = self._expected_blocks(prompt, backend_server, request_class, 0, now)
        prefill_s = self._prefill_s(prompt, n_matched)
        expected, pending_keys = [], []
        for level in tracked_levels(prompt.levels):
            prefix = self._prefix_table.track(prompt.keys[level - 1])
            prefix.count_request(now)
            age_s = self._prefix_table.age_s(prefix, backend_server, now)
            if age_s is not None:
                expected.append((level, age_s))
            if request_class is RequestClass.SHORT:
                self._prefix_table.record_use(prefix, backend_server, now)
            else:
                prefix.add_pending(backend_server)
                pending_keys.append(prompt.keys[level - 1])
        evicted = self._open.record_sent(
            prompt,
            backend_server,
            request_class,
            prefill_s,
            tuple(expected),
            now,
            tuple(pending_keys),
        )
        for attempt in evicted:
            for key in attempt.pending_keys:
                evicted_prefix = self._prefix_table.get(key)
                if evicted_prefix is not None:
                    evicted_prefix.remove_pending(attempt.server)

    def record_reply(self, prompt: Prompt, reply: ServerReply, now: float) -> None:
        """Record what a reply reports about its server."""
        server = reply.backend_server
        load = self._load(server)
        if load.apply_reply(reply, now):
            self._prefix_table.record_cache_loss(server, now)
        attempt = self._open.record_reply(prompt, server, reply.refused, now)
        short = attempt is None or attempt.request_class is RequestClass.SHORT
        if not short:
            self._remove_pending(prompt, server)
        if reply.refused:
            if short:
                load.avoid(now + REFUSED_AVOID_S)
                self._undo_use(prompt, server, attempt)
            return
        # A long request may wait so long that the age of the prefix at the time of
        # sending says nothing about the retention time.
        if short and attempt is not None:
            for level, age_s in attempt.expected_levels:
                self._prefix_table.update_retention(
                    server, age_s, level <= reply.matched_blocks
                )
        for level in tracked_levels(prompt.levels):
            prefix = self._prefix_table.track(prompt.keys[level - 1])
            self._prefix_table.record_use(prefix, server, now)

    def record_finished(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Record that an attempt ended, whether complete or broken off."""
        if self._open.record_finished(prompt, backend_server):
            self._remove_pending(prompt, backend_server)

    def record_unreachable(self, backend_server: str, now: float) -> None:
        """Record that a backend server could not be reached."""
        self._load(backend_server).avoid(now + UNREACHABLE_AVOID_S)
        self._prefix_table.record_cache_loss(backend_server, now)

    def _record_class(self, prompt: Prompt, request_class: RequestClass) -> None:
        """Record the class for ``record_sent``; other rankings may come in between."""
        key = prompt_id(prompt)
        self._request_classes[key] = request_class
        self._request_classes.move_to_end(key)
        if len(self._request_classes) > MAX_RECORDED_CLASSES:
            self._request_classes.popitem(last=False)

    def _candidates(
        self, prompt: Prompt, fleet: FleetRing, now: float
    ) -> dict[str, int]:
        """Return candidates, each with the level it is a home server of, 0 if none."""
        if not prompt.levels:
            self._unkeyed_requests += 1
            key = self._unkeyed_requests.to_bytes(8, "big")
            return dict.fromkeys(
                fleet.lookup(key, HOME_CANDIDATES + OTHER_CANDIDATES), 0
            )
        candidates: dict[str, int] = {}
        home_level = find_home_level(prompt.levels)
        n_home = self._n_home_servers(prompt, home_level, now)
        other_levels = [
            each for each in tracked_levels(prompt.levels) if each != home_level
        ]
        for position, server in enumerate(
            fleet.lookup(prompt.keys[home_level - 1], max(HOME_CANDIDATES, n_home))
        ):
            candidates[server] = home_level if position < n_home else 0
        n_per_level = max(1, OTHER_CANDIDATES // max(1, len(other_levels)))
        for level in reversed(other_levels):
            for server in fleet.lookup(prompt.keys[level - 1], n_per_level):
                candidates.setdefault(server, 0)
        for server in self._recent_servers(prompt, fleet):
            candidates.setdefault(server, 0)
        return candidates

    def _n_home_servers(self, prompt: Prompt, home_level: int, now: float) -> int:
        """Return the number of home servers of a prefix, by its request rate."""
        prefix = self._prefix_table.get(prompt.keys[home_level - 1])
        if prefix is None:
            return 1
        n_extra = int(prefix.requests_per_s(now) / self.cfg.hot_requests_per_s)
        return min(MAX_HOME_SERVERS, 1 + n_extra)

    def _recent_servers(self, prompt: Prompt, fleet: FleetRing) -> list[str]:
        """Return servers that last used the deepest recorded level, latest first."""
        for level in reversed(tracked_levels(prompt.levels)):
            prefix = self._prefix_table.get(prompt.keys[level - 1])
            if prefix is not None and prefix.last_used_at:
                recent = reversed(prefix.last_used_at)
                in_service = [each for each in recent if each in fleet]
                return in_service[:RECENT_CANDIDATES]
        return []

    def _evaluate(
        self,
        prompt: Prompt,
        server: str,
        home_level: int,
        request_class: RequestClass,
        now: float,
    ) -> RankedServer:
        load = self._load(server)
        wait_s = load.penalty_s(now)
        if request_class is RequestClass.SHORT:
            weight = self.cfg.recompute_weight
            wait_s += load.short_wait_s(now) + self._open.short_prefill_s(server)
        else:
            weight = self.cfg.long_recompute_weight
            wait_s += self._open.long_wait_s(prompt.salt, server, now)
        n_matched = self._expected_blocks(
            prompt, server, request_class, home_level, now
        )
        cost_s = wait_s + weight * self._prefill_s(prompt, n_matched)
        return RankedServer(
            backend_server=server, matched_blocks=int(n_matched), cost_s=cost_s
        )

    def _expected_blocks(
        self,
        prompt: Prompt,
        server: str,
        request_class: RequestClass,
        home_level: int,
        now: float,
    ) -> float:
        """Return the expected number of leading blocks that a server has cached.

        A server that has a level cached also has the shallower levels cached, so a
        block counts with the highest probability of the levels that contain it.
        ``home_level`` is the level that it is a home server of, 0 if none.
        """
        expected, deeper_level, max_probability = 0.0, 0, 0.0
        for level in reversed(tracked_levels(prompt.levels)):
            expected += (
                (deeper_level - level) * max_probability if deeper_level else 0.0
            )
            prefix = self._prefix_table.get(prompt.keys[level - 1])
            probability = HOME_CACHED_PROBABILITY if level == home_level else 0.0
            if prefix is not None:
                probability = max(
                    probability,
                    self._cached_probability(prefix, server, request_class, now),
                )
            max_probability, deeper_level = max(max_probability, probability), level
        return expected + deeper_level * max_probability

    def _cached_probability(
        self,
        prefix: TrackedPrefix,
        server: str,
        request_class: RequestClass,
        now: float,
    ) -> float:
        probability = self._prefix_table.cached_probability(prefix, server, now)
        if request_class is RequestClass.LONG and server in prefix.pending:
            return max(probability, PENDING_CACHED_PROBABILITY)
        return probability

    def _undo_use(
        self, prompt: Prompt, server: str, attempt: OpenAttempt | None
    ) -> None:
        """Undo the use recorded by ``record_sent`` for an attempt that did not run."""
        if attempt is None:
            return
        ages_s = dict(attempt.expected_levels)
        for level in tracked_levels(prompt.levels):
            prefix = self._prefix_table.get(prompt.keys[level - 1])
            if prefix is not None:
                previous_use_at = (
                    attempt.sent_at - ages_s[level] if level in ages_s else None
                )
                prefix.undo_use(server, attempt.sent_at, previous_use_at)

    def _remove_pending(self, prompt: Prompt, server: str) -> None:
        for level in tracked_levels(prompt.levels):
            prefix = self._prefix_table.get(prompt.keys[level - 1])
            if prefix is not None:
                prefix.remove_pending(server)

    def _prefill_s(self, prompt: Prompt, n_matched: float) -> float:
        """Return the predicted prefill time of a prompt with matched blocks."""
        tokens = max(0.0, prompt.tokens - n_matched * self.cfg.block_tokens)
        return tokens / self.cfg.prefill_tokens_per_s

    def _load(self, server: str) -> ServerLoad:
        load = self._loads.get(server)
        if load is None:
            load = self._loads[server] = ServerLoad()
            evict_oldest(self._loads, MAX_SERVERS)
        return load
