"""Stand-in of the platform's metadata store, by PROTOCOL.md."""

import asyncio
import base64
import itertools
import json
import time

from http11 import Server

PAGE_ITEMS = 500
MAX_WATCH_S = 30.0


class Store:
    """Keys with revisions, leases and watches.

    ``lose_answer`` is called with each call and its result once it has been executed;
    if it returns true, the answer is lost, and the connection returns nothing further.
    ``calls`` counts the calls by name, and ``lost`` has the lost ones with their times.
    """

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.calls = {}
        self.lost = []
        self.answered_at = []
        self.lose_answer = lambda name, request, result: False
        self._ids = itertools.count(1001)
        self._history = []
        self._changed = asyncio.Event()
        self._server = Server(self._handle)
        self._expiry = None

    @property
    def address(self):
        """Address as IP:PORT."""
        return self._server.address

    async def start(self):
        """Open the listener."""
        await self._server.start()
        self._expiry = asyncio.ensure_future(self._expire())

    # Operator and workers

    def put(self, key, value, lease=0):
        """Write a key; return when the store accepted it, in monotonic seconds."""
        self._apply([(key, value, lease)], [])
        return time.monotonic()

    def put_json(self, key, value):
        """Write a JSON value; returns as ``put`` does."""
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        """Remove a key; returns as ``put`` does."""
        self._apply([], [key])
        return time.monotonic()

    def get(self, key):
        """Return the value of a key, or None."""
        item = self.items.get(key)
        return None if item is None else item[0]

    # Calls

    async def _handle(self, request):
        path = request.path.removeprefix("/foxtailcourse/kv-")
        name, _, argument = path.partition("/")
        self.calls[name] = self.calls.get(name, 0) + 1
        operation = getattr(self, f"_call_{name.replace('-', '_')}", None)
        if operation is None:
            await request.respond_json(404, {})
            return
        status, value = await operation(request, argument)
        if self.lose_answer(name, request, (status, value)):
            self.lost.append((time.monotonic(), name))
            await asyncio.Event().wait()
        self.answered_at.append(time.monotonic())
        await request.respond_json(status, value, {"store-era": "1"})

    async def _call_key(self, request, _):
        key = request.query.get("key", "")
        if key not in self.items:
            return 404, {}
        return 200, self._item(key) | {"asOf": self.revision}

    async def _call_range(self, request, _):
        prefix = request.query.get("pathPrefix", "")
        after = request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self._item(each) for each in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"asOf": self.revision, "items": page, "hasMore": more}

    async def _call_watch(self, request, _):
        prefix, after = request.query.get("pathPrefix", ""), request.query["after"]
        wait_s = min(MAX_WATCH_S, int(request.query.get("waitMs", "0")) / 1000)
        ends_at = time.monotonic() + wait_s
        while not (events := self._events(prefix, int(after))):
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        return 200, {"asOf": self.revision, "events": events}

    async def _call_txn(self, request, _):
        txn = request.json()
        puts = [
            (each["key"], base64.b64decode(each["value"]), each.get("lease", 0))
            for each in txn.get("puts", [])
        ]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        conditions = txn.get("precondition", [])
        current = [
            self._item(each["key"])
            if each["key"] in self.items
            else {"key": each["key"], "revision": 0}
            for each in conditions
        ]
        for wanted, present in zip(conditions, current, strict=True):
            if wanted["revision"] != present["revision"]:
                return 412, {"items": current}
        self._apply(puts, txn.get("remove", []))
        return 200, {"revision": self.revision}

    async def _call_lease(self, request, _):
        ttl_s = request.json()["ttlMs"] / 1000
        lease = next(self._ids)
        self.leases[lease] = [ttl_s, time.monotonic() + ttl_s]
        return 200, {"lease": lease, "ttlMs": int(ttl_s * 1000)}

    async def _call_keep(self, request, lease):
        held = self.leases.get(int(lease))
        if held is None:
            return 404, {}
        held[1] = time.monotonic() + held[0]
        return 200, {"ttlMs": int(held[0] * 1000)}

    async def _call_lease_end(self, request, lease):
        if int(lease) not in self.leases:
            return 404, {}
        self._end_lease(int(lease))
        return 200, {}

    # State

    def _item(self, key):
        value, revision, created, lease = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": lease,
        }

    def _events(self, prefix, after):
        found = []
        for revision, event in reversed(self._history):
            if revision <= after:
                break
            if event["key"].startswith(prefix):
                found.append(event)
        return found[::-1]

    def _apply(self, puts, removed):
        self.revision += 1
        for key, value, lease in puts:
            known = self.items.get(key)
            created = known[2] if known else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self._history.append((self.revision, self._item(key)))
        for key in removed:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "removed": True}
                self._history.append((self.revision, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self._apply([], keys)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] <= now]:
                self._end_lease(lease)
