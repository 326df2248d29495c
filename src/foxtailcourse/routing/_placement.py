"""The placement policy of the entries."""

from collections import OrderedDict
from collections.abc import Sequence

from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing._holders import Holders
from foxtailcourse.routing._open import OpenAttempts
from foxtailcourse.routing._ring import HashRing
from foxtailcourse.routing._settings import PlacementSettings
from foxtailcourse.routing._types import Choice, Prompt, ServerReply
from foxtailcourse.routing._views import LOST_S, REFUSED_S, ServerView

LEVEL_DRAWS = (1, 2, 2, 2)
MAX_KNOWN_HOLDERS = 2
MAX_MODELS = 64
HOME_PRIOR = 0.3


class PrefixPlacement:
    """Chooses by predicted wait plus weighted predicted recomputation.

    Parameters
    ----------
    cfg : PlacementSettings
        Weights and rates.
    """

    def __init__(self, cfg: PlacementSettings | None = None) -> None:
        self.cfg = cfg or PlacementSettings()
        self._rings: OrderedDict[str, tuple[Sequence[str], HashRing]] = OrderedDict()
        self._views: dict[str, ServerView] = {}
        self._holders = Holders(self.cfg.tracked_prefixes)
        self._open = OpenAttempts(self.cfg.tracked_attempts)
        self._ranked: tuple[Prompt | None, RequestClass] = (None, RequestClass.SHORT)
        self._spread = 0

    def rank(
        self,
        prompt: Prompt,
        servers: Sequence[str],
        request_class: RequestClass,
        now: float,
    ) -> list[Choice]:
        """Return a few candidates among the servers in service, best first.

        The same tuple object should be passed until the fleet changes; then no call
        depends on the size of the fleet.
        """
        if not servers:
            return []
        self._ranked = (prompt, request_class)
        ring = self._ring(prompt.model, servers)
        choices = [
            self._choice(prompt, each, homes, request_class, now)
            for each, homes in self._candidates(prompt, ring).items()
        ]
        return sorted(choices, key=lambda choice: choice.cost_s)

    def sent(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Note that an attempt was sent."""
        ranked, request_class = self._ranked
        if ranked is not prompt:
            request_class = RequestClass.SHORT
        matched = self._matched(prompt, backend_server, (), now)
        work_s = self._prefill_s(prompt, matched)
        prefixes = [self._holders.track(prompt.keys[n - 1]) for n in prompt.levels]
        ages = [self._holders.age_s(each, backend_server, now) for each in prefixes]
        believed = tuple(
            (level, age_s)
            for level, age_s in zip(prompt.levels, ages, strict=True)
            if age_s is not None
        )
        self._open.sent(prompt, backend_server, request_class, work_s, believed, now)
        for prefix in prefixes:
            prefix.add_heat(now)
            if request_class is RequestClass.SHORT:
                self._holders.used(prefix, backend_server, now)

    def replied(self, prompt: Prompt, reply: ServerReply, now: float) -> None:
        """Note what a reply said."""
        server = reply.backend_server
        view = self._view(server)
        if view.take_reply(reply, now):
            self._holders.emptied(server, now)
        attempt = self._open.answered(prompt, server, reply.refused, now)
        if reply.refused:
            if attempt is None or attempt.request_class is RequestClass.SHORT:
                view.avoid(now + REFUSED_S)
            return
        # A long request waits so long that its age when sent says nothing.
        if attempt is not None and attempt.request_class is RequestClass.SHORT:
            for level, age_s in attempt.believed:
                self._holders.checked(server, age_s, level <= reply.matched_blocks)
        for level in prompt.levels:
            prefix = self._holders.track(prompt.keys[level - 1])
            self._holders.used(prefix, server, now)

    def finished(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Note that an attempt ended, whole or broken."""
        self._open.finished(prompt, backend_server)

    def lost(self, backend_server: str, now: float) -> None:
        """Note that a backend server could not be reached."""
        self._view(backend_server).avoid(now + LOST_S)
        self._holders.emptied(backend_server, now)

    def _ring(self, model: str, servers: Sequence[str]) -> HashRing:
        held = self._rings.get(model)
        if held is not None and (held[0] is servers or held[0] == tuple(servers)):
            return held[1]
        fleet = tuple(servers)
        self._rings[model] = (fleet, HashRing(fleet))
        if len(self._rings) > MAX_MODELS:
            self._rings.popitem(last=False)
        return self._rings[model][1]

    def _candidates(self, prompt: Prompt, ring: HashRing) -> dict[str, list[int]]:
        """Return the candidates, each with the levels whose first draw it is."""
        found: dict[str, list[int]] = {}
        if not prompt.levels:
            self._spread += 1
            key = self._spread.to_bytes(8, "big")
            return {each: [] for each in ring.draw(key, sum(LEVEL_DRAWS))}
        levels = prompt.levels[-len(LEVEL_DRAWS) :]
        for level, count in zip(reversed(levels), LEVEL_DRAWS, strict=False):
            draws = ring.draw(prompt.keys[level - 1], count)
            for place, server in enumerate(draws):
                homes = found.setdefault(server, [])
                if place == 0:
                    homes.append(level)
        for server in self._known(prompt, ring):
            found.setdefault(server, [])
        return found

    def _known(self, prompt: Prompt, ring: HashRing) -> list[str]:
        for level in reversed(prompt.levels):
            prefix = self._holders.get(prompt.keys[level - 1])
            if prefix is not None and prefix.holders:
                recent = reversed(prefix.holders)
                known = [each for each in recent if each in ring]
                return known[:MAX_KNOWN_HOLDERS]
        return []

    def _choice(
        self,
        prompt: Prompt,
        server: str,
        homes: Sequence[int],
        request_class: RequestClass,
        now: float,
    ) -> Choice:
        view = self._view(server)
        wait_s = view.penalty_s(now)
        if request_class is RequestClass.SHORT:
            weight = self.cfg.recompute_weight
            wait_s += view.short_wait_s(now) + self._open.short_work_s(server)
        else:
            weight = self.cfg.long_recompute_weight
            wait_s += self._open.long_wait_s(prompt.salt, server, now)
        matched = self._matched(prompt, server, homes, now)
        cost_s = wait_s + weight * self._prefill_s(prompt, matched)
        return Choice(backend_server=server, matched_blocks=int(matched), cost_s=cost_s)

    def _matched(
        self, prompt: Prompt, server: str, homes: Sequence[int], now: float
    ) -> float:
        """Return the expected number of matched blocks."""
        total, upper, deeper = 0.0, len(prompt.keys), 0.0
        for level in reversed((0, *prompt.levels)):
            total += (upper - level) * deeper
            if level == 0:
                break
            prefix = self._holders.get(prompt.keys[level - 1])
            belief = None
            if prefix is not None:
                belief = self._holders.probability(prefix, server, now)
            if belief is None:
                # The last level is mostly a question that nobody asked before.
                unseen = prefix is None and level == prompt.levels[-1]
                belief = HOME_PRIOR if level in homes and not unseen else 0.0
            deeper, upper = max(deeper, belief), level
        return total

    def _prefill_s(self, prompt: Prompt, matched: float) -> float:
        tokens = max(0.0, prompt.tokens - matched * self.cfg.block_tokens)
        return tokens / self.cfg.prefill_tokens_per_s

    def _view(self, server: str) -> ServerView:
        view = self._views.get(server)
        if view is None:
            view = self._views[server] = ServerView()
        return view
