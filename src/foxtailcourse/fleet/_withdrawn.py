"""Runs of backend servers that get no new requests."""

import attrs

# A withdrawn run is forgotten after this time without news. It is longer than a server
# serves after its registration is gone.
RETENTION_S = 120.0


@attrs.frozen
class ServerRun:
    """One run of a backend server, from its start to its end.

    Parameters
    ----------
    server_id : str
        Identifier of the server; a restarted server may have the same one.
    started_ms : int
        Wall-clock start time in milliseconds, which tells the runs apart.
    """

    server_id: str
    started_ms: int


@attrs.define
class _Withdrawal:
    """Why a run is withdrawn.

    Parameters
    ----------
    era : int
        Era of the store in which the registration showed it.
    announced : bool
        Whether the server itself said that it leaves; that holds until it ends.
    noted_at : float
        Time of the latest news, in seconds since boot.
    """

    era: int
    announced: bool
    noted_at: float


@attrs.define
class WithdrawnRuns:
    """Runs that leave or have left, by their registrations or their own statement.

    A store that is restored from an older copy shows registrations from before a server
    left. A run stays withdrawn until the server itself registers it as ready again.
    """

    _runs: dict[ServerRun, _Withdrawal] = attrs.field(factory=dict)

    def __contains__(self, run: ServerRun) -> bool:
        return run in self._runs

    def announce(self, run: ServerRun, now: float) -> bool:
        """Record that a server says that it leaves; return whether that is new."""
        known = self._runs.get(run)
        if known is not None and known.announced:
            known.noted_at = now
            return False
        self._runs[run] = _Withdrawal(
            era=known.era if known else 0, announced=True, noted_at=now
        )
        return True

    def withdraw(self, run: ServerRun, era: int, now: float) -> None:
        """Record that a registration is removed or says that the server leaves."""
        known = self._runs.get(run)
        announced = known is not None and known.announced
        self._runs[run] = _Withdrawal(era=era, announced=announced, noted_at=now)

    def reinstate(self, run: ServerRun, era: int, now: float, *, is_copy: bool) -> bool:
        """Apply a registration as ready; return whether the run gets requests again.

        Parameters
        ----------
        run : ServerRun
            The registered run.
        era : int
            Era of the store that shows the registration.
        now : float
            Present time in seconds since boot.
        is_copy : bool
            Whether the registration may come from the copy that the store was restored
            from, so that the server has not necessarily written it in this era.
        """
        known = self._runs.get(run)
        if known is None:
            return True
        known.noted_at = now
        if known.announced or (is_copy and known.era < era):
            return False
        del self._runs[run]
        return True

    def expire(self, registered: set[ServerRun], now: float) -> None:
        """Forget runs that are no longer registered and had no news for a while."""
        self._runs = {
            run: withdrawal
            for run, withdrawal in self._runs.items()
            if run in registered or now - withdrawal.noted_at < RETENTION_S
        }
