"""Adapters to the platform's HTTP services."""

from collections.abc import Mapping, Sequence
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from foxtailcourse.http import ClientError, ConnectionPool, RequestOptions
from foxtailcourse.platform._types import (
    LeaseLostError,
    PlatformError,
    Put,
    RangeResult,
    RevisionGoneError,
    TxnResult,
    VmListing,
    WatchResult,
)
from foxtailcourse.protocol import Verdict
from foxtailcourse.settings import Address

T = TypeVar("T")

DEFAULT_TIMEOUT_S = 2.0
NOT_MODIFIED_STATUS = 304
LEASE_LOST_STATUS = 404
REVISION_GONE_STATUS = 410
NOT_APPLIED_STATUSES = frozenset({400, 404, 410, 413, 429, 503})


class _NotModifiedError(Exception):
    """The answer still has the revision that the caller knows."""


class _Lease(msgspec.Struct):
    lease: str


class _Service:
    """Calls to one HTTP service of the platform."""

    def __init__(self, pool: ConnectionPool, address: Address, timeout_s: float):
        self._pool = pool
        self._address = address
        self._timeout_s = timeout_s

    async def call(
        self,
        answer: type[T],
        method: str,
        target: str,
        value: object = None,
        *,
        wait_s: float = 0.0,
        headers: Mapping[str, str] | None = None,
    ) -> T:
        """Make one call and return the decoded answer."""
        options = RequestOptions(
            connect_timeout_s=self._timeout_s,
            idle_timeout_s=self._timeout_s + wait_s,
        )
        body = b"" if value is None else msgspec.json.encode(value)
        try:
            async with self._pool.request(
                self._address,
                method,
                target,
                headers=headers,
                body=body,
                options=options,
            ) as response:
                status, data = response.status, await response.read()
        except ClientError as exc:
            applied = exc.verdict is not Verdict.NOT_RUN
            raise PlatformError(
                f"{method} {target}: {exc}", may_have_applied=applied
            ) from exc
        if status == NOT_MODIFIED_STATUS:
            raise _NotModifiedError
        if status != 200:
            raise _status_error(f"{method} {target}", status, data)
        try:
            return msgspec.json.decode(data, type=answer)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise PlatformError(
                f"{method} {target}: malformed answer: {exc}", may_have_applied=True
            ) from exc


def _status_error(call: str, status: int, data: bytes) -> PlatformError:
    text = data[:200].decode("utf-8", "replace")
    message = f"{call}: status {status}: {text}"
    if status == LEASE_LOST_STATUS:
        return LeaseLostError(message, may_have_applied=False)
    if status == REVISION_GONE_STATUS:
        return RevisionGoneError(message, may_have_applied=False)
    applied = status not in NOT_APPLIED_STATUSES
    return PlatformError(message, may_have_applied=applied)


class KeyValueClient:
    """HTTP adapter to the key-value service; a :class:`KeyValueStore`.

    Parameters
    ----------
    pool : ConnectionPool
        Makes the connections.
    address : Address
        Address of the service.
    timeout_s : float
        Longest wait for an answer, beyond the wait that a watch asks for.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        address: Address,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._service = _Service(pool, address, timeout_s)

    async def range(self, *prefixes: str) -> RangeResult:
        """Return all keys that start with one of the prefixes."""
        query = urlencode([("prefix", each) for each in prefixes])
        return await self._service.call(RangeResult, "GET", f"/kv/range?{query}")

    async def txn(
        self,
        compare: Mapping[str, int],
        put: Sequence[Put] = (),
        delete: Sequence[str] = (),
    ) -> TxnResult:
        """Write if each key of ``compare`` has the given ``mod_revision``."""
        value: dict[str, Any] = {"compare": dict(compare), "put": list(put)}
        value["delete"] = list(delete)
        return await self._service.call(TxnResult, "POST", "/kv/txn", value)

    async def lease_grant(self, ttl_s: float) -> str:
        """Return the identifier of a new lease."""
        value = {"ttl_ms": int(ttl_s * 1000)}
        return (await self._service.call(_Lease, "POST", "/kv/lease", value)).lease

    async def lease_keepalive(self, lease: str) -> None:
        """Extend a lease by its time to live; raises LeaseLostError."""
        value = {"lease": lease}
        await self._service.call(_Lease, "POST", "/kv/lease/keepalive", value)

    async def lease_revoke(self, lease: str) -> None:
        """End a lease and delete its keys."""
        await self._service.call(_Lease, "POST", "/kv/lease/revoke", {"lease": lease})

    async def watch(
        self, prefixes: Sequence[str], after: int, wait_s: float
    ) -> WatchResult:
        """Wait at most ``wait_s`` for changes after a revision."""
        query = [("prefix", each) for each in prefixes]
        query += [("after", str(after)), ("wait_ms", str(int(wait_s * 1000)))]
        target = f"/kv/watch?{urlencode(query)}"
        return await self._service.call(WatchResult, "GET", target, wait_s=wait_s)


class VmListClient:
    """HTTP adapter to the VM list; a :class:`VmList`."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: Address,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._service = _Service(pool, address, timeout_s)

    async def list_vms(self, known: int = 0) -> VmListing | None:
        """Return the list, which may lag, or None if it still has a known revision.

        The revision is sent as ``if-none-match``, so that an unchanged list costs
        no transfer; a service that ignores the field answers with the whole list.
        """
        headers = {"if-none-match": f'"{known}"'} if known else {}
        try:
            return await self._service.call(VmListing, "GET", "/vms", headers=headers)
        except _NotModifiedError:
            return None
