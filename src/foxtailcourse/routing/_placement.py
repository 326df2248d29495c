"""The placement policy of the entries."""

from collections import OrderedDict
from collections.abc import Sequence

from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing._levels import home_level, tracked_levels
from foxtailcourse.routing._open_attempts import (
    OpenAttempt,
    OpenAttempts,
    PromptId,
    prompt_id,
)
from foxtailcourse.routing._prefix_table import (
    MAX_SERVERS,
    Holders,
    Prefix,
    drop_oldest,
)
from foxtailcourse.routing._ring_cache import Fleet, Fleets
from foxtailcourse.routing._server_loads import LOST_S, REFUSED_S, ServerView
from foxtailcourse.routing._settings import PlacementSettings
from foxtailcourse.routing._types import Prompt, RankedServer, ServerReply

HOME_DRAWS, OTHER_DRAWS = 2, 5
MAX_WIDTH = 16
MAX_KNOWN_HOLDERS = 2
MAX_RANKED = 1_024
# The home is believed even before a reply confirms it, so that entries that know
# nothing of each other send a prefix to the same backend server.
HOME_BELIEF = 0.95
PENDING_BELIEF = 0.97


class PrefixPlacement:
    """Chooses by predicted wait plus weighted predicted recomputation.

    Parameters
    ----------
    cfg : PlacementSettings
        Weights and rates.
    """

    def __init__(self, cfg: PlacementSettings | None = None) -> None:
        self.cfg = cfg or PlacementSettings()
        self._fleets = Fleets()
        self._views: dict[str, ServerView] = {}
        self._holders = Holders(self.cfg.tracked_prefixes)
        self._open = OpenAttempts(self.cfg.tracked_attempts)
        self._classes: OrderedDict[PromptId, RequestClass] = OrderedDict()
        self._spread = 0

    def rank(
        self,
        prompt: Prompt,
        servers: Sequence[str],
        request_class: RequestClass,
        now: float,
    ) -> list[RankedServer]:
        """Return a few candidates among the servers in service, best first.

        The same tuple object should be passed until the fleet changes; then no call
        depends on the size of the fleet.
        """
        if not servers:
            return []
        self._note_class(prompt, request_class)
        fleet = self._fleets.find(prompt.model, servers)
        choices = [
            self._choice(prompt, each, home, request_class, now)
            for each, home in self._candidates(prompt, fleet, now).items()
        ]
        return sorted(choices, key=lambda choice: choice.cost_s)

    def record_sent(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Note that an attempt was sent."""
        request_class = self._classes.get(prompt_id(prompt), RequestClass.SHORT)
        matched = self._matched(prompt, backend_server, request_class, 0, now)
        work_s = self._prefill_s(prompt, matched)
        believed = []
        for level in tracked_levels(prompt.levels):
            prefix = self._holders.track(prompt.keys[level - 1])
            prefix.add_heat(now)
            age_s = self._holders.age_s(prefix, backend_server, now)
            if age_s is not None:
                believed.append((level, age_s))
            if request_class is RequestClass.SHORT:
                self._holders.used(prefix, backend_server, now)
            else:
                prefix.add_pending(backend_server)
        self._open.sent(
            prompt, backend_server, request_class, work_s, tuple(believed), now
        )

    def record_reply(self, prompt: Prompt, reply: ServerReply, now: float) -> None:
        """Note what a reply said."""
        server = reply.backend_server
        view = self._view(server)
        if view.take_reply(reply, now):
            self._holders.emptied(server, now)
        attempt = self._open.answered(prompt, server, reply.refused, now)
        short = attempt is None or attempt.request_class is RequestClass.SHORT
        if not short:
            self._no_longer_pending(prompt, server)
        if reply.refused:
            if short:
                view.avoid(now + REFUSED_S)
                self._take_back_use(prompt, server, attempt)
            return
        # A long request waits so long that its age when sent says nothing.
        if short and attempt is not None:
            for level, age_s in attempt.believed:
                self._holders.checked(server, age_s, level <= reply.matched_blocks)
        for level in tracked_levels(prompt.levels):
            prefix = self._holders.track(prompt.keys[level - 1])
            self._holders.used(prefix, server, now)

    def record_finished(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Note that an attempt ended, whole or broken."""
        if self._open.finished(prompt, backend_server):
            self._no_longer_pending(prompt, backend_server)

    def record_unreachable(self, backend_server: str, now: float) -> None:
        """Note that a backend server could not be reached."""
        self._view(backend_server).avoid(now + LOST_S)
        self._holders.emptied(backend_server, now)

    def _note_class(self, prompt: Prompt, request_class: RequestClass) -> None:
        """Keep the class for ``record_sent``; other calls may come in between."""
        name = prompt_id(prompt)
        self._classes[name] = request_class
        self._classes.move_to_end(name)
        if len(self._classes) > MAX_RANKED:
            self._classes.popitem(last=False)

    def _candidates(self, prompt: Prompt, fleet: Fleet, now: float) -> dict[str, int]:
        """Return the candidates, each with the level that it is the home of or 0."""
        if not prompt.levels:
            self._spread += 1
            key = self._spread.to_bytes(8, "big")
            return dict.fromkeys(fleet.draw(key, HOME_DRAWS + OTHER_DRAWS), 0)
        found: dict[str, int] = {}
        home = home_level(prompt.levels)
        width = self._width(prompt, home, now)
        others = [each for each in tracked_levels(prompt.levels) if each != home]
        for place, server in enumerate(
            fleet.draw(prompt.keys[home - 1], max(HOME_DRAWS, width))
        ):
            found[server] = home if place < width else 0
        count = max(1, OTHER_DRAWS // max(1, len(others)))
        for level in reversed(others):
            for server in fleet.draw(prompt.keys[level - 1], count):
                found.setdefault(server, 0)
        for server in self._known(prompt, fleet):
            found.setdefault(server, 0)
        return found

    def _width(self, prompt: Prompt, home: int, now: float) -> int:
        """Return on how many servers a prefix has its home, by its heat."""
        prefix = self._holders.get(prompt.keys[home - 1])
        if prefix is None:
            return 1
        wider = int(prefix.rate(now) / self.cfg.hot_requests_per_s)
        return min(MAX_WIDTH, 1 + wider)

    def _known(self, prompt: Prompt, fleet: Fleet) -> list[str]:
        for level in reversed(tracked_levels(prompt.levels)):
            prefix = self._holders.get(prompt.keys[level - 1])
            if prefix is not None and prefix.holders:
                recent = reversed(prefix.holders)
                known = [each for each in recent if each in fleet]
                return known[:MAX_KNOWN_HOLDERS]
        return []

    def _choice(
        self,
        prompt: Prompt,
        server: str,
        home: int,
        request_class: RequestClass,
        now: float,
    ) -> RankedServer:
        view = self._view(server)
        wait_s = view.penalty_s(now)
        if request_class is RequestClass.SHORT:
            weight = self.cfg.recompute_weight
            wait_s += view.short_wait_s(now) + self._open.short_work_s(server)
        else:
            weight = self.cfg.long_recompute_weight
            wait_s += self._open.long_wait_s(prompt.salt, server, now)
        matched = self._matched(prompt, server, request_class, home, now)
        cost_s = wait_s + weight * self._prefill_s(prompt, matched)
        return RankedServer(
            backend_server=server, matched_blocks=int(matched), cost_s=cost_s
        )

    def _matched(
        self,
        prompt: Prompt,
        server: str,
        request_class: RequestClass,
        home: int,
        now: float,
    ) -> float:
        """Return the expected number of matched blocks."""
        total, upper, deeper = 0.0, 0, 0.0
        for level in reversed(tracked_levels(prompt.levels)):
            total += (upper - level) * deeper if upper else 0.0
            prefix = self._holders.get(prompt.keys[level - 1])
            belief = HOME_BELIEF if level == home else 0.0
            if prefix is not None:
                belief = max(belief, self._belief(prefix, server, request_class, now))
            deeper, upper = max(deeper, belief), level
        return total + upper * deeper

    def _belief(
        self, prefix: Prefix, server: str, request_class: RequestClass, now: float
    ) -> float:
        belief = self._holders.probability(prefix, server, now)
        if request_class is RequestClass.LONG and server in prefix.pending:
            return max(belief, PENDING_BELIEF)
        return belief

    def _take_back_use(
        self, prompt: Prompt, server: str, attempt: OpenAttempt | None
    ) -> None:
        """Undo what ``record_sent`` noted for a short attempt that did not run."""
        if attempt is None:
            return
        ages = dict(attempt.believed)
        for level in tracked_levels(prompt.levels):
            prefix = self._holders.get(prompt.keys[level - 1])
            if prefix is not None:
                before = attempt.sent_at - ages[level] if level in ages else None
                prefix.take_back(server, attempt.sent_at, before)

    def _no_longer_pending(self, prompt: Prompt, server: str) -> None:
        for level in tracked_levels(prompt.levels):
            prefix = self._holders.get(prompt.keys[level - 1])
            if prefix is not None:
                prefix.drop_pending(server)

    def _prefill_s(self, prompt: Prompt, matched: float) -> float:
        tokens = max(0.0, prompt.tokens - matched * self.cfg.block_tokens)
        return tokens / self.cfg.prefill_tokens_per_s

    def _view(self, server: str) -> ServerView:
        view = self._views.get(server)
        if view is None:
            view = self._views[server] = ServerView()
            drop_oldest(self._views, MAX_SERVERS)
        return view
