"""Stand-in for the platform: key-value service and VM list, with faults."""

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
KEPT_EVENTS = 100_000
MAX_WAIT_S = 30.0
MAX_TXN_ENTRIES = 32
PAGE_ITEMS = 500


class Faults(msgspec.Struct, kw_only=True):
    """Faults in force.

    Parameters
    ----------
    outage : str
        ``off``, ``refuse`` (each call is answered 503) or ``silent`` (no call is
        answered).
    slow_ms : int
        Delay of each answer.
    lose_answers : int
        Number of next writes that take effect but are not answered.
    vm_list_outage : bool
        Whether the VM list is answered 503.
    vm_list_lag_ms : int
        Age of the VM list that is answered.
    """

    outage: str = "off"
    slow_ms: int = 0
    lose_answers: int = 0
    vm_list_outage: bool = False
    vm_list_lag_ms: int = 0


class _ConditionFailedError(Exception):
    """A compared key has another revision."""

    def __init__(self, items: list[dict[str, Any]]) -> None:
        super().__init__("a compared key has changed")
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
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._items: dict[str, KeyValue] = {}
        self._log: deque[KeyEvent] = deque()
        self._compacted = 0
        self._leases: dict[str, _Lease] = {}
        self._changed = trio.Event()
        self._restores = 0
        self._listings: list[tuple[float, int, tuple[Vm, ...]]] = [(0.0, 1, ())]
        self.revision = 1
        self.faults = Faults()
        self.calls: Counter[str] = Counter()

    # Seeding from Python

    def put(self, key: str, value: bytes, lease: str = "") -> int:
        """Write a key without a comparison; return its ``mod_revision``."""
        self._apply([Put(key=key, value=value, lease=lease)], [])
        return self.revision

    def seed(self, records: Iterable[Record]) -> int:
        """Write configuration records; return the store revision."""
        for record in records:
            self.put(record.key, record.encode())
        return self.revision

    def get(self, key: str) -> KeyValue | None:
        """Return a key as it is held."""
        self._expire()
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
        """Go back to the state at an older revision, as from a backup."""
        log = [each for each in self._log if each.mod_revision <= revision]
        self._items = {}
        for event in log:
            self._items.pop(event.key, None)
            if event.value is not None:
                item = KeyValue(
                    key=event.key, value=event.value, mod_revision=event.mod_revision
                )
                self._items[event.key] = item
        self._log = deque(log)
        self._leases.clear()
        self.revision = revision
        self._restores += 1
        self._notify()

    def compact_history(self) -> None:
        """Answer 410 to watches from before now."""
        if self._log:
            self._compacted = self._log[-1].mod_revision
            self._log.clear()
        self._notify()

    def expire_leases(self) -> None:
        """End all leases, as an outage may."""
        for lease in list(self._leases):
            self._end_lease(lease)

    # HTTP

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request of the key-value service, VM list or fault switches."""
        if exchange.path == "/fault":
            await self._fault(exchange)
        elif exchange.path == "/calls":
            await exchange.respond_json(200, dict(self.calls))
        else:
            await self._serve(exchange)

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
        operation = self._operation(name)
        if operation is None:
            raise HttpError(404, "unknown_path", f"no such call {name}")
        await self._outage()
        self._expire()
        try:
            answer = await operation(exchange)
        except msgspec.ValidationError as exc:
            raise HttpError(400, "malformed_request", str(exc)) from exc
        except _ConditionFailedError as exc:
            await exchange.respond_json(412, {"items": exc.items})
            return
        if exchange.method == "POST" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            exchange.abort()
            return
        await exchange.respond_json(200, answer)

    def _operation(self, name: str) -> Callable[[Exchange], Any] | None:
        exact = {
            "GET /foxtailcourse/kv-key": self._key,
            "GET /foxtailcourse/kv-range": self._range,
            "POST /foxtailcourse/kv-txn": self._txn,
            "POST /foxtailcourse/kv-lease": self._lease_grant,
            "GET /foxtailcourse/kv-watch": self._watch,
        }
        if name.startswith("POST /foxtailcourse/kv-keep/"):
            return self._lease_keepalive
        if name.startswith("DELETE /foxtailcourse/kv-lease-end/"):
            return self._lease_revoke
        return exact.get(name)

    async def _outage(self) -> None:
        if self.faults.slow_ms:
            await trio.sleep(self.faults.slow_ms / 1000)
        if self.faults.outage == "silent":
            await trio.sleep_forever()
        if self.faults.outage != "off":
            raise HttpError(503, "unavailable", "the service is out of order")

    async def _fault(self, exchange: Exchange) -> None:
        body = exchange.json()
        try:
            changes = msgspec.convert(body, dict[str, Any])
            restore = changes.pop("restore", None)
            known = msgspec.structs.asdict(self.faults)
            for name in changes.keys() - known.keys():
                raise HttpError(400, "unknown_fault", f"no such fault {name}")
            self.faults = msgspec.convert(known | changes, Faults)
        except msgspec.ValidationError as exc:
            raise HttpError(400, "malformed_request", str(exc)) from exc
        if restore is not None:
            self.restore(int(restore))
        # Waiting watches see the fault at once.
        self._notify()
        await exchange.respond_json(200, self.faults)

    async def _get_vms(self, exchange: Exchange) -> None:
        if self.faults.vm_list_outage:
            raise HttpError(503, "unavailable", "the VM list is out of order")
        latest = self._clock() - self.faults.vm_list_lag_ms / 1000
        seen = [each for each in self._listings if each[0] <= latest]
        _, revision, vms = (seen or self._listings[:1])[-1]
        if exchange.headers.get("if-none-match") == f'"{revision}"':
            await exchange.start_stream(304, {})
            await exchange.end_stream()
            return
        await exchange.respond_json(200, {"revision": revision, "vms": vms})

    async def _key(self, exchange: Exchange) -> dict[str, Any]:
        item = self._items.get(exchange.query.get("key", ""))
        if item is None:
            raise HttpError(404, "unknown_key", "no such key")
        return _item(item) | {"asOf": self.revision}

    async def _range(self, exchange: Exchange) -> dict[str, Any]:
        prefix, after = (
            exchange.query.get("pathPrefix", ""),
            exchange.query.get("after", ""),
        )
        keys = [k for k in sorted(self._items) if k.startswith(prefix) and k > after]
        page = [_item(self._items[each]) for each in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return {"asOf": self.revision, "items": page, "hasMore": more}

    async def _txn(self, exchange: Exchange) -> dict[str, Any]:
        txn = msgspec.convert(exchange.json(), _Txn)
        entries = len(txn.precondition) + len(txn.puts) + len(txn.remove)
        if entries > MAX_TXN_ENTRIES:
            raise HttpError(400, "too_many_entries", f"{entries} entries")
        puts = [
            Put(key=each.key, value=each.value, lease=str(each.lease or ""))
            for each in txn.puts
        ]
        for put in puts:
            if len(put.value) > MAX_VALUE_BYTES:
                raise HttpError(413, "value_too_large", f"{put.key} exceeds 1 MB")
            if put.lease and put.lease not in self._leases:
                raise HttpError(404, "lease_lost", f"no lease {put.lease}")
        held = {each.key: self._items.get(each.key) for each in txn.precondition}
        for each in txn.precondition:
            item = held[each.key]
            if (item.mod_revision if item else 0) != each.revision:
                raise _ConditionFailedError(
                    [
                        _item(item) if item else {"key": key, "revision": 0}
                        for key, item in held.items()
                    ]
                )
        self._apply(puts, txn.remove)
        return {"revision": self.revision}

    async def _lease_grant(self, exchange: Exchange) -> dict[str, Any]:
        request = msgspec.convert(exchange.json(), _LeaseRequest)
        ttl_s = request.ttlMs / 1000
        lease = secrets.randbelow(2**48) + 1
        self._leases[str(lease)] = _Lease(ttl_s, self._clock() + ttl_s)
        return {"lease": lease, "ttlMs": request.ttlMs}

    async def _lease_keepalive(self, exchange: Exchange) -> dict[str, Any]:
        lease = self._leases[self._known_lease(exchange)]
        lease.expires_at = self._clock() + lease.ttl_s
        return {"ttlMs": int(lease.ttl_s * 1000)}

    async def _lease_revoke(self, exchange: Exchange) -> dict[str, Any]:
        self._end_lease(self._known_lease(exchange))
        return {}

    def _known_lease(self, exchange: Exchange) -> str:
        name = exchange.path.rpartition("/")[2]
        if name not in self._leases:
            raise HttpError(404, "lease_lost", f"no lease {name}")
        return name

    async def _watch(self, exchange: Exchange) -> dict[str, Any]:
        prefix = exchange.query.get("pathPrefix", "")
        after = _count(exchange, "after")
        wait_s = min(_count(exchange, "waitMs") / 1000, MAX_WAIT_S)
        restores = self._restores
        with trio.move_on_after(wait_s):
            while self.revision >= after and not self._events(prefix, after):
                await self._wait_change()
                await self._outage()
                if self._restores != restores:
                    # A restore restarts the service, which ends waiting calls.
                    raise HttpError(503, "restarted", "the service was restored")
        events = [_change(each) for each in self._events(prefix, after)]
        return {"asOf": self.revision, "events": events}

    async def _wait_change(self) -> None:
        expiries = [each.expires_at for each in self._leases.values()]
        wait_s = max(0.0, min(expiries) - self._clock()) if expiries else MAX_WAIT_S
        with trio.move_on_after(wait_s):
            await self._changed.wait()
        self._expire()

    def _events(self, prefix: str, after: int) -> list[KeyEvent]:
        if after < self._compacted:
            raise HttpError(410, "compacted", f"revision {after} is no longer kept")
        found = []
        for event in reversed(self._log):
            if event.mod_revision <= after:
                break
            if event.key.startswith(prefix):
                found.append(event)
        return found[::-1]

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
            self._record(put.key, put.value)
        for key in deletes:
            if self._items.pop(key, None) is not None:
                self._record(key, None)
        self._notify()

    def _record(self, key: str, value: bytes | None) -> None:
        self._log.append(KeyEvent(key=key, value=value, mod_revision=self.revision))
        while len(self._log) > KEPT_EVENTS:
            self._compacted = self._log.popleft().mod_revision

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _expire(self) -> None:
        now = self._clock()
        for lease in [k for k, v in self._leases.items() if v.expires_at <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: str) -> None:
        del self._leases[lease]
        keys = [key for key, item in self._items.items() if item.lease == lease]
        if keys:
            self._apply([], keys)


def _item(item: KeyValue) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": item.value,
        "revision": item.mod_revision,
        "lease": int(item.lease or 0),
    }


def _change(event: KeyEvent) -> dict[str, Any]:
    if event.value is None:
        return {"key": event.key, "revision": event.mod_revision, "removed": True}
    return {"key": event.key, "value": event.value, "revision": event.mod_revision}


def _count(exchange: Exchange, name: str) -> int:
    text = exchange.query.get(name, "0")
    if not text.isascii() or not text.isdigit() or len(text) > 16:
        raise HttpError(400, "malformed_request", f"{name} is not a count")
    return int(text)
