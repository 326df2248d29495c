"""Orders that the engine stand-in accepts."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from foxtailcourse.http import ClientError, HttpError, RequestOptions
from foxtailcourse.settings import Address

if TYPE_CHECKING:
    from foxtailcourse.standin._engine import EngineStandin

STORE_TIMEOUT_S = 60.0


class OrderBook:
    """Executes orders one at a time and remembers the highest fencing number.

    The number is lost with a crash, as it is in engines without a disk.
    """

    def __init__(self, engine: "EngineStandin") -> None:
        self._engine = engine
        self._lock = trio.Lock()
        self.highest = 0
        self.executed: list[dict[str, Any]] = []
        self.lose_replies = 0

    def forget(self) -> None:
        """Forget the highest number, as a crash does."""
        self.highest = 0

    async def execute(self, order: Mapping[str, Any]) -> dict[str, Any]:
        """Execute an order; raises HttpError if it is old or malformed."""
        handlers = {
            "load": self._load,
            "role": self._role,
            "export": self._export,
            "import": self._import,
        }
        handler = handlers.get(str(order.get("kind", "")))
        if handler is None:
            raise HttpError(400, "unknown_order", "no such kind of order")
        async with self._lock:
            self._check_fencing(order)
            result = await handler(order)
            self.executed.append(dict(order))
        return result | {"incarnation": self._engine.incarnation}

    def _check_fencing(self, order: Mapping[str, Any]) -> None:
        if "fencing" not in order:
            return
        fencing = int(order["fencing"])
        if self._engine.options.checks_fencing and fencing < self.highest:
            message = f"fencing number {fencing} is below {self.highest}"
            raise HttpError(409, "old_fencing_number", message)
        self.highest = max(self.highest, fencing)

    async def _load(self, order: Mapping[str, Any]) -> dict[str, Any]:
        engine = self._engine
        adapter = str(order.get("adapter", ""))
        if adapter:
            await self._fetch(f"/weights/{adapter}/{order.get('version', '')}")
            engine.adapters.add(adapter)
            return {"adapters": sorted(engine.adapters)}
        version = str(order["version"])
        if version != engine.version:
            await self._fetch(f"/weights/{engine.options.model}/{version}")
            engine.replace_weights(version)
        return {"weights_version": engine.version}

    async def _role(self, order: Mapping[str, Any]) -> dict[str, Any]:
        self._engine.role = str(order["role"])
        return {"role": self._engine.role}

    async def _export(self, order: Mapping[str, Any]) -> dict[str, Any]:
        salt, keys = str(order["salt"]), [bytes.fromhex(k) for k in order["keys"]]
        held = keys[: self._engine.cache.match(salt, keys)]
        body = {"salt": salt, "keys": [key.hex() for key in held]}
        await self._call(self._engine.options.kv_store, "POST", "/put", body)
        return {"exported": len(held)}

    async def _import(self, order: Mapping[str, Any]) -> dict[str, Any]:
        salt, keys = str(order["salt"]), [bytes.fromhex(k) for k in order["keys"]]
        body = {"salt": salt, "keys": [key.hex() for key in keys]}
        store = self._engine.options.kv_store
        answer = await self._call(store, "POST", "/get", body)
        found = keys[: int(answer["held"])]
        self._engine.store_blocks(salt, found)
        return {"imported": len(found)}

    async def _fetch(self, target: str) -> None:
        if self._engine.options.weight_store is not None:
            await self._call(self._engine.options.weight_store, "GET", target, {})

    async def _call(
        self, address: Address | None, method: str, target: str, body: object
    ) -> Any:
        if address is None:
            raise HttpError(503, "no_store", "this engine has no such store")
        options = RequestOptions(idle_timeout_s=STORE_TIMEOUT_S)
        data = msgspec.json.encode(body)
        try:
            async with self._engine.pool.request(
                address, method, target, body=data, options=options
            ) as response:
                return await response.json()
        except ClientError as exc:
            raise HttpError(502, "store_failed", str(exc)) from exc
