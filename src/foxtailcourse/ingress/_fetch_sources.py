"""Where cached parts of a prompt are fetched from, and whether it is saved.

A fetch from another server or the KV-cache store is weighed against the prefill of the
same tokens, by the transfer rates that the configuration states.
"""

from collections.abc import Mapping, Sequence

import attrs

from foxtailcourse.ingress._cache_index import COMPLETE_PART_FRACTION
from foxtailcourse.ingress._placement_types import CacheStore, Candidate, Prompt
from foxtailcourse.settings import Address

# Least cost of fetching a token from another server or the KV-cache store, relative to
# its prefill.
PEER_FETCH_COST_RATIO = 0.2
STORE_FETCH_COST_RATIO = 0.5
# Multiple of the transfer time between failure domains, set by the platform.
CROSS_DOMAIN_TRANSFER_RATIO = 2.0
# Cost of fetching a token from another failure domain, relative to its prefill by a
# typical server, where servers have unequal speeds: such deployments pay for the bytes.
CROSS_DOMAIN_COST_RATIO = 0.2
# Fewest uncached tokens that are worth a fetch.
MIN_FETCH_TOKENS = 500


@attrs.frozen(kw_only=True)
class FetchSources:
    """Where the shared parts of a prompt can be fetched from.

    Only parts that cache events confirmed count, since the prefill of the others may
    not have finished. The store is used as the source even if it is not known to have
    any part cached: a miss is cheap, and its events arrive late.

    Parameters
    ----------
    holders : mapping
        By salt and failure domain: number of tokens that a server has cached from the
        start of the prompt, and the candidate, for the two servers that have most.
    prompt : Prompt
        The prompt.
    store : CacheStore or None
        The KV-cache store, if it is reachable.
    """

    holders: Mapping[tuple[str, str], Sequence[tuple[int, Candidate]]]
    prompt: Prompt
    store: CacheStore | None

    @classmethod
    def find(
        cls,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
    ) -> "FetchSources":
        """Return the sources among the candidates."""
        holders: dict[tuple[str, str], list[tuple[int, Candidate]]] = {}
        for each in candidates:
            tokens = each.cache_index.confirmed_prefix_tokens(each.salt, prompt.parts)
            if tokens >= MIN_FETCH_TOKENS:
                group = holders.setdefault((each.salt, each.server.failure_domain), [])
                group.append((tokens, each))
        for group in holders.values():
            # One more than is fetched from, in case the best one is the receiver.
            group.sort(key=lambda holder: -holder[0])
            del group[2:]
        return cls(holders=holders, prompt=prompt, store=store)

    def best_for(
        self, candidate: Candidate, own_tokens: int
    ) -> tuple[float, Address | None]:
        """Return the best source from which a server can fetch cached parts.

        Parameters
        ----------
        candidate : Candidate
            The server that fetches.
        own_tokens : int
            Tokens from the start of the prompt that the server has cached.

        Returns
        -------
        gain_tokens : float
            Prompt tokens that the fetch saves from prefill, less its cost.
        source : Address or None
            The source; None if there is nothing to fetch.
        """
        if self.prompt.shared_tokens - own_tokens < MIN_FETCH_TOKENS:
            return 0.0, None
        best_gain_tokens, source = 0.0, None
        if self.store is not None:
            source = self.store.address
            cached_tokens = self.store.cache_index.confirmed_prefix_tokens(
                candidate.salt, self.prompt.parts
            )
            ratio = _fetch_cost_ratio(candidate, "", STORE_FETCH_COST_RATIO)
            best_gain_tokens = max(0.0, (1 - ratio) * (cached_tokens - own_tokens))
        for (salt, domain), group in self.holders.items():
            if salt != candidate.salt:
                continue
            ratio = _fetch_cost_ratio(candidate, domain, PEER_FETCH_COST_RATIO)
            for cached_tokens, holder in group:
                if holder is candidate:
                    continue
                gain_tokens = (1 - ratio) * (cached_tokens - own_tokens)
                if (
                    cached_tokens - own_tokens >= MIN_FETCH_TOKENS
                    and gain_tokens > best_gain_tokens
                ):
                    best_gain_tokens, source = gain_tokens, holder.server.address
        return best_gain_tokens, source


def _fetch_cost_ratio(candidate: Candidate, domain: str, least: float) -> float:
    """Return the cost of fetching a token relative to its prefill, at most 1."""
    distance = CROSS_DOMAIN_TRANSFER_RATIO
    if domain == candidate.server.failure_domain:
        distance = 1.0
    transfer_ratio = distance * candidate.transfer_token_s * candidate.tokens_per_s
    cost_ratio = max(least, transfer_ratio)
    if candidate.has_speed and domain and domain != candidate.server.failure_domain:
        cost_ratio += CROSS_DOMAIN_COST_RATIO * candidate.speed
    return min(1.0, cost_ratio)


def should_save(store: CacheStore, salt: str, prompt: Prompt) -> bool:
    """Whether a server should copy a prompt to the KV-cache store.

    A copy contains the whole prompt, and the parts that no other prompt shares displace
    others. So only a prompt whose shared parts the store lacks is copied.
    """
    shared = prompt.parts[:-1]
    if not prompt.is_long or not shared:
        return False
    stored_tokens = store.cache_index.confirmed_prefix_tokens(salt, shared)
    return stored_tokens < COMPLETE_PART_FRACTION * prompt.shared_tokens
