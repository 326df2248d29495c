"""Command line of foxtailctl."""

import enum
import hashlib
import sys
import time
from collections.abc import Iterable
from pathlib import Path

import typer

from foxtailcourse.ctl import _explain, _explain_now, _records, _show, _timeline
from foxtailcourse.ctl._errors import CtlError, ExitCode
from foxtailcourse.ctl._ini import InputErrors, parse_contracts, parse_services
from foxtailcourse.ctl._operator import Operator
from foxtailcourse.ctl._output import (
    ConnectionOptions,
    Result,
    input_error,
    read_text,
    run_command,
    run_entry_command,
    run_offline_command,
)
from foxtailcourse.ctl._wait import wait_in_force
from foxtailcourse.http import ConnectionPool
from foxtailcourse.observe import Event, EventFilter
from foxtailcourse.settings import Address

MAIN_HELP = """Operate a foxtailcourse installation.

A contract defines what a client account may use. A change is accepted by the
platform's key-value service and reaches all processes within seconds; --wait and
'wait' return when it has. Changes are compare-and-swap: if another operator has
changed the same record first, nothing is written and the difference is shown.

Begin with 'status'. To add a client account: 'key hash' prints the hash of its bearer
key, 'contract apply FILE' creates its contract.

Exit codes: 0 done; 1 failed; 2 bad input; 3 conflict with another operator's change;
4 platform or processes unreachable, nothing was written; 5 unknown outcome: a write
may have taken effect.
"""
JSON = typer.Option(False, "--json", help="Print the result as one JSON object.")
WAIT = typer.Option(
    0.0,
    "--wait",
    help="Wait up to this many seconds until the change is in force in all processes.",
)
DRY_RUN = typer.Option(False, "--dry-run", help="Show the difference, write nothing.")


class OutputFormat(enum.Enum):
    """Output format of a timeline."""

    TEXT = "text"
    JSON = "json"
    HTML = "html"


def _group(text: str) -> typer.Typer:
    return typer.Typer(help=text, no_args_is_help=True, rich_markup_mode=None)


app = typer.Typer(
    help=MAIN_HELP,
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    add_completion=False,
)
contract = _group("Contracts: limits, priority and share of each client account.")
backend = _group("Backend servers: take one out of service, or back in.")
stop = _group("Planned stops of VMs.")
service = _group("Plain services that the system routes to.")
weights = _group("Weights version of each model.")
key = _group("Bearer keys of client accounts.")
app.add_typer(contract, name="contract")
app.add_typer(backend, name="backend")
app.add_typer(stop, name="stop")
app.add_typer(service, name="service")
app.add_typer(weights, name="weights")
app.add_typer(key, name="key")


@app.callback()
def _connect(
    ctx: typer.Context,
    config: Path = typer.Option(
        None,
        envvar="FOXTAILCTL_CONFIG",
        help="INI file with a section [operator]: key_value and vm_list.",
    ),
    key_value: str = typer.Option(
        "", help="IP:PORT of the key-value service, in place of the file's."
    ),
    vm_list: str = typer.Option(
        "", help="IP:PORT of the VM list, in place of the file's."
    ),
) -> None:
    ctx.obj = ConnectionOptions(config, key_value, vm_list)


@contract.command("apply")
def contract_apply(
    ctx: typer.Context,
    file: Path = typer.Argument(help="INI file with [contract ACCOUNT] sections; -"),
    dry_run: bool = DRY_RUN,
    wait_s: float = WAIT,
    as_json: bool = JSON,
) -> None:
    """Create or change the contracts in FILE, all or none.

    The file must contain the complete contract: a key that it leaves out gets its
    default. If it has the 'generation' that 'contract get' wrote, applying fails with
    a conflict if the contract has changed since. '-' reads standard input.
    """

    async def apply(operator: Operator) -> Result:
        try:
            parsed = parse_contracts(read_text(file), str(file))
        except InputErrors as problems:
            raise input_error(f"{file} is not valid", problems) from None
        return await _records.apply_sections(
            operator, parsed, dry_run=dry_run, wait_s=wait_s
        )

    run_command(ctx, as_json, apply)


@contract.command("diff")
def contract_diff(
    ctx: typer.Context,
    file: Path = typer.Argument(help="INI file with [contract ACCOUNT] sections; -"),
    as_json: bool = JSON,
) -> None:
    """Show what 'contract apply FILE' would change; write nothing."""
    contract_apply(ctx, file, True, 0.0, as_json)


@contract.command("get")
def contract_get(ctx: typer.Context, account: str, as_json: bool = JSON) -> None:
    """Print a contract as a file for 'contract apply'."""
    run_command(ctx, as_json, lambda operator: _records.get_contract(operator, account))


@contract.command("list")
def contract_list(ctx: typer.Context, as_json: bool = JSON) -> None:
    """List all contracts."""
    run_command(ctx, as_json, _show.list_contracts)


@contract.command("delete")
def contract_delete(
    ctx: typer.Context, account: str, wait_s: float = WAIT, as_json: bool = JSON
) -> None:
    """Delete a contract; the account's requests are refused from then on."""
    run_command(
        ctx,
        as_json,
        lambda operator: _records.delete_contract(operator, account, wait_s),
    )


@backend.command("leave")
def backend_leave(
    ctx: typer.Context, vm: str, wait_s: float = WAIT, as_json: bool = JSON
) -> None:
    """Send no new requests to the backend server on VM; running requests finish."""
    _set_marker(ctx, as_json, _records.BACKENDS_PREFIX, vm, {"leaving": True}, wait_s)


@backend.command("return")
def backend_return(
    ctx: typer.Context, vm: str, wait_s: float = WAIT, as_json: bool = JSON
) -> None:
    """Send new requests to the backend server on VM again."""
    _set_marker(ctx, as_json, _records.BACKENDS_PREFIX, vm, None, wait_s)


@stop.command("announce")
def stop_announce(
    ctx: typer.Context, vm: str, wait_s: float = WAIT, as_json: bool = JSON
) -> None:
    """Announce that VM will be stopped; its processes finish their requests."""
    _set_marker(ctx, as_json, _records.STOPS_PREFIX, vm, {"announced": True}, wait_s)


@stop.command("cancel")
def stop_cancel(
    ctx: typer.Context, vm: str, wait_s: float = WAIT, as_json: bool = JSON
) -> None:
    """Cancel the announced stop of VM."""
    _set_marker(ctx, as_json, _records.STOPS_PREFIX, vm, None, wait_s)


def _set_marker(
    ctx: typer.Context,
    as_json: bool,
    prefix: str,
    vm: str,
    body: dict[str, bool] | None,
    wait_s: float,
) -> None:
    run_command(
        ctx,
        as_json,
        lambda operator: _records.set_vm_marker(operator, prefix, vm, body, wait_s),
    )


@service.command("apply")
def service_apply(
    ctx: typer.Context,
    file: Path = typer.Argument(help="INI file with [service ROUTE] sections; -"),
    dry_run: bool = DRY_RUN,
    wait_s: float = WAIT,
    as_json: bool = JSON,
) -> None:
    """Create or change the services in FILE, all or none."""

    async def apply(operator: Operator) -> Result:
        try:
            parsed = parse_services(read_text(file), str(file))
        except InputErrors as problems:
            raise input_error(f"{file} is not valid", problems) from None
        return await _records.apply_sections(
            operator, parsed, dry_run=dry_run, wait_s=wait_s
        )

    run_command(ctx, as_json, apply)


@service.command("list")
def service_list(ctx: typer.Context, as_json: bool = JSON) -> None:
    """List the services."""
    run_command(ctx, as_json, _show.list_services)


@weights.command("set")
def weights_set(
    ctx: typer.Context,
    model: str,
    version: str,
    min_in_service: int = typer.Option(
        None, min=0, help="Backend servers that stay in service while others load."
    ),
    wait_s: float = WAIT,
    as_json: bool = JSON,
) -> None:
    """Set the weights VERSION that all backend servers of MODEL should serve."""
    run_command(
        ctx,
        as_json,
        lambda operator: _records.set_weights(
            operator, model, version, min_in_service, wait_s
        ),
    )


@weights.command("show")
def weights_show(ctx: typer.Context, as_json: bool = JSON) -> None:
    """Show each model's desired version and what its backend servers serve."""
    run_command(ctx, as_json, _show.show_weights)


@app.command()
def status(ctx: typer.Context, as_json: bool = JSON) -> None:
    """Show all listed VMs and the configuration revision of their processes."""
    run_command(ctx, as_json, _show.show_status)


@app.command()
def wait(
    ctx: typer.Context,
    revision: int = typer.Option(
        None, min=1, help="Revision to wait for; the newest one if left out."
    ),
    timeout_s: float = typer.Option(30.0, "--timeout", help="Longest wait, seconds."),
    as_json: bool = JSON,
) -> None:
    """Wait until a revision is in force in the processes of all live VMs."""
    run_command(
        ctx, as_json, lambda operator: wait_in_force(operator, revision, timeout_s)
    )


@app.command()
def timeline(
    ctx: typer.Context,
    file: list[Path] = typer.Option(
        None,
        "--file",
        help="Log file; may be repeated. Without it, all processes are queried.",
    ),
    request: str = typer.Option("", help="Only this request identifier."),
    account: str = typer.Option("", help="Only this client account."),
    server: str = typer.Option("", help="Only this backend server."),
    since: str = typer.Option("", help="ISO 8601 time, or 90s, 5m, 2h before now."),
    until: str = typer.Option("", help="ISO 8601 time, or 90s, 5m, 2h before now."),
    form: OutputFormat = typer.Option(
        OutputFormat.TEXT, "--format", help="How to show the events."
    ),
    output: Path = typer.Option(None, help="Write to this file instead."),
    as_json: bool = JSON,
) -> None:
    """Show the events of all processes in causal order.

    Without --file the processes of all listed VMs are queried for their latest events.
    With --request only the events of one request are shown, from all processes.
    """

    def show(sources: Iterable[Iterable[Event]]) -> Result:
        now = time.time()
        event_filter = EventFilter(
            request_id=request,
            client_account=account,
            backend_server=server,
            since_ms=_timeline.parse_time(since, now),
            until_ms=_timeline.parse_time(until, now),
        )
        return _timeline.show_events(sources, event_filter, form.value, output)

    async def show_latest(operator: Operator) -> Result:
        return show(await _timeline.read_processes(operator))

    if file:
        run_offline_command(
            as_json, lambda: show([_timeline.read_log(each) for each in file])
        )
    else:
        run_command(ctx, as_json, show_latest)


@app.command()
def explain(
    ctx: typer.Context,
    request: str = typer.Argument("", help="Request identifier of one attempt."),
    file: list[Path] = typer.Argument(None, help="Log files of the processes."),
    entry: str = typer.Option(
        "",
        help="Ask this foxtail-ingress, by IP:PORT of its admin_listen or by VM.",
    ),
    route: str = typer.Option("", help="Name of the route."),
    host: str = typer.Option("", help="Host, in place of a route."),
    path: str = typer.Option("", help="Path, in place of a route."),
    account: str = typer.Option("", help="Name of the client account."),
    key: str = typer.Option(
        "", envvar="FOXTAILCTL_KEY", help="API key, in place of an account."
    ),
    model: str = typer.Option("", help="Model that the request asks for."),
    part: list[str] = typer.Option(
        None, help="Part of the prompt as ID:TOKENS; may be repeated, in order."
    ),
    output_tokens: int = typer.Option(0, min=0, help="Most tokens to generate."),
    headers: Path = typer.Option(
        None, help="File with a request line and header fields; - for standard input."
    ),
    as_json: bool = JSON,
) -> None:
    """Explain the outcome of one request from log files, or where one would go now.

    With --entry, a running entry is asked where a request would go now. The request is
    not sent, and nothing of the entry changes.
    """
    if entry:

        async def ask(pool: ConnectionPool, address: Address) -> Result:
            question = _explain_now.make_question(
                headers,
                route=route,
                host=host,
                path=path,
                account=account,
                key=key,
                model=model,
                parts=part or [],
                output_tokens=output_tokens,
            )
            return await _explain_now.explain_now(pool, address, question)

        run_entry_command(ctx, as_json, entry, ask)
        return

    def show() -> Result:
        if not request or not file:
            message = "give a request identifier and log files, or --entry"
            raise CtlError(ExitCode.BAD_INPUT, message)
        return _explain.explain_request(
            request, [_timeline.read_log(each) for each in file]
        )

    run_offline_command(as_json, show)


@key.command("hash")
def key_hash(as_json: bool = JSON) -> None:
    """Print the SHA-256 of a bearer key, for 'key_sha256' of a contract.

    The key is read from one line of standard input, so that it appears in no command
    line or history.
    """

    def hash_key() -> Result:
        bearer = sys.stdin.buffer.readline(65536).strip()
        if not bearer:
            raise CtlError(ExitCode.BAD_INPUT, "standard input contains no key")
        digest = hashlib.sha256(bearer).hexdigest()
        return Result({"key_sha256": digest}, [digest])

    run_offline_command(as_json, hash_key)
