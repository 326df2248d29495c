"""Which backend servers may get an attempt now."""

import attrs

from foxtailcourse.config import ConfigView, Vm
from foxtailcourse.protocol import Reply

FIRST_SKIP_S = 0.25
LONGEST_SKIP_S = 5.0
LEAVING_HOLD_S = 10.0


@attrs.define
class _Noted:
    failures: int = 0
    skip_until: float = 0.0
    leaving_until: float = 0.0
    weights_version: str = ""


class ServerDirectory:
    """The servers of the configuration, less those known to be of no use now.

    An agent that can't be reached is skipped for a short time that doubles with each
    failure. An agent that says it is leaving gets nothing for LEAVING_HOLD_S; after
    that one attempt finds out whether it still is.
    """

    def __init__(self) -> None:
        self._noted: dict[str, _Noted] = {}
        self._view: ConfigView | None = None
        self._fleets: dict[str, tuple[str, ...]] = {}

    def usable(self, view: ConfigView, serves: str, now: float) -> tuple[str, ...]:
        """Return the VMs of a model or route that may get an attempt.

        If all are skipped as unreachable, all are returned: a try that fails costs
        less than a refusal of a request that could have been served.
        """
        if view is not self._view:
            self._renew(view)
        if serves not in self._fleets:
            servers = view.backend_servers(serves)
            self._fleets[serves] = tuple(sorted(each.vm for each in servers))
        fleet = self._fleets[serves]
        noted = [(each, self._noted.get(each)) for each in fleet]
        if not any(each for _, each in noted):
            return fleet
        staying = [n for n, each in noted if not each or each.leaving_until <= now]
        reachable = [
            each for each in staying if not self._skipped(self._noted.get(each), now)
        ]
        chosen = tuple(reachable or staying)
        return fleet if chosen == fleet else chosen

    def version(self, vm: str, default: str) -> str:
        """Return the weights version a server last said it serves."""
        noted = self._noted.get(vm)
        return noted.weights_version if noted and noted.weights_version else default

    def unreachable(self, vm: str, now: float) -> None:
        """Note that a server did not take a connection or did not answer."""
        noted = self._noted.setdefault(vm, _Noted())
        skip_s = min(LONGEST_SKIP_S, FIRST_SKIP_S * 2**noted.failures)
        noted.failures = min(noted.failures + 1, 16)
        noted.skip_until = now + skip_s

    def replied(self, reply: Reply, now: float) -> None:
        """Note what an agent said about itself."""
        noted = self._noted.setdefault(reply.backend_server, _Noted())
        noted.failures, noted.skip_until = 0, 0.0
        noted.leaving_until = now + LEAVING_HOLD_S if reply.load.leaving else 0.0
        noted.weights_version = reply.weights_version or noted.weights_version

    def find(self, view: ConfigView, vm: str) -> Vm | None:
        """Return a listed VM, whether it is leaving or not."""
        return view.vms.get(vm)

    def _skipped(self, noted: _Noted | None, now: float) -> bool:
        return noted is not None and noted.skip_until > now

    def _renew(self, view: ConfigView) -> None:
        self._view = view
        self._fleets = {}
        for vm in self._noted.keys() - view.vms.keys():
            del self._noted[vm]
