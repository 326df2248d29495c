"""Typed view of the configuration."""

import enum

import attrs

from foxtailcourse.protocol import RequestClass
from foxtailcourse.settings import Address


@attrs.frozen(kw_only=True)
class Contract:
    """All limits, the priority and the share of one client account.

    Parameters
    ----------
    client_account : str
        Identifier of the client account.
    key_sha256 : tuple of str
        Hex SHA-256 of each accepted bearer key; several allow key rotation.
    models, services : tuple of str
        Models and service routes the account may call.
    share : float
        Weight of the account when the capacity is contended.
    requests_per_s, tokens_per_s : float
        Limits over all entries; tokens are prompt plus most tokens to generate.
    max_concurrent : int
        Requests of the account at once on one entry.
    max_body_bytes : int
        Largest request body.
    short_max_tokens : int
        A request that may generate at most this many tokens is short.
    short_deadline_ms, long_deadline_ms : int
        Longest acceptable time to first token, in milliseconds, by class.
    """

    client_account: str
    key_sha256: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    share: float = 1.0
    requests_per_s: float = 50.0
    tokens_per_s: float = 200_000.0
    max_concurrent: int = 64
    max_body_bytes: int = 1024 * 1024
    short_max_tokens: int = 128
    short_deadline_ms: int = 5_000
    long_deadline_ms: int = 120_000

    def request_class(self, max_tokens: int) -> RequestClass:
        """Return the scheduling class of a request."""
        short = max_tokens <= self.short_max_tokens
        return RequestClass.SHORT if short else RequestClass.LONG

    def deadline_ms(self, request_class: RequestClass) -> int:
        """Return the longest time to first token, in milliseconds."""
        if request_class is RequestClass.SHORT:
            return self.short_deadline_ms
        return self.long_deadline_ms


@attrs.frozen(kw_only=True)
class ServiceRoute:
    """A plain service that the system routes to.

    Parameters
    ----------
    route : str
        Name in the path ``/services/<route>/``.
    repeatable : bool
        Whether a call may run more than once.
    timeout_ms : int
        Longest time for an answer of the backend server, in milliseconds.
    """

    route: str
    repeatable: bool = False
    timeout_ms: int = 10_000


@attrs.frozen(kw_only=True)
class ModelSpec:
    """Desired state of one model.

    Parameters
    ----------
    model : str
        Name of the model.
    weights_version : str
        Version that all its backend servers should serve.
    min_in_service : int
        Backend servers that must stay in service while others load.
    """

    model: str
    weights_version: str
    min_in_service: int = 1


class VmRole(enum.Enum):
    """What runs on a VM."""

    ENTRY = "entry"
    AGENT = "agent"


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Vm:
    """One VM of the platform's list.

    Parameters
    ----------
    vm : str
        Identifier of the VM.
    failure_domain : str
        Failure domain of the VM.
    role : VmRole
        What runs on it.
    serves : str
        Model or service route of the backend server beside the agent.
    listen, control, admin : Address
        Addresses for requests, gRPC control and HTTP administration.
    state : VmState
        Live or leaving.
    """

    vm: str
    failure_domain: str
    role: VmRole
    listen: Address
    control: Address
    admin: Address
    serves: str = ""
    state: VmState = VmState.LIVE


@attrs.frozen(kw_only=True)
class ConfigView:
    """The configuration that a process acts on at one moment.

    Parameters
    ----------
    revision : int
        Highest platform revision among the records.
    contracts : dict of str to Contract
        By client account.
    services : dict of str to ServiceRoute
        By route.
    models : dict of str to ModelSpec
        By model.
    vms : dict of str to Vm
        By VM.
    leaving : frozenset of str
        Backend servers, named by the VM of their agent, that take no new work.
    stops : frozenset of str
        VMs whose planned stop is announced.
    """

    revision: int = 0
    contracts: dict[str, Contract] = attrs.field(factory=dict)
    services: dict[str, ServiceRoute] = attrs.field(factory=dict)
    models: dict[str, ModelSpec] = attrs.field(factory=dict)
    vms: dict[str, Vm] = attrs.field(factory=dict)
    leaving: frozenset[str] = frozenset()
    stops: frozenset[str] = frozenset()

    def is_leaving(self, vm: str) -> bool:
        """Whether a VM takes no new work for any of the known reasons."""
        listed = self.vms.get(vm)
        leaving_list = listed is not None and listed.state is VmState.LEAVING
        return leaving_list or vm in self.leaving or vm in self.stops

    def backend_servers(self, serves: str) -> list[Vm]:
        """Return the agents' VMs of a model or route that take new work."""
        return [
            each
            for each in self.vms.values()
            if each.role is VmRole.AGENT
            and each.serves == serves
            and not self.is_leaving(each.vm)
        ]

    def entries(self) -> list[Vm]:
        """Return the listed entry VMs."""
        return [each for each in self.vms.values() if each.role is VmRole.ENTRY]
