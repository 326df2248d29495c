"""Stand-in of the platform's store: keys, leases, watches and transactions."""

import base64
import itertools
import json
import time

import trio

PREFIX = "/foxtailcourse/kv-"
MAX_WAIT_S = 30.0
PAGE_ITEMS = 500


class StoreError(Exception):
    """A call that is answered with an error status."""

    def __init__(self, status, body=None):
        super().__init__(status)
        self.status, self.body = status, body or {}


class Store:
    """The store, with its state in memory.

    ``outage`` is ``""``, ``"silent"`` (no call is answered) or ``"refuse"`` (503). The
    callable ``is_cut`` tells for the port of a caller whether it is turned away.
    """

    def __init__(self):
        self.revision = 1
        self.outage = ""
        self._items = {}
        self._events = []
        # Time to live and end by lease.
        self._leases = {}
        self._changed = trio.Event()
        self._lease_ids = itertools.count(1001)

    def put(self, key, value, lease=0):
        """Write a key as the operator or a backend server does."""
        self._commit([(key, value, lease)], [])

    def remove(self, key):
        """Remove a key as a backend server that has left does."""
        self._commit([], [key])

    def get(self, key):
        """Return the value of a key, or None."""
        self._expire()
        item = self._items.get(key)
        return item["value"] if item else None

    def wake(self):
        """Let the waiting watches see a change of the outage."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_available(self):
        """Wait until no outage is in progress."""
        while self.outage:
            await self._changed.wait()

    def _commit(self, puts, removed):
        self.revision += 1
        for key, value, lease in puts:
            former = self._items.get(key)
            created = former["created"] if former else self.revision
            self._items[key] = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self._events.append(dict(self._items[key]))
        for key in removed:
            if self._items.pop(key, None):
                event = {"key": key, "revision": self.revision, "removed": True}
                self._events.append(event)
        self.wake()

    def _expire(self):
        now = time.monotonic()
        for lease in [k for k, (_, end) in self._leases.items() if end <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        del self._leases[lease]
        keys = [k for k, item in self._items.items() if item["lease"] == lease]
        if keys:
            self._commit([], keys)

    # HTTP

    async def handle(self, exchange):
        await self._apply_outage(exchange)
        self._expire()
        try:
            result = await self._call(exchange)
        except StoreError as exc:
            await exchange.respond_json(exc.status, exc.body)
        else:
            await exchange.respond_json(200, result)

    async def _apply_outage(self, exchange):
        if self.outage == "silent":
            # The answer is lost with its connection.
            await trio.sleep_forever()
        if self.outage == "refuse":
            await exchange.respond_json(503, {})
            await trio.sleep_forever()

    async def _call(self, exchange):
        call = exchange.path.removeprefix(PREFIX)
        name, _, ident = call.partition("/")
        if name == "range":
            return self._range(exchange.query)
        if name == "watch":
            return await self._watch(exchange)
        if name == "key":
            item = self._items.get(exchange.query.get("key", ""))
            if item is None:
                raise StoreError(404)
            return _encoded(item) | {"asOf": self.revision}
        if name == "txn":
            return self._txn(json.loads(exchange.body))
        if name == "lease":
            ttl_ms = json.loads(exchange.body)["ttlMs"]
            lease = next(self._lease_ids)
            self._leases[lease] = ttl_ms / 1000, time.monotonic() + ttl_ms / 1000
            return {"lease": lease, "ttlMs": ttl_ms}
        if name in {"keep", "lease-end"} and ident.isdigit():
            lease = int(ident)
            if lease not in self._leases:
                raise StoreError(404)
            if name == "lease-end":
                self._end_lease(lease)
                return {}
            ttl_s, _ = self._leases[lease]
            self._leases[lease] = ttl_s, time.monotonic() + ttl_s
            return {"ttlMs": int(1000 * ttl_s)}
        raise StoreError(404)

    def _range(self, query):
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = [k for k in sorted(self._items) if k.startswith(prefix) and k > after]
        items = [_encoded(self._items[key]) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return {"asOf": self.revision, "items": items, "hasMore": more}

    async def _watch(self, exchange):
        prefix = exchange.query.get("pathPrefix", "")
        after = int(exchange.query.get("after", "0"))
        wait_s = min(MAX_WAIT_S, int(exchange.query.get("waitMs", "0")) / 1000)
        if after > self.revision:
            raise StoreError(410)
        with trio.move_on_after(wait_s):
            while not self._found(prefix, after):
                with trio.move_on_after(0.1):
                    await self._changed.wait()
                self._expire()
                await self._apply_outage(exchange)
        return {"asOf": self.revision, "events": self._found(prefix, after)}

    def _found(self, prefix, after):
        events = []
        for event in reversed(self._events):
            if event["revision"] <= after:
                break
            if event["key"].startswith(prefix):
                events.append(_encoded(event))
        return events[::-1]

    def _txn(self, txn):
        puts = [
            (each["key"], base64.b64decode(each["value"]), each.get("lease") or 0)
            for each in txn.get("puts", ())
        ]
        if any(lease and lease not in self._leases for _, _, lease in puts):
            raise StoreError(404)
        rows = txn.get("precondition", ())
        current = [
            self._items.get(row["key"], {"key": row["key"], "revision": 0})
            for row in rows
        ]
        if any(
            item["revision"] != row["revision"]
            for item, row in zip(current, rows, strict=True)
        ):
            raise StoreError(412, {"items": [_encoded(item) for item in current]})
        self._commit(puts, txn.get("remove", ()))
        return {"revision": self.revision}


def _encoded(item):
    if "value" not in item:
        return item
    return item | {"value": base64.b64encode(item["value"]).decode()}
