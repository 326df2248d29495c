"""HTTP clients of the platform's key-value service and VM list."""

import math
import os
from collections.abc import Mapping, Sequence
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from foxtailcourse.decoding import MalformedDataError, decode_json
from foxtailcourse.http import ClientError, ConnectionPool, RequestOptions
from foxtailcourse.platform._types import (
    CallLimitError,
    KeyEvent,
    KeyValue,
    LeaseLostError,
    PlatformError,
    Put,
    RangeResult,
    RevisionGoneError,
    StoreRestoredError,
    TxnResult,
    VmListing,
    WatchResult,
)
from foxtailcourse.protocol import Verdict
from foxtailcourse.settings import Address

T = TypeVar("T")

DEFAULT_TIMEOUT_S = 2.0
# Largest response of a service: a page of the store has about 1 MB of values in base64,
# or one value more than that.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Longest time to receive a body, as a multiple of the timeout of a call. A large page
# takes some seconds over a slow link.
BODY_TIMEOUT_MULTIPLE = 5.0
KV_TARGET_PREFIX = "/foxtailcourse/kv-"
ERA_HEADER = "store-era"
MAX_ERA_DIGITS = 9
NOT_MODIFIED_STATUS = 304
OK_STATUSES = frozenset({200, 204})
LEASE_LOST_STATUS = 404
CALL_LIMIT_STATUS = 429
CONDITION_FAILED_STATUS = 412
REVISION_GONE_STATUS = 410
# Error statuses that promise that a write was not applied.
NOT_APPLIED_STATUSES = frozenset({400, 404, 410, 413, 429, 503})


class _NotModifiedError(Exception):
    """The VM list still has the revision that the request names."""


class _ConditionFailedError(Exception):
    """A compared key has another revision; ``items`` has the compared keys."""

    def __init__(self, items: "list[_Item]") -> None:
        super().__init__("a compared key has changed")
        self.items = items


class _Item(msgspec.Struct):
    """A key, or a change of a key, as the service encodes it."""

    key: str
    revision: int = 0
    # In JSON as base64; absent for a removed key.
    value: bytes | None = None
    # Lease that the key is bound to; 0 for none.
    lease: int = 0
    removed: bool = False

    def decode(self) -> KeyValue:
        """Return the item as a KeyValue."""
        lease = str(self.lease) if self.lease else ""
        return KeyValue(
            key=self.key,
            value=self.value or b"",
            mod_revision=self.revision,
            lease=lease,
        )

    def decode_event(self) -> KeyEvent:
        """Return the item as a KeyEvent."""
        value = None if self.removed else self.value
        return KeyEvent(key=self.key, value=value, mod_revision=self.revision)


class _Page(msgspec.Struct):
    items: list[_Item]
    # Store revision at which the page was read.
    asOf: int  # noqa: N815
    hasMore: bool = False  # noqa: N815


class _Changes(msgspec.Struct):
    events: list[_Item]
    asOf: int  # noqa: N815


class _Written(msgspec.Struct):
    revision: int


class _Conflict(msgspec.Struct):
    items: list[_Item] = []


class _Lease(msgspec.Struct):
    lease: int


class _Renewed(msgspec.Struct):
    ttlMs: int = 0  # noqa: N815


class _Empty(msgspec.Struct):
    pass


class _HttpService:
    """Makes calls to one HTTP service of the platform.

    Parameters
    ----------
    pool : ConnectionPool
        Makes the connections.
    address : Address
        Address of the service.
    timeout_s : float
        Longest wait for a connection and for a response, in seconds.

    Attributes
    ----------
    era : int
        Highest era that a response stated; 0 if none did.
    """

    def __init__(self, pool: ConnectionPool, address: Address, timeout_s: float):
        self.era = 0
        self._pool = pool
        self._address = address
        self._timeout_s = timeout_s

    async def call(
        self,
        response_type: type[T],
        method: str,
        target: str,
        payload: object = None,
        *,
        wait_s: float = 0.0,
        headers: Mapping[str, str] | None = None,
    ) -> T:
        """Make one call and return the decoded response.

        Parameters
        ----------
        response_type : type
            Type to decode the response body to.
        method, target : str
            Method and target of the request.
        payload : object
            Request body before its encoding as JSON; None for an empty body.
        wait_s : float
            Time that the service may wait before it responds, in seconds.
        headers : mapping of str to str
            Additional request headers.

        Raises
        ------
        PlatformError
            If the call fails or its response is malformed.
        _NotModifiedError, _ConditionFailedError
            If the service responds with status 304 or 412.
        """
        options = RequestOptions(
            connect_timeout_s=self._timeout_s,
            idle_timeout_s=self._timeout_s + wait_s,
            body_timeout_s=BODY_TIMEOUT_MULTIPLE * self._timeout_s,
            max_body_bytes=MAX_RESPONSE_BYTES,
        )
        call = f"{method} {target}"
        body = b"" if payload is None else msgspec.json.encode(payload)
        fields = dict(headers or {})
        if body:
            fields["content-type"] = "application/json"
        try:
            async with self._pool.request(
                self._address,
                method,
                target,
                headers=fields,
                body=body,
                options=options,
            ) as response:
                status, data = response.status, await response.read()
                era = _parse_era(response.headers.get(ERA_HEADER, ""))
        except ClientError as exc:
            may_have_applied = exc.verdict is not Verdict.NOT_RUN
            raise PlatformError(
                f"{call}: {exc}", may_have_applied=may_have_applied
            ) from exc
        if era is not None and era < self.era:
            raise StoreRestoredError(
                f"{call}: response of era {era}, the store is in era {self.era}",
                may_have_applied=True,
            )
        self.era = max(self.era, era or 0)
        if status == NOT_MODIFIED_STATUS:
            raise _NotModifiedError
        if status == CONDITION_FAILED_STATUS:
            # The service states by the status that it wrote nothing.
            conflict = _decode(_Conflict, data, call, may_have_applied=False)
            raise _ConditionFailedError(conflict.items)
        if status not in OK_STATUSES:
            raise _status_error(call, status, data)
        return _decode(response_type, data, call, may_have_applied=True)


def _parse_era(text: str) -> int | None:
    """Return the era that a response states, or None."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_ERA_DIGITS:
        return None
    return int(text)


def _decode(
    response_type: type[T], data: bytes, call: str, *, may_have_applied: bool
) -> T:
    """Return the decoded body of a response; raises PlatformError."""
    try:
        return decode_json(data or b"{}", response_type)
    except MalformedDataError as exc:
        raise PlatformError(
            f"{call}: malformed response: {exc}", may_have_applied=may_have_applied
        ) from exc


def _status_error(call: str, status: int, data: bytes) -> PlatformError:
    """Return the error for a response status, with the start of the body."""
    text = data[:200].decode("utf-8", "replace")
    message = f"{call}: status {status}: {text}"
    if status == LEASE_LOST_STATUS:
        return LeaseLostError(message, may_have_applied=False)
    if status == CALL_LIMIT_STATUS:
        return CallLimitError(message, may_have_applied=False)
    if status == REVISION_GONE_STATUS:
        return RevisionGoneError(message, may_have_applied=False)
    may_have_applied = status not in NOT_APPLIED_STATUSES
    return PlatformError(message, may_have_applied=may_have_applied)


class KeyValueClient:
    """Client of the key-value service; implements :class:`KeyValueStore`.

    Parameters
    ----------
    pool : ConnectionPool
        Makes the connections.
    address : Address
        Address of the service.
    timeout_s : float
        Longest wait for a response, in seconds, in addition to the wait that a watch
        asks for.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        address: Address,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._service = _HttpService(pool, address, timeout_s)

    @property
    def era(self) -> int:
        """Highest era that a response stated; 0 if none did."""
        return self._service.era

    async def range(self, *prefixes: str) -> RangeResult:
        """Return all keys that start with one of the prefixes.

        The pages are not a snapshot. ``revision`` is the lowest store revision of
        all pages, so a watch from it shows each change since the first page.

        Raises
        ------
        StoreRestoredError
            If the store was restored between two pages.
        PlatformError
            If a page states that more follow and does not advance.
        """
        items: list[KeyValue] = []
        revision, first_era = 0, -1
        for prefix in prefixes or ("",):
            after = ""
            while True:
                query = {"pathPrefix": prefix} | ({"after": after} if after else {})
                page = await self._service.call(
                    _Page, "GET", f"{KV_TARGET_PREFIX}range?{urlencode(query)}"
                )
                first_era = self.era if first_era < 0 else first_era
                if self.era != first_era:
                    raise StoreRestoredError(
                        f"the store was restored while {prefix!r} was read",
                        may_have_applied=False,
                    )
                revision = min(revision, page.asOf) if revision else page.asOf
                items += [each.decode() for each in page.items]
                if not page.hasMore:
                    break
                if not page.items or page.items[-1].key <= after:
                    raise PlatformError(
                        f"pages of {prefix!r} end after {after!r} though more follow",
                        may_have_applied=False,
                    )
                after = page.items[-1].key
        return RangeResult(revision=revision, items=tuple(items), era=self.era)

    async def txn(
        self,
        compare: Mapping[str, int],
        put: Sequence[Put] = (),
        delete: Sequence[str] = (),
    ) -> TxnResult:
        """Write if each key of ``compare`` has the given ``mod_revision``."""
        payload = {
            "precondition": [{"key": k, "revision": v} for k, v in compare.items()],
            "puts": [
                {"key": each.key, "value": each.value, "lease": int(each.lease or 0)}
                for each in put
            ],
            "remove": list(delete),
        }
        try:
            written = await self._service.call(
                _Written, "POST", f"{KV_TARGET_PREFIX}txn", payload
            )
        except _ConditionFailedError as exc:
            current = tuple(each.decode() for each in exc.items if each.revision)
            revision = max((each.mod_revision for each in current), default=0)
            return TxnResult(
                succeeded=False, revision=revision, current=current, era=self.era
            )
        return TxnResult(succeeded=True, revision=written.revision, era=self.era)

    async def lease_grant(self, ttl_s: float) -> str:
        """Return the identifier of a new lease."""
        payload = {"ttlMs": math.ceil(ttl_s * 1000)}
        granted = await self._service.call(
            _Lease, "POST", f"{KV_TARGET_PREFIX}lease", payload
        )
        return str(granted.lease)

    async def lease_keepalive(self, lease: str) -> None:
        """Renew a lease for its time to live; raises LeaseLostError."""
        await self._service.call(_Renewed, "POST", f"{KV_TARGET_PREFIX}keep/{lease}")

    async def lease_revoke(self, lease: str) -> None:
        """End a lease and delete its keys."""
        await self._service.call(
            _Empty, "DELETE", f"{KV_TARGET_PREFIX}lease-end/{lease}"
        )

    async def watch(
        self, prefixes: Sequence[str], after: int, wait_s: float
    ) -> WatchResult:
        """Wait at most ``wait_s`` for changes after a revision.

        A call can watch only one prefix. For several, it watches their common prefix
        and drops the changes of other keys.
        """
        common = os.path.commonprefix(list(prefixes))
        query = {
            "pathPrefix": common,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        target = f"{KV_TARGET_PREFIX}watch?{urlencode(query)}"
        changes = await self._service.call(_Changes, "GET", target, wait_s=wait_s)
        events = tuple(
            each.decode_event()
            for each in changes.events
            if each.key.startswith(tuple(prefixes))
        )
        return WatchResult(revision=changes.asOf, events=events, era=self.era)


class VmListClient:
    """Client of the VM list; implements :class:`VmList`.

    Parameters
    ----------
    pool : ConnectionPool
        Makes the connections.
    address : Address
        Address of the service.
    timeout_s : float
        Longest wait for a response, in seconds.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        address: Address,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._service = _HttpService(pool, address, timeout_s)

    async def list_vms(self, known_revision: int = 0) -> VmListing | None:
        """Return the list, which may lag, or None if it has the known revision.

        The revision is sent as ``if-none-match``, so that an unchanged list costs
        no transfer. A service that ignores the header sends the whole list.
        """
        headers = {"if-none-match": f'"{known_revision}"'} if known_revision else {}
        try:
            return await self._service.call(VmListing, "GET", "/vms", headers=headers)
        except _NotModifiedError:
            return None
