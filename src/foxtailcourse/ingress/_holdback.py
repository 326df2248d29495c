"""Holds long prompts back at the entry while every server has enough to read.

Answers bursts and servers that are out for a load of weights: engines read admitted
prompts in turn, so a short prompt waits behind every long one that was sent before it.
A long prompt that waits here instead is read no later, as the server stays busy.
"""

from foxtailcourse.ingress._placement import Choice, Prompt

# Backlog of a server at which it needs no further long prompt to stay busy.
ENOUGH_TOKENS = 16_000.0
# Waiting this long doubles the backlog that a prompt accepts, so that those that have
# waited longest go first.
DOUBLING_S = 0.4
# A prompt is not held past this part of its time, so that none waits for good.
LONGEST_HOLD_SHARE = 0.25


def must_wait(
    choice: Choice, prompt: Prompt, age_s: float, time_limit_s: float
) -> bool:
    """Return whether a prompt should wait before it is sent.

    Parameters
    ----------
    choice : Choice
        The best server now.
    prompt : Prompt
        The prompt.
    age_s : float
        Time since it arrived, in seconds.
    time_limit_s : float
        Time from its arrival to its deadline, in seconds.
    """
    if not prompt.is_long or age_s >= LONGEST_HOLD_SHARE * time_limit_s:
        return False
    accepted = ENOUGH_TOKENS * 2 ** (age_s / DOUBLING_S)
    return choice.candidate.total.prefill_tokens > accepted
