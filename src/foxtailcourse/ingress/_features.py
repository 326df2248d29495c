"""Which features the contracts of a deployment enable."""

from collections.abc import Iterable
from typing import Self

import attrs

from foxtailcourse.platform import PRESSURE_CONTRACT


@attrs.frozen(kw_only=True)
class Features:
    """Features that are off unless a contract enables them.

    Quotas and fair shares also depend on the accounts of the configuration.

    Parameters
    ----------
    fair_shares : bool
        Whether accounts without a quota get fair shares under pressure, too.
    server_memory : bool
        Whether the held tokens of backend servers are exchanged and limited.
    held_responses : bool
        Whether this entry buffers responses for callers that read slowly.
    """

    fair_shares: bool = False
    server_memory: bool = False
    held_responses: bool = False

    @classmethod
    def from_contracts(cls, contracts: Iterable[str]) -> Self:
        """Return the features that contracts enable; unknown names are ignored."""
        has_pressure = PRESSURE_CONTRACT in contracts
        return cls(
            fair_shares=has_pressure,
            server_memory=has_pressure,
            held_responses=has_pressure,
        )
