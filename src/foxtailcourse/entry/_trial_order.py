"""Order in which entries try requests again that were blocked."""

import hashlib
from collections.abc import Set

from foxtailcourse.crashes import Parts


def trial_rank(request: Parts, vm: str, entries: Set[str]) -> int:
    """Return how many entries come before one for a request.

    An entry that is not listed yet comes last, as the others do not count it.
    """
    if vm not in entries:
        return len(entries)
    key = "+".join(sorted(request))

    def order(entry: str) -> bytes:
        return hashlib.blake2b(f"{key}/{entry}".encode(), digest_size=8).digest()

    return sum(order(each) < order(vm) for each in entries)
