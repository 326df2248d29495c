"""Who watches the platform, and whom the others follow.

Rendezvous hashing after Thaler and Ravishankar, "Using name-based mappings to increase
hit rates" (1998): all processes with the same VM list make the same choice.
"""

import hashlib
from collections.abc import Mapping

from foxtailcourse.config._model import Vm, VmState

WATCHERS_PER_DOMAIN = 2
REMOTE_WATCHERS = 2


def _score(label: str, vm: str) -> bytes:
    return hashlib.blake2b(f"{label}\0{vm}".encode(), digest_size=8).digest()


def choose_watchers(vms: Mapping[str, Vm], failure_domain: str) -> list[Vm]:
    """Return the VMs of a failure domain that watch the platform, best first."""
    live = [
        each
        for each in vms.values()
        if each.failure_domain == failure_domain and each.state is VmState.LIVE
    ]
    live.sort(key=lambda each: _score(failure_domain, each.vm), reverse=True)
    return live[:WATCHERS_PER_DOMAIN]


def follow_order(vms: Mapping[str, Vm], vm: str, failure_domain: str) -> list[Vm]:
    """Return the watchers that a process follows, in the order it tries them.

    The watchers of its own failure domain come first, in an order that differs
    between processes so that both carry followers; then come watchers elsewhere.
    """
    own = choose_watchers(vms, failure_domain)
    domains = {each.failure_domain for each in vms.values()} - {failure_domain}
    ranked = sorted(domains, key=lambda each: _score(vm, each))
    remote = [w for each in ranked for w in choose_watchers(vms, each)[:1]]
    own.sort(key=lambda each: _score(vm, each.vm))
    order = own + remote[:REMOTE_WATCHERS]
    return [each for each in order if each.vm != vm]


def fallback_interval_s(processes: int, calls_per_s: float, minimum_s: float) -> float:
    """Return a process's mean time between platform calls without a watcher.

    The calls of all processes together stay near ``calls_per_s``.
    """
    return max(minimum_s, processes / calls_per_s)
