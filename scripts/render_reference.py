"""Write the reference pages that are generated from the code.

``docs/settings.md`` is generated from the declared settings; ``docs/events.md``,
``docs/metrics.md`` and ``docs/refusals.md`` from the catalogue, which must list exactly
the names that the source uses. With ``--check`` no page is written, and the exit status
is 1 if a page or the catalogue is out of date.
"""

import ast
import sys
from collections.abc import Iterator
from pathlib import Path

from foxtailcourse.agent.run import SECTIONS as AGENT_SECTIONS
from foxtailcourse.entry.run import SECTIONS as ENTRY_SECTIONS
from foxtailcourse.ingress.run import SECTIONS as INGRESS_SECTIONS
from foxtailcourse.observe import catalogue
from foxtailcourse.process import ProcessSettings
from foxtailcourse.settings import render_reference
from foxtailcourse.standin.run import SECTIONS as STANDIN_SECTIONS

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src" / "foxtailcourse"
PROGRAMS = {
    "foxtail-entry": ENTRY_SECTIONS,
    "foxtail-ingress": INGRESS_SECTIONS,
    "foxtail-agent": AGENT_SECTIONS,
    "foxtail-standin": STANDIN_SECTIONS,
}
# Names of functions and methods, each with the position of the argument that is an
# event, a metric or a code.
EVENT_CALLS = {"emit": 0, "_emit": 0, "_pause": 0}
METRIC_CALLS = {"count": 0, "gauge": 0, "observe_s": 0}
ATTEMPT_CALLS = {"AttemptBroken": 0}
CODE_CALLS = {
    "HttpError": 1,
    "refusal": 2,
    "_unknown": 0,
    "Refusal": 0,
    "_refuse": 0,
}
# Packages whose codes do not reach callers.
INTERNAL_PACKAGES = ("standin", "emulator", "ctl")


def _constant_arguments(tree: ast.AST, positions: dict[str, int]) -> Iterator[str]:
    """Yield the constant text at the given position of each call of the functions.

    Parameters
    ----------
    tree : ast.AST
        Syntax tree of a module.
    positions : dict of str to int
        Position of the argument by function name, one of the tables above. Error codes
        may also be given by the keyword ``code``.
    """
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        name = getattr(node.func, "attr", getattr(node.func, "id", ""))
        if name not in positions:
            continue
        keywords = {each.arg: each.value for each in node.keywords}
        value = keywords.get("code") if positions is CODE_CALLS else None
        if value is None and len(node.args) > positions[name]:
            value = node.args[positions[name]]
        if value is not None:
            yield from _texts(value)


def _texts(value: ast.expr) -> Iterator[str]:
    """Yield a constant text, or those of a conditional expression."""
    if isinstance(value, ast.Constant) and isinstance(value.value, str):
        yield value.value
    elif isinstance(value, ast.IfExp):
        yield from _texts(value.body)
        yield from _texts(value.orelse)


def used_names() -> dict[str, set[str]]:
    """Return the names of events, metrics and codes that the source uses, by kind."""
    events: set[str] = set()
    metrics: set[str] = set()
    codes: set[str] = set()
    attempts: set[str] = set()
    for path in sorted(SOURCE.rglob("*.py")):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        events |= set(_constant_arguments(tree, EVENT_CALLS))
        names = _constant_arguments(tree, METRIC_CALLS)
        metrics |= {each for each in names if each.startswith("foxtail")}
        if path.relative_to(SOURCE).parts[0] not in INTERNAL_PACKAGES:
            codes |= set(_constant_arguments(tree, CODE_CALLS))
            attempts |= set(_constant_arguments(tree, ATTEMPT_CALLS))
    return {
        "event": events,
        "metric": metrics,
        "error code": codes,
        "attempt code": attempts,
    }


def event_fields() -> dict[str, set[str]]:
    """Return the names of the fields that the source logs with each event."""
    fields: dict[str, set[str]] = {}
    for path in sorted(SOURCE.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            if name not in EVENT_CALLS:
                continue
            keywords = {each.arg for each in node.keywords if each.arg}
            for event in _texts(node.args[0]):
                fields.setdefault(event, set()).update(keywords)
    return fields


def _events_page(intro: str) -> str:
    """Return the page of log events with their fields."""
    fields = event_fields()
    lines = ["# Log events", "", intro, "", "| event | meaning | fields |"]
    lines.append("| --- | --- | --- |")
    for name in sorted(catalogue.EVENTS):
        listed = ", ".join(f"`{each}`" for each in sorted(fields.get(name, ()))) or "-"
        lines.append(f"| `{name}` | {catalogue.EVENTS[name]} | {listed} |")
    return "\n".join(lines) + "\n"


def _reference_page(title: str, intro: str, column: str, rows: dict[str, str]) -> str:
    """Return a page with a table of names and meanings."""
    lines = [f"# {title}", "", intro, "", f"| {column} | meaning |", "| --- | --- |"]
    lines += [f"| `{name}` | {rows[name]} |" for name in sorted(rows)]
    return "\n".join(lines) + "\n"


def render_pages() -> dict[str, str]:
    """Return the text of each generated page by its path below the root."""
    settings = [
        "# Settings",
        "",
        "Derived from the declarations by `scripts/render_reference.py`. `--check` of",
        "each program validates a file and reports every problem at once; `--sample`",
        "prints a commented file.",
        "",
    ]
    for program, sections in PROGRAMS.items():
        settings += [f"## {program}", ""]
        settings.append(render_reference((ProcessSettings, *sections)))
    return {
        "docs/settings.md": "\n".join(settings),
        "docs/events.md": _events_page(
            "Each line of the log is one event in key=value pairs: `clock`, `process`, "
            "`event`, then its fields; a field without a value is left out. "
            "`foxtailctl timeline` merges them."
        )
        + _reference_page(
            "Codes of broken attempts",
            "The field `code` of `attempt_broken`. The caller sees the outcome of all "
            "attempts together, not these codes.",
            "code",
            catalogue.ATTEMPT_CODES,
        ).replace("# Codes", "\n## Codes", 1),
        "docs/metrics.md": _reference_page(
            "Metrics",
            "Served in the Prometheus text format at `/metrics` of `admin_listen`.",
            "metric",
            catalogue.METRICS,
        ),
        "docs/refusals.md": _reference_page(
            "Error codes",
            "The field `error.code` of an error response. The header `foxtail-verdict` "
            "says whether the request may have run; with `not-run` it did not and will "
            "not because of this submission. `retry-after` and "
            "`foxtail-retry-after-ms` say when to retry; a refusal is final and is "
            "sent at once.",
            "code",
            catalogue.ERROR_CODES,
        )
        + _reference_page(
            "Reasons of the ingress",
            "The body of an error response of `foxtail-ingress`, and the field "
            "`reason` of its events. A request that is refused (429 or 503) has not "
            "run and will not run.",
            "reason",
            catalogue.REASONS,
        ).replace("# Reasons", "\n## Reasons", 1),
    }


def find_problems() -> list[str]:
    """Return the differences of catalogue, source and pages, one sentence each."""
    problems = []
    used = used_names()
    catalogued = {
        "event": set(catalogue.EVENTS),
        "metric": set(catalogue.METRICS),
        "error code": set(catalogue.ERROR_CODES),
        "attempt code": set(catalogue.ATTEMPT_CODES),
    }
    for kind, names in catalogued.items():
        problems += [
            f"{kind} {each} is missing in the catalogue" for each in used[kind] - names
        ]
        unused = names - used[kind] - catalogue.RUN_TIME_NAMES
        problems += [
            f"{kind} {each} is in the catalogue but not used" for each in unused
        ]
    for path, text in render_pages().items():
        page = ROOT / path
        if not page.exists() or page.read_text(encoding="utf-8") != text:
            problems.append(f"{path} is out of date; run scripts/render_reference.py")
    return sorted(problems)


def main() -> None:
    """Write the pages unless ``--check`` is given; exit 1 if there is a problem."""
    if "--check" not in sys.argv[1:]:
        for path, text in render_pages().items():
            (ROOT / path).write_text(text, encoding="utf-8")
    problems = find_problems()
    print("\n".join(problems) or "reference pages are up to date")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
