"""Which backend server holds which parts of prompts, as far as is known."""

from collections.abc import Iterable, Sequence

import attrs

from foxtailcourse.platform import CacheEvents, PromptPart

# A part counts as held if this share of its tokens is.
COMPLETE_PART_FRACTION = 0.99
# An entry that no event confirmed is believed for this long.
EXPECTED_PART_TTL_S = 1.5


@attrs.define
class CacheIndex:
    """Parts that one cache holds, by salt and part.

    Events come late, so a part that was just sent counts as held before its event.
    """

    epoch: int | None = None
    position: int = 0
    reachable: bool = False
    feed_lost: bool = False
    _cached_tokens: dict[tuple[str, str], int] = attrs.field(factory=dict)
    _expected: dict[tuple[str, str], tuple[int, float]] = attrs.field(factory=dict)

    def apply(self, batch: CacheEvents) -> None:
        """Take events of the cache itself; a restart or a gap empties the index."""
        if batch.epoch != self.epoch or batch.events_lost:
            self._cached_tokens.clear()
            if batch.epoch != self.epoch:
                self._expected.clear()
        self.epoch, self.position = batch.epoch, batch.next_position
        self.reachable = True
        self._record((each.salt, each.part, each.tokens) for each in batch.events)

    def apply_published(self, epoch: int, rows: Iterable[tuple[str, str, int]]) -> None:
        """Apply events that another entry published; some of them are lost."""
        if epoch != self.epoch:
            self._cached_tokens.clear()
        self.epoch, self.reachable = epoch, True
        self._record(rows)

    def _record(self, rows: Iterable[tuple[str, str, int]]) -> None:
        for salt, part, tokens in rows:
            if tokens > 0:
                self._cached_tokens[salt, part] = tokens
            else:
                self._cached_tokens.pop((salt, part), None)

    def clear(self) -> None:
        """Forget everything, as the cache may have changed unseen."""
        self._cached_tokens.clear()
        self.epoch, self.position = None, 0
        self.reachable = False

    def add_expected(self, salt: str, parts: Sequence[PromptPart], now: float) -> None:
        """Note that a request is about to make the cache hold its parts."""
        for part in parts:
            self._expected[salt, part.id] = (part.tokens, now + EXPECTED_PART_TTL_S)
        if len(self._expected) > 4096:
            self._expected = {k: v for k, v in self._expected.items() if v[1] > now}

    def confirmed_prefix_tokens(self, salt: str, parts: Sequence[PromptPart]) -> int:
        """Return how many tokens from the start of a prompt events have confirmed."""
        return self.cached_prefix_tokens(salt, parts, float("inf"))

    def cached_prefix_tokens(
        self, salt: str, parts: Sequence[PromptPart], now: float
    ) -> int:
        """Return how many tokens from the start of a prompt are held or expected."""
        total = 0
        for part in parts:
            key = (salt, part.id)
            cached = self._cached_tokens.get(key, 0)
            expected, until = self._expected.get(key, (0, 0.0))
            if until > now:
                cached = max(cached, expected)
            cached = min(cached, part.tokens)
            total += cached
            if cached < part.tokens * COMPLETE_PART_FRACTION:
                break
        return total
