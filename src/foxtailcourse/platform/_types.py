"""Interfaces and messages of the platform's services.

Values are bytes; the JSON form carries them in base64, as msgspec encodes bytes.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Protocol

import attrs

ABSENT = 0
"""The ``mod_revision`` to compare with for a key that must not exist."""


class PlatformError(Exception):
    """A call to the platform failed.

    Parameters
    ----------
    message : str
        What failed.
    may_have_applied : bool
        Whether a write may have taken effect. False means that it did not.
    """

    def __init__(self, message: str, *, may_have_applied: bool) -> None:
        super().__init__(message)
        self.may_have_applied = may_have_applied


class LeaseLostError(PlatformError):
    """The lease has expired or was revoked; the call had no effect."""


class RevisionGoneError(PlatformError):
    """A watch asked for changes that the service no longer keeps."""


@attrs.frozen(kw_only=True)
class KeyValue:
    """One key as the service holds it.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        The value, at most 1 MB.
    mod_revision : int
        Store revision of the key's latest write.
    lease : str
        Lease that the key is bound to, empty for none.
    """

    key: str
    value: bytes
    mod_revision: int
    lease: str = ""


@attrs.frozen(kw_only=True)
class KeyEvent:
    """One change of one key; ``value`` is None for a deletion."""

    key: str
    value: bytes | None
    mod_revision: int


@attrs.frozen(kw_only=True)
class Put:
    """One write of a transaction; a non-empty lease deletes the key at its end."""

    key: str
    value: bytes
    lease: str = ""


@attrs.frozen(kw_only=True)
class RangeResult:
    """Keys at one store revision."""

    revision: int
    items: tuple[KeyValue, ...] = ()


@attrs.frozen(kw_only=True)
class TxnResult:
    """Outcome of a compare-and-swap.

    Parameters
    ----------
    succeeded : bool
        Whether all comparisons held and the writes were applied.
    revision : int
        Store revision afterwards; the ``mod_revision`` of the written keys if the
        transaction succeeded.
    current : tuple of KeyValue
        The compared keys that exist, if the transaction did not succeed.
    """

    succeeded: bool
    revision: int
    current: tuple[KeyValue, ...] = ()


@attrs.frozen(kw_only=True)
class WatchResult:
    """Changes after a revision, oldest first, up to ``revision``.

    A ``revision`` below the one asked for shows that the store was restored.
    """

    revision: int
    events: tuple[KeyEvent, ...] = ()


@attrs.frozen(kw_only=True)
class VmListing:
    """The VM list at one of its revisions; entries are ``config.Vm`` as JSON."""

    revision: int
    vms: tuple[dict[str, Any], ...] = ()


class KeyValueStore(Protocol):
    """The platform's key-value service. Each method raises PlatformError."""

    async def range(self, *prefixes: str) -> RangeResult:
        """Return all keys that start with one of the prefixes."""

    async def txn(
        self,
        compare: Mapping[str, int],
        put: Sequence[Put] = (),
        delete: Sequence[str] = (),
    ) -> TxnResult:
        """Write if each key of ``compare`` has the given ``mod_revision``."""

    async def lease_grant(self, ttl_s: float) -> str:
        """Return the identifier of a new lease."""

    async def lease_keepalive(self, lease: str) -> None:
        """Extend a lease by its time to live; raises LeaseLostError."""

    async def lease_revoke(self, lease: str) -> None:
        """End a lease and delete its keys."""

    async def watch(
        self, prefixes: Sequence[str], after: int, wait_s: float
    ) -> WatchResult:
        """Wait at most ``wait_s`` for changes after a revision.

        Raises RevisionGoneError if the service no longer keeps them.
        """


class VmList(Protocol):
    """The platform's VM list."""

    async def list_vms(self, known: int = 0) -> VmListing | None:
        """Return the list, which may lag, or None if it still has a known revision.

        Raises PlatformError.
        """
