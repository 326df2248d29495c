"""Start of a daemon: settings, log, signals."""

import signal
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import attrs
import trio
import typer
from absl import logging

from foxtailcourse.observe import EventLog, HybridClock, Metrics
from foxtailcourse.settings import (
    Address,
    SettingsErrors,
    load_settings,
    render_sample,
    section,
    setting,
)

EXIT_BAD_SETTINGS = 2


@section("process")
class ProcessSettings:
    """Settings that every daemon has."""

    vm: str = setting(str, description="Name of the VM this process runs on.")
    failure_domain: str = setting(str, description="Failure domain of the VM.")
    admin_listen: Address = setting(
        Address, description="Address for health, metrics, status and time line."
    )
    log_level: str = setting(
        str,
        "info",
        description="Lowest level of the lines written to standard error.",
        choices=("debug", "info", "warning", "error"),
    )
    drain_grace_s: float = setting(
        float,
        2.0,
        description="Time for the load balancer and the entries to notice a stop, "
        "while new requests are still served.",
        unit="seconds",
        minimum=0,
    )
    drain_limit_s: float = setting(
        float,
        600.0,
        description="Longest time for requests to finish after the grace time.",
        unit="seconds",
        minimum=0,
    )


@attrs.define
class Daemon:
    """What a daemon gets at its start.

    Parameters
    ----------
    cfg : ProcessSettings
        The settings that every daemon has.
    events : EventLog
        Event log of the process.
    metrics : Metrics
        Metrics of the process.
    stopping : trio.Event
        Set by SIGTERM or SIGINT; the daemon then drains and returns.
    """

    cfg: ProcessSettings
    events: EventLog
    metrics: Metrics
    stopping: trio.Event

    async def drain(self, active: Callable[[], int]) -> bool:
        """Wait out the grace time, then until no request is active.

        Parameters
        ----------
        active : callable
            Returns the number of requests in progress.

        Returns
        -------
        bool
            Whether all finished within the limit.
        """
        self.events.emit("drain_started", active=active())
        await trio.sleep(self.cfg.drain_grace_s)
        with trio.move_on_after(self.cfg.drain_limit_s):
            while active():  # noqa: ASYNC110 - several servers count into it
                await trio.sleep(0.02)
        self.events.emit("drain_ended", active=active())
        return active() == 0


Serve = Callable[..., Awaitable[None]]


def _report(problems: SettingsErrors) -> None:
    for problem in problems.exceptions:
        print(f"error: {problem}", file=sys.stderr)


def start_daemon(name: str, classes: Sequence[type], serve: Serve) -> None:
    """Run the command line of a daemon.

    Parameters
    ----------
    name : str
        Name of the program.
    classes : sequence of type
        Settings classes besides ProcessSettings.
    serve : coroutine function
        Called with a Daemon and one settings instance for each class; it returns
        once the daemon has drained.
    """
    sections = (ProcessSettings, *classes)

    def run(
        config: Path = typer.Option(None, help="INI file with the settings."),
        check: bool = typer.Option(False, "--check", help="Check the settings, exit."),
        sample: bool = typer.Option(
            False, "--sample", help="Print a commented sample."
        ),
    ) -> None:
        if sample:
            print(render_sample(sections))
            return
        if config is None:
            print("error: --config is required", file=sys.stderr)
            raise typer.Exit(EXIT_BAD_SETTINGS)
        try:
            process_cfg, *rest = load_settings(config, sections)
        except SettingsErrors as problems:
            _report(problems)
            raise typer.Exit(EXIT_BAD_SETTINGS) from None
        if check:
            print(f"{config}: settings are valid")
            return
        logging.use_absl_handler()
        logging.set_verbosity(process_cfg.log_level)
        trio.run(_serve, name, process_cfg, serve, rest)

    run.__doc__ = f"Run {name} with the settings of one INI file."
    typer.run(run)


async def _serve(
    name: str, process_cfg: ProcessSettings, serve: Serve, rest: Sequence[Any]
) -> None:
    clock = HybridClock(time.time)
    events = EventLog(f"{name}/{process_cfg.vm}", clock)
    daemon = Daemon(process_cfg, events, Metrics(), trio.Event())
    async with trio.open_nursery() as nursery:
        await nursery.start(_watch_signals, daemon)
        await serve(daemon, *rest)
        nursery.cancel_scope.cancel()
    events.emit("process_stopped")


async def _watch_signals(
    daemon: Daemon, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        task_status.started()
        async for signum in received:
            daemon.events.emit("stop_requested", signal=signal.Signals(signum).name)
            daemon.stopping.set()
