"""Run the whole system on loopback addresses and print a summary."""

import argparse
import sys
import tempfile
import time
from collections import Counter

import trio
from fleet import Fleet, guardaroba_layout
from traffic import ACCOUNTS, Callers, demo_records

# Mean rates by the method of Callers that sends the request.
RATES_PER_S = {
    "short_question": 30.0,
    "ledger_review": 1.5,
    "coat_return": 4.0,
    "availability_lookup": 8.0,
}
START_TIMEOUT_S = 120.0
# For responses in flight and the shutdown, after the time of the traffic.
FINISH_TIMEOUT_S = 300.0


def percentile(values, fraction):
    """Return the value at a fraction, from 0 to 1, of the sorted values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def print_requests(callers):
    """Print the numbers of requests sent, completed and refused, by kind."""
    print(f"\n{'request':<22}{'sent':>6}{'whole':>7}{'refused':>9}{'broken':>8}")
    for name, stats in sorted(callers.stats.items()):
        refused = sum(stats.refused.values())
        print(f"{name:<22}{stats.sent:>6}{stats.ok:>7}{refused:>9}{stats.broken:>8}")


def print_first_token(callers):
    """Print the times to first token, the hit rate and its bound, by kind."""
    head = f"\n{'time to first token':<22}{'p50':>6}{'p95':>7}{'p99':>9}"
    print(f"{head}{'hit rate':>10}   (at most)")
    for name, stats in sorted(callers.stats.items()):
        if stats.ttft_s:
            times = [1000 * percentile(stats.ttft_s, p) for p in (0.5, 0.95, 0.99)]
            hit_rate, bound = (
                each / max(1, stats.prompt_tokens)
                for each in (stats.cached_tokens, stats.repeated_tokens)
            )
            line = f"{name:<22}{times[0]:>6.0f}{times[1]:>7.0f}{times[2]:>6.0f} ms"
            print(f"{line}{hit_rate:>10.0%}{bound:>11.0%}")


def print_refusals(callers):
    """Print the refusals of all requests by code."""
    total = Counter()
    for stats in callers.stats.values():
        total += stats.refused
    print("\nrefusals by code" if total else "\nrefusals by code: none")
    for code, count in total.most_common():
        print(f"  {count:>5}  {code}")


def check_returns(callers, runs):
    """Print a summary of the coat returns and check their runs against the responses.

    A coat return may run once at most, exactly once if it was answered, and not at all
    if all its submissions were answered with ``not-run``.

    Parameters
    ----------
    callers : Callers
        The callers that sent them.
    runs : dict of str to int
        Number of runs by coat, as the services counted them.

    Returns
    -------
    violations : list of str
        Descriptions of the coats that break these rules.
    """
    violations = [f"coat {coat} ran {n} times" for coat, n in runs.items() if n != 1]
    missing = [coat for coat in callers.returned_coats if coat not in runs]
    violations += [f"coat {coat} was answered but did not run" for coat in missing]
    unexpected = [
        e
        for e in runs
        if e not in callers.returned_coats and e not in callers.unknown_coats
    ]
    violations += [f"coat {coat} ran but was answered not-run" for coat in unexpected]
    once = sum(count == 1 for count in runs.values())
    print(
        f"\ncoat returns: {len(callers.returned_coats)} answered,"
        f" {once} ran exactly once,",
        end="",
    )
    print(f" {sum(count > 1 for count in runs.values())} ran twice", end="")
    print(f", {len(callers.unknown_coats)} with unknown outcome")
    return violations


async def run_demo(seconds, seed):
    """Run the demo and return the descriptions of all violations."""
    with tempfile.TemporaryDirectory(prefix="foxtail-demo-") as folder:
        fleet = Fleet(folder, guardaroba_layout())
        async with trio.open_nursery() as nursery:
            started_at = time.monotonic()
            with trio.fail_after(START_TIMEOUT_S):
                await fleet.start(nursery, demo_records())
                await fleet.wait_configured()
            n_entries, n_agents = len(fleet.entries()), len(fleet.agents())
            print(
                f"Guardaroba: {n_entries} entries, {n_agents} agents in 3 failure",
                end="",
            )
            print(f" domains, {len(ACCOUNTS)} contracts; ready after", end="")
            print(f" {time.monotonic() - started_at:.1f} s; {seconds:.0f} s of traffic")
            callers = Callers([each.listen for each in fleet.entries()], seed)
            with trio.fail_after(FINISH_TIMEOUT_S + seconds):
                await callers.run(seconds, RATES_PER_S)
                runs = await fleet.run_counts("counter")
                await callers.pool.aclose()
                exit_codes = await fleet.stop()
            print_requests(callers)
            print_first_token(callers)
            print_refusals(callers)
            violations = check_returns(callers, runs)
            for stats in callers.stats.values():
                violations += stats.violations
            nursery.cancel_scope.cancel()
    clean = sum(code == 0 for code in exit_codes.values())
    print(f"stopped: {clean} of {len(exit_codes)} programs exited with 0 after SIGTERM")
    violations += [
        f"{name} exited with {code}" for name, code in exit_codes.items() if code
    ]
    return violations


def main():
    """Parse the command line and run the demo; exit 1 if a violation was found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0, help="traffic time")
    parser.add_argument("--seed", type=int, default=1, help="seed of the traffic")
    args = parser.parse_args()
    violations = trio.run(run_demo, args.seconds, args.seed)
    for violation in violations:
        print(f"WRONG: {violation}")
    print(
        "demo failed"
        if violations
        else "demo passed: every answer was whole and in order"
    )
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
