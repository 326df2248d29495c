"""Generates seeded traffic of simulated callers and collects response statistics."""

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
# Venues of a client account, and seasons and tickets of a venue; then the lengths of
# the prompt parts in words.
# Accounts and venues that are drawn in advance; later requests repeat them.
DRAWS = 4096
VENUES, SEASONS, TICKETS = 12, 3, 40
VENUE_WORDS, SEASON_WORDS, TICKET_WORDS, LEDGER_WORDS = 500, 200, 60, 600
SHORT_ANSWER_TOKENS, LONG_ANSWER_TOKENS = 16, 160
REQUEST_OPTIONS = RequestOptions(idle_timeout_s=60.0)


def api_key(account):
    """Return the bearer key of a demo account."""
    return f"demo-key-{account}"


def demo_records():
    """Return the configuration records of the demo by key.

    They are eight contracts, a model and two service routes.
    """
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
    """Return ``count`` random words that are the same for equal seeds."""
    rng = random.Random(seed)
    return " ".join(f"{rng.randrange(16**5):05x}" for _ in range(count))


@attrs.define
class RequestStats:
    """Response statistics of one kind of request.

    Parameters
    ----------
    sent, ok : int
        Requests sent, and those with a complete response that has the expected text.
    refused : Counter
        Refusals by HTTP status, error code and verdict.
    violations : list of str
        Descriptions of the responses that violate an invariant.
    broken : int
        Streams that ended with an explicit error event.
    ttft_s : list of float
        Times to first token, in seconds.
    prompt_tokens, cached_tokens : int
        Prompt tokens, and those served from the cache.
    repeated_tokens : int
        Prompt tokens in leading messages that an earlier prompt of the same client
        account began with. A single unbounded cache would have served all of them, so
        the count is an upper bound for ``cached_tokens``.
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
    """Callers that send each request to a random entry, as a load balancer would.

    A coat is a unique business key of the ``counter`` service, whose requests must not
    run twice.

    Parameters
    ----------
    entries : list of Address
        Addresses of the entries.
    seed : int
        Seed of the random choices and arrival times.

    Attributes
    ----------
    stats : dict of str to RequestStats
        Statistics by kind of request.
    returned_coats : Counter
        Highest run number that a successful response reported, by coat.
    unknown_coats : set of str
        Coats of which no submission succeeded and at least one may have run.
    weights_versions : tuple of str
        Weights versions that a complete response may come from; a test that changes
        the weights adds the new one.
    """

    def __init__(self, entries, seed):
        self.entries = entries
        self.rng = random.Random(seed)
        self.pool = ConnectionPool()
        self.stats = {}
        self.returned_coats = Counter()
        self.unknown_coats = set()
        self.weights_versions = ("v1",)
        self._prefixes = set()
        accounts = list(ACCOUNTS)
        self._accounts = self.rng.choices(accounts, ACCOUNTS.values(), k=DRAWS)
        zipf_weights = [1 / rank for rank in range(1, VENUES + 1)]
        self._venues = self.rng.choices(range(VENUES), zipf_weights, k=DRAWS)

    def stats_for(self, name):
        """Return the statistics of a kind of request."""
        return self.stats.setdefault(name, RequestStats())

    async def run(self, seconds, rates_per_s):
        """Send Poisson traffic for a number of seconds.

        Parameters
        ----------
        seconds : float
            Time in which requests start.
        rates_per_s : dict of str to float
            Mean rates by the name of the method that sends the request.
        """
        async with trio.open_nursery() as nursery:
            for name, rate in rates_per_s.items():
                nursery.start_soon(self._start_requests, nursery, name, rate, seconds)

    async def _start_requests(self, nursery, name, rate, seconds):
        end = trio.current_time() + seconds
        number = 0
        while trio.current_time() < end:
            nursery.start_soon(getattr(self, name), number)
            number += 1
            await trio.sleep(self.rng.expovariate(rate))

    def headers(self, account):
        """Return the request headers of a client account."""
        return {
            "authorization": f"Bearer {api_key(account)}",
            "content-type": "application/json",
        }

    async def short_question(self, number):
        """Ask a short question; the prompt has a venue, a season and a ticket part."""
        account, venue = self._accounts[number % DRAWS], self._venues[number % DRAWS]
        season = self.rng.randrange(SEASONS)
        ticket = self.rng.randrange(TICKETS)
        venue_seed = f"{account}/{venue}"
        messages = [
            {"role": "system", "content": seeded_text(venue_seed, VENUE_WORDS)},
            {
                "role": "system",
                "content": seeded_text(f"{venue_seed}/{season}", SEASON_WORDS),
            },
            {
                "role": "user",
                "content": seeded_text(f"{venue_seed}/{ticket}", TICKET_WORDS),
            },
            {"role": "user", "content": f"question {number}"},
        ]
        await self.ask("short question", account, messages, SHORT_ANSWER_TOKENS)

    async def ledger_review(self, number):
        """Ask for a long answer about a ledger that no other request has."""
        account = self._accounts[number % DRAWS]
        messages = [
            {
                "role": "system",
                "content": seeded_text(f"{account}/ledger", VENUE_WORDS),
            },
            {"role": "user", "content": seeded_text(f"ledger {number}", LEDGER_WORDS)},
        ]
        await self.ask("ledger review", account, messages, LONG_ANSWER_TOKENS)

    async def ask(self, name, account, messages, max_tokens):
        """Send one streamed chat request and check the complete response.

        Parameters
        ----------
        name : str
            Kind of request under which the response is counted.
        account : str
            Client account that sends the request.
        messages : list of dict
            Messages of the prompt.
        max_tokens : int
            Number of tokens to generate.
        """
        stats = self.stats_for(name)
        stats.sent += 1
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
                options=REQUEST_OPTIONS,
            ) as response:
                if response.status != 200:
                    self.record_refusal(stats, response, await response.json())
                    return
                stats.cached_tokens += int(response.headers["foxtail-cached-tokens"])
                # The stand-in engine counts four characters as one token.
                prompt = prompt_text(messages)
                stats.prompt_tokens += len(prompt) // 4
                stats.repeated_tokens += repeated
                texts = await self._read_stream(response, stats, started)
        except ClientError as exc:
            stats.violations.append(f"{name}: cut without an error event: {exc}")
            return
        if texts is None:
            stats.broken += 1
        elif "".join(texts) not in self._expected_texts(prompt, max_tokens):
            stats.violations.append(f"{name}: a clean end with a wrong text")
        else:
            stats.ok += 1

    def _expected_texts(self, prompt, max_tokens):
        """Return the valid answers, one for each weights version."""
        return [answer_text(prompt, max_tokens, each) for each in self.weights_versions]

    def _repeated_tokens(self, account, messages):
        """Record the prompt; return the tokens of its longest repeated prefix."""
        prefix, tokens, repeated = account, 0, 0
        for message in messages:
            prefix += "|" + message["content"]
            tokens += len(message["content"]) // 4
            if prefix in self._prefixes:
                repeated = tokens
            self._prefixes.add(prefix)
        return repeated

    async def _read_stream(self, response, stats, started):
        """Return the texts of a stream, or None if it ended with an error event."""
        texts, parser, done = [], SseParser(), False
        body_chunks = response.iter_chunks()
        failed = False
        try:
            async for data in body_chunks:
                for event in parser.feed(data):
                    if event.event == "error":
                        failed = True
                    elif event.data == "[DONE]":
                        done = True
                    else:
                        if not texts:
                            stats.ttft_s.append(time.monotonic() - started)
                        chunk = msgspec.json.decode(event.data)
                        texts.append(chunk["choices"][0]["delta"]["content"])
        except ClientError:
            if not failed:
                raise
        if failed:
            return None
        if not done:
            stats.violations.append("a stream ended without [DONE]")
        return texts

    def record_refusal(self, stats, response, value):
        """Count a refusal and return its verdict, ``"none"`` if it has none."""
        code = value["error"]["code"]
        verdict = response.headers.get("foxtail-verdict", "none")
        stats.refused[f"{response.status} {code} ({verdict})"] += 1
        return verdict

    async def availability_lookup(self, number):
        """Send an availability request, which the entry may retry."""
        stats = self.stats_for("availability lookup")
        stats.sent += 1
        account = self._accounts[number % DRAWS]
        path = f"/services/availability/{number % 50}"
        status, _ = await self._call(stats, "GET", path, self.headers(account), b"")
        stats.ok += status == 200

    async def coat_return(self, number):
        """Return a coat with an idempotency key; submit every second call twice.

        The submissions of one call go to entries chosen independently.
        """
        stats = self.stats_for("coat return")
        account = self._accounts[number % DRAWS]
        coat = f"{secrets.token_hex(4)}-{number}"
        body = msgspec.json.encode({"route": "counter"})
        headers = self.headers(account)
        status, value = await self._call(
            stats, "POST", "/v1/idempotency-keys", headers, body
        )
        if status != 200:
            return
        headers |= {"idempotency-key": value["key"], BUSINESS_KEY: coat}
        submissions = 1 + number % 2
        outcomes = []

        async def submit():
            stats.sent += 1
            path = "/services/counter/return"
            outcomes.append(await self._call(stats, "POST", path, headers, b"{}"))

        async with trio.open_nursery() as nursery:
            for _ in range(submissions):
                nursery.start_soon(submit)
        succeeded = [value for status, value in outcomes if status == 200]
        stats.ok += len(succeeded)
        if succeeded:
            self.returned_coats[coat] = max(each["run"] for each in succeeded)
        elif any(value == "may-have-run" for _, value in outcomes):
            self.unknown_coats.add(coat)

    async def _call(self, stats, method, path, headers, body):
        """Send a request; return the status and the decoded body, or the verdict.

        A refusal gives its status and verdict, a failed connection 0 and the verdict
        of the client.
        """
        address = self.rng.choice(self.entries)
        try:
            async with self.pool.request(
                address,
                method,
                path,
                headers=headers,
                body=body,
                options=REQUEST_OPTIONS,
            ) as response:
                value = await response.json()
                if response.status != 200:
                    value = self.record_refusal(stats, response, value)
                return response.status, value
        except ClientError as exc:
            stats.refused[f"connection failed ({exc.verdict.value})"] += 1
            return 0, exc.verdict.value
