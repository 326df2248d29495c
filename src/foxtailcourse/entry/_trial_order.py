"""Order in which entries try requests again that were blocked."""

import hashlib
from collections.abc import Set

from foxtailcourse.crashes import Parts


def trial_rank(request: Parts, vm: str, entries: Set[str]) -> int:
    """Return how many entries come before one for a request.

    Entries that are not listed yet come last, one after the other, as those that are
    listed do not count them.
    """
    key = "+".join(sorted(request))

    def order(entry: str) -> bytes:
        return hashlib.blake2b(f"{key}/{entry}".encode(), digest_size=8).digest()

    rank = sum(order(each) < order(vm) for each in entries)
    return rank if vm in entries else len(entries) + rank
