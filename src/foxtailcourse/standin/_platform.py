"""Stand-in for the platform: key-value service and VM list, with faults."""

import secrets
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs
import msgspec
import trio

from foxtailcourse.config import Record, Vm
from foxtailcourse.http import Exchange, HttpError
from foxtailcourse.platform import KeyEvent, KeyValue, Put

MAX_VALUE_BYTES = 1_000_000
KEPT_EVENTS = 100_000
MAX_WAIT_S = 60.0


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


class _Txn(msgspec.Struct):
    compare: dict[str, int] = {}
    put: list[Put] = []
    delete: list[str] = []


class _LeaseRequest(msgspec.Struct):
    lease: str = ""
    ttl_ms: int = 0


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

    # HTTP

    async def handler(self, exchange: Exchange) -> None:
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
        operation = self._operations().get(name)
        if operation is None:
            raise HttpError(404, "unknown_path", f"no such call {name}")
        await self._outage()
        self._expire()
        try:
            answer = await operation(exchange)
        except msgspec.ValidationError as exc:
            raise HttpError(400, "malformed_request", str(exc)) from exc
        if exchange.method == "POST" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            exchange.abort()
            return
        await exchange.respond_json(200, answer)

    def _operations(self) -> dict[str, Callable[[Exchange], Any]]:
        return {
            "GET /kv/range": self._range,
            "POST /kv/txn": self._txn,
            "POST /kv/lease": self._lease_grant,
            "POST /kv/lease/keepalive": self._lease_keepalive,
            "POST /kv/lease/revoke": self._lease_revoke,
            "GET /kv/watch": self._watch,
        }

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

    async def _range(self, exchange: Exchange) -> dict[str, Any]:
        prefixes = _prefixes(exchange)
        items = [v for k, v in sorted(self._items.items()) if k.startswith(prefixes)]
        return {"revision": self.revision, "items": items}

    async def _txn(self, exchange: Exchange) -> dict[str, Any]:
        txn = msgspec.convert(exchange.json(), _Txn)
        for put in txn.put:
            if len(put.value) > MAX_VALUE_BYTES:
                raise HttpError(413, "value_too_large", f"{put.key} exceeds 1 MB")
            if put.lease and put.lease not in self._leases:
                raise HttpError(404, "lease_lost", f"no lease {put.lease}")
        held = {key: self._items.get(key) for key in txn.compare}
        for key, item in held.items():
            if (item.mod_revision if item else 0) != txn.compare[key]:
                current = [each for each in held.values() if each is not None]
                return {
                    "succeeded": False,
                    "revision": self.revision,
                    "current": current,
                }
        self._apply(txn.put, txn.delete)
        return {"succeeded": True, "revision": self.revision, "current": []}

    async def _lease_grant(self, exchange: Exchange) -> dict[str, Any]:
        request = msgspec.convert(exchange.json(), _LeaseRequest)
        ttl_s = request.ttl_ms / 1000
        lease = secrets.token_hex(8)
        self._leases[lease] = _Lease(ttl_s, self._clock() + ttl_s)
        return {"lease": lease}

    async def _lease_keepalive(self, exchange: Exchange) -> dict[str, Any]:
        request = msgspec.convert(exchange.json(), _LeaseRequest)
        lease = self._leases.get(request.lease)
        if lease is None:
            raise HttpError(404, "lease_lost", f"no lease {request.lease}")
        lease.expires_at = self._clock() + lease.ttl_s
        return {"lease": request.lease}

    async def _lease_revoke(self, exchange: Exchange) -> dict[str, Any]:
        request = msgspec.convert(exchange.json(), _LeaseRequest)
        if request.lease not in self._leases:
            raise HttpError(404, "lease_lost", f"no lease {request.lease}")
        self._end_lease(request.lease)
        return {"lease": request.lease}

    async def _watch(self, exchange: Exchange) -> dict[str, Any]:
        prefixes = _prefixes(exchange)
        after = _count(exchange, "after")
        wait_s = min(_count(exchange, "wait_ms") / 1000, MAX_WAIT_S)
        restores = self._restores
        with trio.move_on_after(wait_s):
            while self.revision >= after and not self._events(prefixes, after):
                await self._wait_change()
                await self._outage()
                if self._restores != restores:
                    # A restore restarts the service, which ends waiting calls.
                    raise HttpError(503, "restarted", "the service was restored")
        return {"revision": self.revision, "events": self._events(prefixes, after)}

    async def _wait_change(self) -> None:
        expiries = [each.expires_at for each in self._leases.values()]
        wait_s = max(0.0, min(expiries) - self._clock()) if expiries else MAX_WAIT_S
        with trio.move_on_after(wait_s):
            await self._changed.wait()
        self._expire()

    def _events(self, prefixes: tuple[str, ...], after: int) -> list[KeyEvent]:
        if after < self._compacted:
            raise HttpError(410, "compacted", f"revision {after} is no longer kept")
        found = []
        for event in reversed(self._log):
            if event.mod_revision <= after:
                break
            if event.key.startswith(prefixes):
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


def _prefixes(exchange: Exchange) -> tuple[str, ...]:
    query = parse_qs(urlsplit(exchange.target).query, keep_blank_values=True)
    return tuple(query.get("prefix", [""]))


def _count(exchange: Exchange, name: str) -> int:
    text = exchange.query.get(name, "0")
    if not text.isascii() or not text.isdigit() or len(text) > 16:
        raise HttpError(400, "malformed_request", f"{name} is not a count")
    return int(text)
