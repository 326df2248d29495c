"""``foxtail-standin``: all stand-ins in one process."""

import json
from functools import partial
from pathlib import Path
from typing import TypeAlias

import attrs
import trio

from foxtailcourse.config import Record, Vm
from foxtailcourse.http import Handler
from foxtailcourse.process import AdminServer, Daemon, Readiness, start_daemon
from foxtailcourse.settings import Address, section, setting
from foxtailcourse.standin._engine import EngineOptions, EngineStandin
from foxtailcourse.standin._kv_store import KvStoreStandin
from foxtailcourse.standin._lines import (
    StandinLine,
    parse_line,
    parse_lines,
    parse_vm,
)
from foxtailcourse.standin._platform import PlatformStandin
from foxtailcourse.standin._serve import serve_handler
from foxtailcourse.standin._service import ServiceOptions, ServiceStandin
from foxtailcourse.standin._weights import WeightStoreStandin

EngineLine: TypeAlias = StandinLine[EngineOptions]
ServiceLine: TypeAlias = StandinLine[ServiceOptions]


@section("standin")
class StandinSettings:
    """Which stand-ins run, and where."""

    engines: tuple[EngineLine, ...] = setting(
        tuple[EngineLine, ...],
        (),
        parse=partial(parse_lines, partial(parse_line, EngineOptions)),
        description="Engines, one a line: IP:PORT model=NAME and further options "
        "of EngineOptions.",
    )
    services: tuple[ServiceLine, ...] = setting(
        tuple[ServiceLine, ...],
        (),
        parse=partial(parse_lines, partial(parse_line, ServiceOptions)),
        description="Plain services, one a line: IP:PORT route=NAME and further "
        "options of ServiceOptions.",
    )
    platform: tuple[Address, ...] = setting(
        tuple[Address, ...],
        (),
        description="Address of the platform: key-value service and VM list.",
    )
    vms: tuple[Vm, ...] = setting(
        tuple[Vm, ...],
        (),
        parse=partial(parse_lines, parse_vm),
        description="VM list, one VM a line: vm=NAME failure_domain=NAME "
        "role=entry|agent listen=IP:PORT control=IP:PORT admin=IP:PORT serves=NAME.",
    )
    records_file: str = setting(
        str,
        "",
        description="JSON file with the first configuration: record bodies by key.",
    )
    kv_store: tuple[Address, ...] = setting(
        tuple[Address, ...], (), description="Address of the KV-cache store."
    )
    weight_store: tuple[Address, ...] = setting(
        tuple[Address, ...], (), description="Address of the weight store."
    )
    weight_load_s: float = setting(
        float,
        2.0,
        description="Time of one weights load at full speed.",
        unit="seconds",
        minimum=0,
    )


def build_handlers(cfg: StandinSettings) -> list[tuple[Address, Handler]]:
    """Return each stand-in's address and handler."""
    handlers: list[tuple[Address, Handler]] = []
    kv_store = cfg.kv_store[0] if cfg.kv_store else None
    weight_store = cfg.weight_store[0] if cfg.weight_store else None
    for engine in cfg.engines:
        options = attrs.evolve(
            engine.options,
            kv_store=engine.options.kv_store or kv_store,
            weight_store=engine.options.weight_store or weight_store,
        )
        handlers.append((engine.address, EngineStandin(options).handle))
    for service in cfg.services:
        handlers.append((service.address, ServiceStandin(service.options).handle))
    if kv_store is not None:
        handlers.append((kv_store, KvStoreStandin().handle))
    if weight_store is not None:
        handlers.append((weight_store, WeightStoreStandin(cfg.weight_load_s).handle))
    if cfg.platform:
        handlers.append((cfg.platform[0], build_platform(cfg).handler))
    return handlers


def build_platform(cfg: StandinSettings) -> PlatformStandin:
    """Return the platform with the VMs and records of the settings."""
    platform = PlatformStandin()
    platform.set_vms(cfg.vms)
    if cfg.records_file:
        bodies = json.loads(Path(cfg.records_file).read_text(encoding="utf-8"))
        platform.seed(
            Record(key=key, generation=1, write_id="seed", body=body)
            for key, body in bodies.items()
        )
    return platform


async def serve(daemon: Daemon, cfg: StandinSettings) -> None:
    """Serve all stand-ins until stopped."""
    admin = AdminServer(
        daemon.events, daemon.metrics, lambda: Readiness(True), lambda: {}
    )
    async with trio.open_nursery() as nursery:
        for address, handler in build_handlers(cfg):
            start = partial(serve_handler, handler, address)
            bound = await nursery.start(start)
            daemon.events.emit("standin_listening", address=bound)
        await nursery.start(admin.serve, daemon.cfg.admin_listen)
        daemon.events.emit("process_ready")
        await daemon.stopping.wait()
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run ``foxtail-standin``."""
    start_daemon("foxtail-standin", [StandinSettings], serve)


if __name__ == "__main__":
    main()
