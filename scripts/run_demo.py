"""Run the whole system on loopback addresses and print a summary."""

import argparse
import sys
import tempfile
import time
from collections import Counter

import trio
from fleet import Fleet, guardaroba_layout
from traffic import ACCOUNTS, Callers, demo_records

RATES_PER_S = {
    "short_question": 30.0,
    "ledger_review": 1.5,
    "coat_return": 4.0,
    "availability_lookup": 8.0,
}
START_LIMIT_S = 120.0
RUN_LIMIT_S = 300.0


def percentile(values, share):
    """Return the value that a share of all values do not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_requests(callers):
    """Print what was sent and answered, by kind."""
    print(f"\n{'request':<22}{'sent':>6}{'whole':>7}{'refused':>9}{'broken':>8}")
    for name, seen in sorted(callers.stats.items()):
        refused = sum(seen.refused.values())
        print(f"{name:<22}{seen.sent:>6}{seen.ok:>7}{refused:>9}{seen.broken:>8}")


def print_first_token(callers):
    """Print the hit rate and the times to first token, by kind."""
    head = f"\n{'time to first token':<22}{'p50':>6}{'p95':>7}{'p99':>9}"
    print(f"{head}{'hit rate':>10}   (at most)")
    for name, seen in sorted(callers.stats.items()):
        if seen.ttft_s:
            times = [1000 * percentile(seen.ttft_s, p) for p in (0.5, 0.95, 0.99)]
            hits, bound = (
                each / max(1, seen.prompt_tokens)
                for each in (seen.cached_tokens, seen.repeated_tokens)
            )
            line = f"{name:<22}{times[0]:>6.0f}{times[1]:>7.0f}{times[2]:>6.0f} ms"
            print(f"{line}{hits:>10.0%}{bound:>11.0%}")


def print_refusals(callers):
    """Print refusals by code."""
    total = Counter()
    for seen in callers.stats.values():
        total += seen.refused
    print("\nrefusals by code" if total else "\nrefusals by code: none")
    for code, count in total.most_common():
        print(f"  {count:>5}  {code}")


def check_returns(callers, runs):
    """Print how often each coat return ran; return the violations."""
    wrong = [f"coat {coat} ran {n} times" for coat, n in runs.items() if n != 1]
    missing = [coat for coat in callers.returned_coats if coat not in runs]
    wrong += [f"coat {coat} was answered but did not run" for coat in missing]
    extra = [
        e
        for e in runs
        if e not in callers.returned_coats and e not in callers.unknown_coats
    ]
    wrong += [f"coat {coat} ran but was answered not-run" for coat in extra]
    once = sum(count == 1 for count in runs.values())
    print(
        f"\ncoat returns: {len(callers.returned_coats)} answered,"
        f" {once} ran exactly once,",
        end="",
    )
    print(f" {sum(count > 1 for count in runs.values())} ran twice", end="")
    print(f", {len(callers.unknown_coats)} with unknown outcome")
    return wrong


async def run(seconds, seed):
    """Run the demo; return the violations found."""
    with tempfile.TemporaryDirectory(prefix="foxtail-demo-") as folder:
        fleet = Fleet(folder, guardaroba_layout())
        async with trio.open_nursery() as nursery:
            began = time.monotonic()
            with trio.fail_after(START_LIMIT_S):
                await fleet.start(nursery, demo_records())
                await fleet.wait_configured()
            n_entries, n_agents = len(fleet.entries()), len(fleet.agents())
            print(
                f"Guardaroba: {n_entries} entries, {n_agents} agents in 3 failure",
                end="",
            )
            print(f" domains, {len(ACCOUNTS)} contracts; ready after", end="")
            print(f" {time.monotonic() - began:.1f} s; {seconds:.0f} s of traffic")
            callers = Callers([each.listen for each in fleet.entries()], seed)
            with trio.fail_after(RUN_LIMIT_S + seconds):
                await callers.run(seconds, RATES_PER_S)
                runs = await fleet.run_counts("counter")
                await callers.pool.aclose()
                codes = await fleet.stop()
            print_requests(callers)
            print_first_token(callers)
            print_refusals(callers)
            wrong = check_returns(callers, runs)
            for seen in callers.stats.values():
                wrong += seen.violations
            nursery.cancel_scope.cancel()
    clean = sum(code == 0 for code in codes.values())
    print(f"stopped: {clean} of {len(codes)} programs exited with 0 after SIGTERM")
    wrong += [f"{name} exited with {code}" for name, code in codes.items() if code]
    return wrong


def main():
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0, help="traffic time")
    parser.add_argument("--seed", type=int, default=1, help="seed of the traffic")
    args = parser.parse_args()
    wrong = trio.run(run, args.seconds, args.seed)
    for each in wrong:
        print(f"WRONG: {each}")
    print(
        "demo failed" if wrong else "demo passed: every answer was whole and in order"
    )
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
