"""The placement policy of the entries."""

from collections import OrderedDict
from collections.abc import Sequence

from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing._ring import HashRing
from foxtailcourse.routing._settings import PlacementSettings
from foxtailcourse.routing._types import Choice, Prompt, ServerReply
from foxtailcourse.routing._views import ServerView

LEVEL_DRAWS = (3, 2, 2)
MAX_MODELS = 64


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
        self._holders: OrderedDict[bytes, dict[str, str]] = OrderedDict()
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
        ring = self._ring(prompt.model, servers)
        choices = [self._choice(prompt, each, now) for each in self._draw(prompt, ring)]
        return sorted(choices, key=lambda choice: choice.cost_s)

    def sent(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Note that an attempt was sent."""
        self._view(backend_server).own_s += self._service_s(prompt, backend_server)

    def replied(self, prompt: Prompt, reply: ServerReply, now: float) -> None:
        """Note what a reply said."""
        view = self._view(reply.backend_server)
        if view.take_reply(reply, now):
            self._forget(reply.backend_server)
        view.own_s = 0.0
        held = reply.matched_blocks if reply.refused else len(prompt.keys)
        for level in prompt.levels:
            self._note(prompt.keys[level - 1], reply, level <= held)

    def finished(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Note that an attempt ended, whole or broken."""

    def lost(self, backend_server: str, now: float) -> None:
        """Note that a backend server could not be reached."""
        view = self._view(backend_server)
        view.own_s = 0.0
        view.lost_until = now + 2.0
        self._forget(backend_server)

    def _ring(self, model: str, servers: Sequence[str]) -> HashRing:
        held = self._rings.get(model)
        if held is not None and (held[0] is servers or held[0] == tuple(servers)):
            self._rings.move_to_end(model)
            return held[1]
        fleet = tuple(servers)
        self._rings[model] = (fleet, HashRing(fleet))
        while len(self._rings) > MAX_MODELS:
            self._rings.popitem(last=False)
        return self._rings[model][1]

    def _draw(self, prompt: Prompt, ring: HashRing) -> list[str]:
        if not prompt.levels:
            self._spread += 1
            key = self._spread.to_bytes(8, "big")
            return list(ring.draw(key, sum(LEVEL_DRAWS)))
        found: dict[str, None] = {}
        levels = reversed(prompt.levels[-len(LEVEL_DRAWS) :])
        for level, count in zip(levels, LEVEL_DRAWS, strict=False):
            found.update(dict.fromkeys(ring.draw(prompt.keys[level - 1], count)))
        return list(found)

    def _choice(self, prompt: Prompt, server: str, now: float) -> Choice:
        matched = self._matched(prompt, server)
        wait_s = self._view(server).wait_s(now)
        cost_s = wait_s + self.cfg.recompute_weight * self._prefill_s(prompt, matched)
        return Choice(backend_server=server, matched_blocks=matched, cost_s=cost_s)

    def _matched(self, prompt: Prompt, server: str) -> int:
        incarnation = self._view(server).incarnation
        for level in reversed(prompt.levels):
            holders = self._holders.get(prompt.keys[level - 1])
            if holders is not None and holders.get(server) == incarnation:
                return level
        return 0

    def _prefill_s(self, prompt: Prompt, matched: int) -> float:
        tokens = max(0, prompt.tokens - matched * self.cfg.block_tokens)
        return tokens / self.cfg.prefill_tokens_per_s

    def _service_s(self, prompt: Prompt, server: str) -> float:
        return self._prefill_s(prompt, self._matched(prompt, server))

    def _view(self, server: str) -> ServerView:
        return self._views.setdefault(server, ServerView())

    def _note(self, key: bytes, reply: ServerReply, held: bool) -> None:
        holders = self._holders.setdefault(key, {})
        self._holders.move_to_end(key)
        if held:
            holders[reply.backend_server] = reply.engine_incarnation
        else:
            holders.pop(reply.backend_server, None)
        while len(self._holders) > self.cfg.tracked_prefixes:
            self._holders.popitem(last=False)

    def _forget(self, server: str) -> None:
        for holders in self._holders.values():
            holders.pop(server, None)
