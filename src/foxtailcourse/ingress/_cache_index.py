"""Index of the prompt parts in one KV cache."""

from collections.abc import Iterable, Sequence

import attrs

from foxtailcourse.platform import CacheEvents, PromptPart

# A part counts as cached if at least this fraction of its tokens is.
COMPLETE_PART_FRACTION = 0.99
# An expected part counts as cached for this long without a confirming event.
EXPECTED_PART_TTL_S = 1.5


@attrs.define
class CacheIndex:
    """Last known contents of one KV cache.

    Cache events arrive late, so the parts of a prompt that was just sent are expected
    and count as cached until their events arrive.

    Parameters
    ----------
    epoch : int or None
        Epoch of the cache, which changes when it is emptied; None if unknown.
    position : int
        Position in the stream of events from which to poll.
    reachable : bool
        Whether the events of the cache are reachable.
    feed_lost : bool
        Whether the loss of the events was logged.
    """

    epoch: int | None = None
    position: int = 0
    reachable: bool = False
    feed_lost: bool = False
    # Number of cached tokens by salt and part.
    _cached_tokens: dict[tuple[str, str], int] = attrs.field(factory=dict)
    # By salt and part: number of tokens, and when the expectation expires.
    _expected: dict[tuple[str, str], tuple[int, float]] = attrs.field(factory=dict)

    def apply(self, batch: CacheEvents) -> None:
        """Apply events of the cache; clear the index after a restart or a gap."""
        if batch.epoch != self.epoch or batch.events_lost:
            self._cached_tokens.clear()
            if batch.epoch != self.epoch:
                self._expected.clear()
        self.epoch, self.position = batch.epoch, batch.next_position
        self.reachable = True
        self._record((each.salt, each.part, each.tokens) for each in batch.events)

    def apply_published(self, epoch: int, rows: Iterable[tuple[str, str, int]]) -> None:
        """Apply events that another entry published; some may have been lost."""
        if epoch != self.epoch:
            self._cached_tokens.clear()
        self.epoch, self.reachable = epoch, True
        self._record(rows)

    def _record(self, rows: Iterable[tuple[str, str, int]]) -> None:
        """Record salt, part and number of its tokens that are now cached."""
        for salt, part, tokens in rows:
            if tokens > 0:
                self._cached_tokens[salt, part] = tokens
            else:
                self._cached_tokens.pop((salt, part), None)

    def cached_tokens(self, salt: str, part: str) -> int:
        """Return how many tokens of a part events show as cached."""
        return self._cached_tokens.get((salt, part), 0)

    def large_rows(self, min_tokens: int) -> list[tuple[str, str, int]]:
        """Return salt, part and cached tokens of the parts with at least so many."""
        return [
            (salt, part, tokens)
            for (salt, part), tokens in self._cached_tokens.items()
            if tokens >= min_tokens
        ]

    def clear(self) -> None:
        """Clear the index, since changes of the cache may have been missed."""
        self._cached_tokens.clear()
        self.epoch, self.position = None, 0
        self.reachable = False

    def add_expected(self, salt: str, parts: Sequence[PromptPart], now: float) -> None:
        """Record that a request that is sent at ``now`` will have its parts cached."""
        for part in parts:
            self._expected[salt, part.id] = (part.tokens, now + EXPECTED_PART_TTL_S)
        # Expired parts are removed once there are many of them.
        if len(self._expected) > 4096:
            self._expected = {k: v for k, v in self._expected.items() if v[1] > now}

    def confirmed_prefix_tokens(self, salt: str, parts: Sequence[PromptPart]) -> int:
        """Return how many tokens at the start of a prompt events confirm as cached."""
        return self.cached_prefix_tokens(salt, parts, float("inf"))

    def cached_prefix_tokens(
        self, salt: str, parts: Sequence[PromptPart], now: float
    ) -> int:
        """Return how many tokens at the start of a prompt are cached or expected."""
        total = 0
        for part in parts:
            key = (salt, part.id)
            cached = self._cached_tokens.get(key, 0)
            expected, expires_at = self._expected.get(key, (0, 0.0))
            if expires_at > now:
                cached = max(cached, expected)
            cached = min(cached, part.tokens)
            total += cached
            if cached < part.tokens * COMPLETE_PART_FRACTION:
                break
        return total
