"""The other entries, as they registered in the platform's store."""

from collections.abc import Iterator
from typing import Annotated

import attrs
import msgspec

from foxtailcourse.decoding import decode_json
from foxtailcourse.ingress._peer_messages import MAX_VERSION
from foxtailcourse.settings import Address, parse_ip_address

# Capacity that is assumed for an entry that states none, in cores.
ASSUMED_CAPACITY_CORES = 1.0
# No VM has more. The entries with the most relay the state of the others.
MAX_CAPACITY_CORES = 1e4

Capacity = Annotated[float, msgspec.Meta(ge=0, le=MAX_CAPACITY_CORES)]
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]


class PeerRecordError(ValueError):
    """The registration of an entry cannot be decoded."""


@attrs.frozen(kw_only=True)
class Peer:
    """Registration of an entry.

    Parameters
    ----------
    address : Address
        Where it receives datagrams.
    failure_domain : str
        Name of the failure domain that its VM runs in.
    capacity_cores : float
        What its VM can carry, in cores; a narrow link counts like a slow processor.
    configuration_version : int
        Version of the configuration that it used when it registered; 0 if unknown.
    """

    address: Address
    failure_domain: str = ""
    capacity_cores: float = ASSUMED_CAPACITY_CORES
    configuration_version: int = 0

    def encode(self) -> bytes:
        """Return the value to register."""
        record = _PeerRecord(
            str(self.address),
            self.failure_domain,
            self.capacity_cores,
            self.configuration_version,
        )
        return msgspec.json.encode(record)


class _PeerRecord(msgspec.Struct):
    address: str
    failure_domain: str = ""
    capacity_cores: Capacity = ASSUMED_CAPACITY_CORES
    configuration: Version = 0


def decode_peer(value: bytes) -> Peer:
    """Return the registration in a stored value; raises PeerRecordError."""
    try:
        raw = decode_json(value, _PeerRecord)
        return Peer(
            address=parse_ip_address(raw.address),
            failure_domain=raw.failure_domain,
            capacity_cores=raw.capacity_cores,
            configuration_version=raw.configuration,
        )
    except ValueError as exc:
        raise PeerRecordError(str(exc)) from exc


class PeerDirectory:
    """Registered entries by VM and by address.

    Attributes
    ----------
    version : int
        Rises with each change, so that what is derived from the entries can be cached.
    """

    def __init__(self) -> None:
        self._by_vm: dict[str, Peer] = {}
        # The first registration of an address counts, until it is removed.
        self._vms_by_address: dict[tuple[str, int], list[str]] = {}
        self.version = 0

    def __len__(self) -> int:
        return len(self._by_vm)

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._by_vm))

    def get(self, vm: str) -> Peer | None:
        """Return the registration of an entry, or None."""
        return self._by_vm.get(vm)

    def add(self, vm: str, peer: Peer) -> None:
        """Add an entry, or replace its registration."""
        if self._by_vm.get(vm) == peer:
            return
        self.remove(vm)
        self._by_vm[vm] = peer
        address = (peer.address.host, peer.address.port)
        self._vms_by_address.setdefault(address, []).append(vm)
        self.version += 1

    def remove(self, vm: str) -> None:
        """Remove an entry."""
        peer = self._by_vm.pop(vm, None)
        if peer is None:
            return
        address = (peer.address.host, peer.address.port)
        vms = self._vms_by_address[address]
        vms.remove(vm)
        if not vms:
            del self._vms_by_address[address]
        self.version += 1

    def vm_at(self, host: str, port: int) -> str | None:
        """Return the VM that receives, and sends, datagrams at an address."""
        vms = self._vms_by_address.get((host, port))
        return vms[0] if vms else None
