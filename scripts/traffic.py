"""Seeded callers' traffic and what the callers saw."""

import hashlib
import random
import secrets
import time
from collections import Counter

import attrs
import msgspec
import trio

from foxtailcourse.http import ClientError, ConnectionPool, RequestOptions, SseParser
from foxtailcourse.standin import BUSINESS_KEY, answer_text, prompt_text

MODEL = "assistant"
ACCOUNTS = {
    "teatro": 4.0,
    "stadio": 4.0,
    "museo": 2.0,
    "opera": 1.0,
    "cinema": 1.0,
    "galleria": 1.0,
    "festival": 1.0,
    "auditorium": 1.0,
}
VENUES, SEASONS, TICKETS = 12, 3, 40
VENUE_WORDS, SEASON_WORDS, TICKET_WORDS, LEDGER_WORDS = 500, 200, 60, 600
SHORT_TOKENS, LONG_TOKENS = 16, 160
OPTIONS = RequestOptions(idle_timeout_s=60.0)


def api_key(account):
    """Return the bearer key of a demo account."""
    return f"demo-key-{account}"


def demo_records():
    """Return the configuration: eight contracts, a model and two routes."""
    records = {
        f"models/{MODEL}": {"model": MODEL, "weights_version": "v1"},
        "services/counter": {"route": "counter"},
        "services/availability": {"route": "availability", "repeatable": True},
    }
    for account, share in ACCOUNTS.items():
        records[f"contracts/{account}"] = {
            "client_account": account,
            "key_sha256": [hashlib.sha256(api_key(account).encode()).hexdigest()],
            "models": [MODEL],
            "services": ["counter", "availability"],
            "share": share,
            "requests_per_s": 20.0 * share,
            "tokens_per_s": 40_000.0 * share,
        }
    return records


def seeded_text(seed, count):
    """Return a text that depends only on the seed."""
    rng = random.Random(seed)
    return " ".join(f"{rng.randrange(16**5):05x}" for _ in range(count))


@attrs.define
class RequestStats:
    """What the callers saw of one kind of request.

    Parameters
    ----------
    sent, ok : int
        Requests, and those answered whole and with the right text.
    refused : Counter
        Refusals by code.
    violations : list of str
        Answers that break an invariant.
    broken : int
        Streams that ended with an explicit error.
    ttft_s : list of float
        Times to first token, in seconds.
    prompt_tokens, cached_tokens : int
        Prompt tokens, and those served from cache.
    repeated_tokens : int
        Prompt tokens in messages that an earlier prompt of the account began with;
        one unbounded cache for all would have served these.
    """

    sent: int = 0
    ok: int = 0
    refused: Counter = attrs.field(factory=Counter)
    violations: list = attrs.field(factory=list)
    broken: int = 0
    ttft_s: list = attrs.field(factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    repeated_tokens: int = 0


class Callers:
    """Callers that pick an entry at random, as a load balancer would.

    Parameters
    ----------
    entries : list of Address
        Addresses of the entries.
    seed : int
        Seed of the traffic.
    """

    def __init__(self, entries, seed):
        self.entries = entries
        self.rng = random.Random(seed)
        self.pool = ConnectionPool()
        self.stats = {}
        self.returned_coats = Counter()
        self.unknown_coats = set()
        # A change of weights adds the versions that answers may come from.
        self.weights_versions = ("v1",)
        self._prefixes = set()
        accounts = list(ACCOUNTS)
        self._accounts = self.rng.choices(accounts, ACCOUNTS.values(), k=4096)
        zipf = [1 / rank for rank in range(1, VENUES + 1)]
        self._venues = self.rng.choices(range(VENUES), zipf, k=4096)

    def stats_for(self, name):
        """Return what was seen of a kind of request."""
        return self.stats.setdefault(name, RequestStats())

    async def run(self, seconds, per_s):
        """Send traffic at the given mean rates per second, by method name."""
        async with trio.open_nursery() as nursery:
            for name, rate in per_s.items():
                nursery.start_soon(self._arrivals, nursery, name, rate, seconds)

    async def _arrivals(self, nursery, name, rate, seconds):
        end = trio.current_time() + seconds
        number = 0
        while trio.current_time() < end:
            nursery.start_soon(getattr(self, name), number)
            number += 1
            await trio.sleep(self.rng.expovariate(rate))

    def headers(self, account):
        """Return the header fields of a caller."""
        return {
            "authorization": f"Bearer {api_key(account)}",
            "content-type": "application/json",
        }

    async def short_question(self, number):
        """Ask about a ticket; the prompt nests venue, season and ticket."""
        account, venue = self._accounts[number], self._venues[number]
        season = self.rng.randrange(SEASONS)
        ticket = self.rng.randrange(TICKETS)
        place = f"{account}/{venue}"
        messages = [
            {"role": "system", "content": seeded_text(place, VENUE_WORDS)},
            {
                "role": "system",
                "content": seeded_text(f"{place}/{season}", SEASON_WORDS),
            },
            {"role": "user", "content": seeded_text(f"{place}/{ticket}", TICKET_WORDS)},
            {"role": "user", "content": f"question {number}"},
        ]
        await self.ask("short question", account, messages, SHORT_TOKENS)

    async def ledger_review(self, number):
        """Ask for a long answer about a ledger that nobody else uses."""
        account = self._accounts[number]
        messages = [
            {
                "role": "system",
                "content": seeded_text(f"{account}/ledger", VENUE_WORDS),
            },
            {"role": "user", "content": seeded_text(f"ledger {number}", LEDGER_WORDS)},
        ]
        await self.ask("ledger review", account, messages, LONG_TOKENS)

    async def ask(self, name, account, messages, max_tokens):
        """Send one streamed chat request and check its whole answer."""
        seen = self.stats_for(name)
        seen.sent += 1
        body = msgspec.json.encode(
            {
                "model": MODEL,
                "messages": messages,
                "max_tokens": max_tokens,
                "stream": True,
            }
        )
        repeated = self._repeated_tokens(account, messages)
        started = time.monotonic()
        try:
            async with self.pool.request(
                self.rng.choice(self.entries),
                "POST",
                "/v1/chat/completions",
                headers=self.headers(account),
                body=body,
                options=OPTIONS,
            ) as response:
                if response.status != 200:
                    self.refusal(seen, response, await response.json())
                    return
                seen.cached_tokens += int(response.headers["foxtail-cached-tokens"])
                prompt = prompt_text(messages)
                seen.prompt_tokens += len(prompt) // 4
                seen.repeated_tokens += repeated
                texts = await self._read(response, seen, started)
        except ClientError as exc:
            seen.violations.append(f"{name}: cut without an error event: {exc}")
            return
        if texts is None:
            seen.broken += 1
        elif "".join(texts) not in self._whole(prompt, max_tokens):
            seen.violations.append(f"{name}: a clean end with a wrong text")
        else:
            seen.ok += 1

    def _whole(self, prompt, max_tokens):
        """Return the right answers; each is of one weights version."""
        return [answer_text(prompt, max_tokens, each) for each in self.weights_versions]

    def _repeated_tokens(self, account, messages):
        prefix, tokens, repeated = account, 0, 0
        for message in messages:
            prefix += "|" + message["content"]
            tokens += len(message["content"]) // 4
            if prefix in self._prefixes:
                repeated = tokens
            self._prefixes.add(prefix)
        return repeated

    async def _read(self, response, seen, started):
        """Return the texts of a stream, or None if it ended with an error event."""
        texts, parser, done = [], SseParser(), False
        pieces = response.iter_chunks()
        failed = False
        try:
            async for piece in pieces:
                for event in parser.feed(piece):
                    if event.event == "error":
                        failed = True
                    elif event.data == "[DONE]":
                        done = True
                    else:
                        if not texts:
                            seen.ttft_s.append(time.monotonic() - started)
                        chunk = msgspec.json.decode(event.data)
                        texts.append(chunk["choices"][0]["delta"]["content"])
        except ClientError:
            if not failed:
                raise
        if failed:
            return None
        if not done:
            seen.violations.append("a stream ended without [DONE]")
        return texts

    def refusal(self, seen, response, value):
        """Note a refusal; it must carry a verdict."""
        code = value["error"]["code"]
        verdict = response.headers.get("foxtail-verdict", "none")
        seen.refused[f"{response.status} {code} ({verdict})"] += 1
        return verdict

    async def availability_lookup(self, number):
        """Look up free places; the call may be repeated."""
        seen = self.stats_for("availability lookup")
        seen.sent += 1
        account = self._accounts[number]
        path = f"/services/availability/{number % 50}"
        status, _ = await self._call(seen, "GET", path, self.headers(account), b"")
        seen.ok += status == 200

    async def coat_return(self, number):
        """Return a coat; half of the calls are submitted twice, through any entry."""
        seen = self.stats_for("coat return")
        account = self._accounts[number]
        coat = f"{secrets.token_hex(4)}-{number}"
        order = msgspec.json.encode({"route": "counter"})
        fields = self.headers(account)
        status, value = await self._call(
            seen, "POST", "/v1/idempotency-keys", fields, order
        )
        if status != 200:
            return
        fields |= {"idempotency-key": value["key"], BUSINESS_KEY: coat}
        submissions = 1 + number % 2
        outcomes = []

        async def submit():
            seen.sent += 1
            path = "/services/counter/return"
            outcomes.append(await self._call(seen, "POST", path, fields, b"{}"))

        async with trio.open_nursery() as nursery:
            for _ in range(submissions):
                nursery.start_soon(submit)
        done = [value for status, value in outcomes if status == 200]
        seen.ok += len(done)
        if done:
            self.returned_coats[coat] = max(each["run"] for each in done)
        elif any(value == "may-have-run" for _, value in outcomes):
            self.unknown_coats.add(coat)

    async def _call(self, seen, method, path, fields, body):
        """Return the status, and the decoded answer or the refusal's verdict."""
        address = self.rng.choice(self.entries)
        try:
            async with self.pool.request(
                address, method, path, headers=fields, body=body, options=OPTIONS
            ) as response:
                value = await response.json()
                if response.status != 200:
                    value = self.refusal(seen, response, value)
                return response.status, value
        except ClientError as exc:
            seen.refused[f"connection failed ({exc.verdict.value})"] += 1
            return 0, exc.verdict.value
