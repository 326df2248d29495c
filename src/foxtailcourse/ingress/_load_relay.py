"""Sums of loads that a relay passes on between the entries of its failure domain."""

from collections.abc import Iterable

import attrs

from foxtailcourse.ingress._server_loads import REMOTE_VALID_S

# Server, prompt tokens to prefill, requests in flight, short prompts among them, and
# held tokens.
LoadRow = tuple[str, int, int, int, int]
Load = tuple[int, int, int, int]
IDLE: Load = (0, 0, 0, 0)
# A change of a server's load by this many prompt tokens is passed on at once.
URGENT_CHANGE_TOKENS = 1_500
# So is a rise of its held tokens by this many; a late fall only makes it take less.
URGENT_HELD_TOKENS = 4_000


@attrs.define
class _Source:
    """Loads that one entry sent, by server, with the time when each row arrived."""

    rows: dict[str, tuple[Load, float]] = attrs.field(factory=dict)
    heard_at: float = float("-inf")

    def update(self, rows: Iterable[LoadRow], now: float) -> bool:
        """Add rows; return whether the tokens to prefill at a server changed much."""
        self.heard_at = now
        is_urgent = False
        for server_id, *load in rows:
            previous, _ = self.rows.get(server_id, (IDLE, now))
            present: Load = (load[0], load[1], load[2], load[3])
            is_urgent |= is_urgent_change(previous, present)
            self.rows[server_id] = (present, now)
        return is_urgent

    def expire(self, now: float) -> None:
        """Remove rows that were not sent again in time."""
        self.rows = {k: v for k, v in self.rows.items() if now - v[1] < REMOTE_VALID_S}


@attrs.define
class LoadRelay:
    """Loads of the members of one relay, and sums from the other relays.

    Each destination gets the rows that changed since the last message to it.
    """

    _members: dict[str, _Source] = attrs.field(factory=dict)
    _relays: dict[str, _Source] = attrs.field(factory=dict)
    # By destination: the last load sent of each server.
    _sent: dict[str, dict[str, Load]] = attrs.field(factory=dict)

    def update_member(self, vm: str, rows: Iterable[LoadRow], now: float) -> bool:
        """Add rows of a member; return whether a load changed much."""
        return self._members.setdefault(vm, _Source()).update(rows, now)

    def update_relay(self, vm: str, rows: Iterable[LoadRow], now: float) -> bool:
        """Add rows of another relay, which are the sums over its members.

        Returns whether a load changed much.
        """
        return self._relays.setdefault(vm, _Source()).update(rows, now)

    def members(self) -> list[str]:
        """Return the members that sent loads recently."""
        return list(self._members)

    def expire(self, now: float) -> None:
        """Forget rows, members and relays that were not heard from in time."""
        for sources in (self._members, self._relays):
            for vm, source in list(sources.items()):
                source.expire(now)
                if now - source.heard_at >= REMOTE_VALID_S:
                    del sources[vm]
                    self._sent.pop(vm, None)

    def domain_loads(self) -> dict[str, Load]:
        """Return the sums over the members, by server."""
        return _sum(self._members.values())

    def fleet_loads(self) -> dict[str, Load]:
        """Return the sums over the fleet, by server."""
        return _sum([*self._members.values(), *self._relays.values()])

    def loads_for(self, vm: str, fleet_loads: dict[str, Load]) -> dict[str, Load]:
        """Return the sums over the fleet without one member, by server.

        ``fleet_loads`` is the present result of ``fleet_loads()``, which is the same
        for all members.
        """
        loads = dict(fleet_loads)
        member = self._members.get(vm)
        for server_id, (load, _) in member.rows.items() if member else ():
            total = loads.get(server_id, IDLE)
            rest = (
                total[0] - load[0],
                total[1] - load[1],
                total[2] - load[2],
                total[3] - load[3],
            )
            if rest != IDLE:
                loads[server_id] = rest
            else:
                loads.pop(server_id, None)
        return loads

    def changed_rows(
        self, destination: str, loads: dict[str, Load], *, everything: bool
    ) -> list[LoadRow]:
        """Return the rows to send to a destination, and count them as sent.

        A server that became idle has a row of zeros.

        Parameters
        ----------
        destination : str
            Name of the receiving entry or group.
        loads : dict of str to tuple
            Present loads by server.
        everything : bool
            Whether to send all rows, for receivers that lost a message.
        """
        sent = self._sent.get(destination, {})
        idle = dict.fromkeys(sent.keys() - loads.keys(), IDLE)
        rows = [
            (server_id, *load)
            for server_id, load in (loads | idle).items()
            if everything or sent.get(server_id, IDLE) != load
        ]
        self._sent[destination] = dict(loads)
        return rows


def is_urgent_change(previous: Load, present: Load) -> bool:
    """Whether a change of a server's load is passed on at once."""
    return (
        abs(present[0] - previous[0]) >= URGENT_CHANGE_TOKENS
        or present[3] - previous[3] >= URGENT_HELD_TOKENS
    )


def _sum(sources: Iterable[_Source]) -> dict[str, Load]:
    totals: dict[str, Load] = {}
    for source in sources:
        for server_id, (load, _) in source.rows.items():
            if load != IDLE:
                total = totals.get(server_id, IDLE)
                totals[server_id] = (
                    total[0] + load[0],
                    total[1] + load[1],
                    total[2] + load[2],
                    total[3] + load[3],
                )
    return totals
