"""Stand-in of the platform: key-value service and VM list, with fault injection."""

import secrets
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs
import msgspec
import trio

from foxtailcourse.config import Record, Vm
from foxtailcourse.http import Exchange, HttpError
from foxtailcourse.platform import KeyEvent, KeyValue, Put

MAX_VALUE_BYTES = 1_000_000
MAX_STORED_EVENTS = 100_000
ERA_HEADER = "store-era"
MAX_WATCH_WAIT_S = 30.0
MAX_TXN_ENTRIES = 32
MAX_PAGE_ITEMS = 500


class Faults(msgspec.Struct, kw_only=True):
    """Faults that the platform stand-in currently injects.

    Parameters
    ----------
    outage : str
        ``off``, ``refuse`` (each call fails with status 503), ``limit`` (each call
        exceeds a limit and fails with status 429) or ``silent`` (no call gets a
        response).
    slow_ms : int
        Delay of each call to the key-value service, in milliseconds.
    lose_answers : int
        Number of next POST calls of the key-value service (writes, and lease grants
        and renewals) that take effect but whose connection is aborted.
    vm_list_outage : bool
        Whether reading the VM list fails with status 503.
    vm_list_lag_ms : int
        Age of the VM list that is returned, in milliseconds.
    """

    outage: str = "off"
    slow_ms: int = 0
    lose_answers: int = 0
    vm_list_outage: bool = False
    vm_list_lag_ms: int = 0


class _ConditionFailedError(Exception):
    """A key of the precondition has another revision.

    Parameters
    ----------
    items : list of dict
        Current item of each key of the precondition, as sent in the response.
    """

    def __init__(self, items: list[dict[str, Any]]) -> None:
        super().__init__("a key of the precondition has another revision")
        self.items = items


class _Condition(msgspec.Struct):
    key: str
    revision: int


class _Put(msgspec.Struct):
    key: str
    value: bytes
    lease: int = 0


class _Txn(msgspec.Struct):
    precondition: list[_Condition] = []
    puts: list[_Put] = []
    remove: list[str] = []


class _LeaseRequest(msgspec.Struct):
    ttlMs: int  # noqa: N815


@attrs.define
class _Lease:
    ttl_s: float
    expires_at: float


class PlatformStandin:
    """Key-value service with leases and watches, and a VM list.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds; leases and the lag of the VM list use it.

    Attributes
    ----------
    revision : int
        Current store revision.
    era : int
        Rises by one with each restore; each response states it.
    faults : Faults
        Injected faults.
    calls : Counter
        Number of calls by method and path.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._items: dict[str, KeyValue] = {}
        self._history: deque[KeyEvent] = deque()
        self._compacted_revision = 0
        self._leases: dict[str, _Lease] = {}
        self._changed = trio.Event()
        # Time of the change, revision and VMs of each version of the VM list.
        self._listings: list[tuple[float, int, tuple[Vm, ...]]] = [(0.0, 1, ())]
        self.revision = 1
        self.era = 1
        self.faults = Faults()
        self.calls: Counter[str] = Counter()

    # Direct access for tests

    def put(self, key: str, value: bytes, lease: str = "") -> int:
        """Write a key without a precondition; return its ``mod_revision``."""
        self._apply([Put(key=key, value=value, lease=lease)], [])
        return self.revision

    def seed(self, records: Iterable[Record]) -> int:
        """Write configuration records; return the store revision."""
        for record in records:
            self.put(record.key, record.encode())
        return self.revision

    def get(self, key: str) -> KeyValue | None:
        """Return the current item of a key, or None."""
        self._expire_due_leases()
        return self._items.get(key)

    def set_vms(self, vms: Iterable[Vm]) -> int:
        """Replace the VM list; return the list's new revision."""
        revision = self._listings[-1][1] + 1
        self._listings.append((self._clock(), revision, tuple(vms)))
        return revision

    def vms(self) -> tuple[Vm, ...]:
        """Return the current VM list, without lag."""
        return self._listings[-1][2]

    def restore(self, revision: int) -> None:
        """Restore the state at an older revision, as from a backup.

        Later events and all leases are discarded, and a new era begins. Waiting
        watches fail with status 503, as after a restart of the service.
        """
        events = [each for each in self._history if each.mod_revision <= revision]
        self._items = {}
        for event in events:
            self._items.pop(event.key, None)
            if event.value is not None:
                item = KeyValue(
                    key=event.key, value=event.value, mod_revision=event.mod_revision
                )
                self._items[event.key] = item
        self._history = deque(events)
        self._leases.clear()
        self.revision = revision
        self.era += 1
        self._notify()

    def compact_history(self) -> None:
        """Compact the event history: watches from older revisions fail with 410."""
        if self._history:
            self._compacted_revision = self._history[-1].mod_revision
            self._history.clear()
        self._notify()

    def expire_leases(self) -> None:
        """Expire all leases, as can happen during an outage."""
        for lease in list(self._leases):
            self._remove_lease(lease)

    # HTTP

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request of the key-value service, VM list or fault injection."""
        if exchange.path == "/fault":
            await self._set_faults(exchange)
        elif exchange.path == "/calls":
            await exchange.respond_json(200, dict(self.calls))
        else:
            try:
                await self._serve(exchange)
            finally:
                # For the response to an exception; the others have been sent.
                self._state_era(exchange)

    def _state_era(self, exchange: Exchange) -> None:
        exchange.common_fields[ERA_HEADER] = str(self.era)

    async def _serve(self, exchange: Exchange) -> None:
        name = f"{exchange.method} {exchange.path}"
        self.calls[name] += 1
        if name == "GET /vms":
            await self._get_vms(exchange)
            return
        if name == "POST /vms":
            self.set_vms(msgspec.convert(exchange.json(), list[Vm]))
            await exchange.respond_json(200, {"revision": self._listings[-1][1]})
            return
        operation = self._find_operation(name)
        if operation is None:
            raise HttpError(404, "unknown_path", f"unknown call {name}")
        await self._apply_outage()
        self._expire_due_leases()
        try:
            response = await operation(exchange)
        except msgspec.ValidationError as exc:
            raise HttpError(400, "malformed_request", str(exc)) from exc
        except _ConditionFailedError as exc:
            self._state_era(exchange)
            await exchange.respond_json(412, {"items": exc.items})
            return
        if exchange.method == "POST" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            exchange.abort()
            return
        self._state_era(exchange)
        await exchange.respond_json(200, response)

    def _find_operation(self, name: str) -> Callable[[Exchange], Any] | None:
        operations = {
            "GET /foxtailcourse/kv-key": self._get_key,
            "GET /foxtailcourse/kv-range": self._get_range,
            "POST /foxtailcourse/kv-txn": self._commit_txn,
            "POST /foxtailcourse/kv-lease": self._grant_lease,
            "GET /foxtailcourse/kv-watch": self._watch,
        }
        if name.startswith("POST /foxtailcourse/kv-keep/"):
            return self._keep_lease_alive
        if name.startswith("DELETE /foxtailcourse/kv-lease-end/"):
            return self._revoke_lease
        return operations.get(name)

    async def _apply_outage(self) -> None:
        if self.faults.slow_ms:
            await trio.sleep(self.faults.slow_ms / 1000)
        if self.faults.outage == "silent":
            await trio.sleep_forever()
        if self.faults.outage == "limit":
            raise HttpError(429, "too_many_calls", "the limit of calls is exceeded")
        if self.faults.outage != "off":
            raise HttpError(503, "unavailable", "the service is unavailable")

    async def _set_faults(self, exchange: Exchange) -> None:
        """Change the faults named in the body; ``restore`` also restores a revision."""
        body = exchange.json()
        try:
            changes = msgspec.convert(body, dict[str, Any])
            restore = msgspec.convert(changes.pop("restore", None), int | None)
            current = msgspec.structs.asdict(self.faults)
            for name in changes.keys() - current.keys():
                raise HttpError(400, "unknown_fault", f"unknown fault {name}")
            self.faults = msgspec.convert(current | changes, Faults)
        except msgspec.ValidationError as exc:
            raise HttpError(400, "malformed_request", str(exc)) from exc
        if restore is not None:
            self.restore(restore)
        # Wakes waiting watches, so that the faults apply to them immediately.
        self._notify()
        await exchange.respond_json(200, self.faults)

    async def _get_vms(self, exchange: Exchange) -> None:
        if self.faults.vm_list_outage:
            raise HttpError(503, "unavailable", "the VM list is unavailable")
        max_time_s = self._clock() - self.faults.vm_list_lag_ms / 1000
        visible = [each for each in self._listings if each[0] <= max_time_s]
        _, revision, vms = (visible or self._listings[:1])[-1]
        if exchange.headers.get("if-none-match") == f'"{revision}"':
            await exchange.start_stream(304, {})
            await exchange.end_stream()
            return
        await exchange.respond_json(200, {"revision": revision, "vms": vms})

    async def _get_key(self, exchange: Exchange) -> dict[str, Any]:
        item = self._items.get(exchange.query.get("key", ""))
        if item is None:
            raise HttpError(404, "unknown_key", "unknown key")
        return _item_json(item) | {"asOf": self.revision}

    async def _get_range(self, exchange: Exchange) -> dict[str, Any]:
        prefix, after = (
            exchange.query.get("pathPrefix", ""),
            exchange.query.get("after", ""),
        )
        keys = [k for k in sorted(self._items) if k.startswith(prefix) and k > after]
        page = [_item_json(self._items[each]) for each in keys[:MAX_PAGE_ITEMS]]
        has_more = len(keys) > MAX_PAGE_ITEMS
        return {"asOf": self.revision, "items": page, "hasMore": has_more}

    async def _commit_txn(self, exchange: Exchange) -> dict[str, Any]:
        txn = msgspec.convert(exchange.json(), _Txn)
        entry_count = len(txn.precondition) + len(txn.puts) + len(txn.remove)
        if entry_count > MAX_TXN_ENTRIES:
            raise HttpError(
                400, "too_many_entries", f"transaction has {entry_count} entries"
            )
        puts = [
            Put(key=each.key, value=each.value, lease=str(each.lease or ""))
            for each in txn.puts
        ]
        for put in puts:
            if len(put.value) > MAX_VALUE_BYTES:
                raise HttpError(413, "value_too_large", f"{put.key} exceeds 1 MB")
            if put.lease and put.lease not in self._leases:
                raise HttpError(404, "lease_lost", f"unknown lease {put.lease}")
        current = {each.key: self._items.get(each.key) for each in txn.precondition}
        for each in txn.precondition:
            item = current[each.key]
            if (item.mod_revision if item else 0) != each.revision:
                raise _ConditionFailedError(
                    [
                        _item_json(item) if item else {"key": key, "revision": 0}
                        for key, item in current.items()
                    ]
                )
        self._apply(puts, txn.remove)
        return {"revision": self.revision}

    async def _grant_lease(self, exchange: Exchange) -> dict[str, Any]:
        request = msgspec.convert(exchange.json(), _LeaseRequest)
        ttl_s = request.ttlMs / 1000
        lease = secrets.randbelow(2**48) + 1
        self._leases[str(lease)] = _Lease(ttl_s, self._clock() + ttl_s)
        return {"lease": lease, "ttlMs": request.ttlMs}

    async def _keep_lease_alive(self, exchange: Exchange) -> dict[str, Any]:
        lease = self._leases[self._lease_id(exchange)]
        lease.expires_at = self._clock() + lease.ttl_s
        return {"ttlMs": int(lease.ttl_s * 1000)}

    async def _revoke_lease(self, exchange: Exchange) -> dict[str, Any]:
        self._remove_lease(self._lease_id(exchange))
        return {}

    def _lease_id(self, exchange: Exchange) -> str:
        lease_id = exchange.path.rpartition("/")[2]
        if lease_id not in self._leases:
            raise HttpError(404, "lease_lost", f"unknown lease {lease_id}")
        return lease_id

    async def _watch(self, exchange: Exchange) -> dict[str, Any]:
        prefix = exchange.query.get("pathPrefix", "")
        after = _parse_count(exchange, "after")
        wait_s = min(_parse_count(exchange, "waitMs") / 1000, MAX_WATCH_WAIT_S)
        era = self.era
        if after > self.revision:
            raise HttpError(410, "unknown_revision", f"no revision {after} exists")
        with trio.move_on_after(wait_s):
            while not self._find_events(prefix, after):
                await self._wait_change()
                await self._apply_outage()
                if self.era != era:
                    # A restore restarts the service, which fails waiting calls.
                    raise HttpError(503, "restarted", "the service was restored")
        events = [_event_json(each) for each in self._find_events(prefix, after)]
        return {"asOf": self.revision, "events": events}

    async def _wait_change(self) -> None:
        expiries = [each.expires_at for each in self._leases.values()]
        wait_s = (
            max(0.0, min(expiries) - self._clock()) if expiries else MAX_WATCH_WAIT_S
        )
        with trio.move_on_after(wait_s):
            await self._changed.wait()
        self._expire_due_leases()

    def _find_events(self, prefix: str, after: int) -> list[KeyEvent]:
        if after < self._compacted_revision:
            raise HttpError(410, "compacted", f"revision {after} has been compacted")
        events = []
        for event in reversed(self._history):
            if event.mod_revision <= after:
                break
            if event.key.startswith(prefix):
                events.append(event)
        return events[::-1]

    # State

    def _apply(self, puts: Sequence[Put], deletes: Sequence[str]) -> None:
        self.revision += 1
        for put in puts:
            self._items[put.key] = KeyValue(
                key=put.key,
                value=put.value,
                mod_revision=self.revision,
                lease=put.lease,
            )
            self._append_event(put.key, put.value)
        for key in deletes:
            if self._items.pop(key, None) is not None:
                self._append_event(key, None)
        self._notify()

    def _append_event(self, key: str, value: bytes | None) -> None:
        self._history.append(KeyEvent(key=key, value=value, mod_revision=self.revision))
        while len(self._history) > MAX_STORED_EVENTS:
            self._compacted_revision = self._history.popleft().mod_revision

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _expire_due_leases(self) -> None:
        now = self._clock()
        for lease in [k for k, v in self._leases.items() if v.expires_at <= now]:
            self._remove_lease(lease)

    def _remove_lease(self, lease: str) -> None:
        del self._leases[lease]
        keys = [key for key, item in self._items.items() if item.lease == lease]
        if keys:
            self._apply([], keys)


def _item_json(item: KeyValue) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": item.value,
        "revision": item.mod_revision,
        "lease": int(item.lease or 0),
    }


def _event_json(event: KeyEvent) -> dict[str, Any]:
    if event.value is None:
        return {"key": event.key, "revision": event.mod_revision, "removed": True}
    return {"key": event.key, "value": event.value, "revision": event.mod_revision}


def _parse_count(exchange: Exchange, name: str) -> int:
    text = exchange.query.get(name, "0")
    if not text.isascii() or not text.isdigit() or len(text) > 16:
        raise HttpError(400, "malformed_request", f"{name} is not a valid count")
    return int(text)
