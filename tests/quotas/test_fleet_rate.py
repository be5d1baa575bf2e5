"""Rates and bursts over several routers, with real processes."""

import dataclasses
import itertools

from pytest_bdd import parsers, scenarios, then, when

from standins.tokens import count_tokens
from tests.support.fleet_steps import listed, token_of
from tests.support.traffic import Ask, numbered

scenarios('test_fleet_rate.feature')

RATE_PER_S = 200
BURST = 1200
MAX_TOKENS = 60
STOP_TOKENS = 30
DEADLINE_MS = 1500
MS_PER_S = 1000


def ask_of(name, router):
    """Return an ask whose answer ends before its limit."""
    prompt = f'[stop={STOP_TOKENS}] {router}'
    return Ask(token_of(name), 'news', prompt, MAX_TOKENS, DEADLINE_MS)


@when(
    parsers.re(
        r'(?P<count>\d+) callers of (?P<name>\w+) ask each of'
        r' (?P<routers>.+) all the time$'
    )
)
def ask_each(traffic, count, name, routers):
    for router, number in itertools.product(listed(routers), range(int(count))):
        ask = ask_of(name, f'{router} {number}')
        traffic.repeat(name, numbered(ask), [router], 0.02)


@when(
    parsers.re(
        r'callers of (?P<names>.+) ask (?P<routers>router .+)'
        r' every (?P<pause>[\d.]+) s$'
    )
)
def ask_often(traffic, names, routers, pause):
    for name in listed(names):
        # Only the rate may have these refused, not a cold start.
        ask = dataclasses.replace(ask_of(name, name), deadline_ms=0)
        traffic.repeat(name, numbered(ask), listed(routers), float(pause))


def admissions(requests):
    """Return when each request was admitted at the latest, and its tokens.

    An answer that was cut counts with the tokens that came.
    """
    found = []
    for one in requests:
        if one.answer is None or not one.answer.text:
            continue
        admitted_s = one.sent_s + one.answer.first_token_ms / MS_PER_S
        tokens = count_tokens(one.ask.prompt) + len(one.answer.text.split())
        found.append((one.sent_s, admitted_s, tokens))
    return found


def largest_ratio(found):
    """Return the largest part of rate x window + burst that was admitted.

    Only requests count that were sent and admitted within the window.
    """
    worst = 0.0
    by_end = sorted(found, key=lambda one: one[1])
    for begin_s in sorted(one[0] for one in found):
        tokens = 0
        for sent_s, admitted_s, cost in by_end:
            if sent_s >= begin_s:
                tokens += cost
                allowed = RATE_PER_S * (admitted_s - begin_s) + BURST
                worst = max(worst, tokens / allowed)
    return worst


@then(
    parsers.re(
        r'(?P<name>\w+) was admitted at most its rate and burst'
        r' in every window$'
    )
)
def check_rate(traffic, name, measured):
    traffic.end()
    found = admissions(traffic.sent(name))
    begin_s = min(one[0] for one in found)
    end_s = max(one[1] for one in found)
    total = sum(one[2] for one in found)
    allowed = RATE_PER_S * (end_s - begin_s) + BURST
    worst = largest_ratio(found)
    measured(f'{name}: admitted over allowed, whole run', total / allowed, '')
    measured(f'{name}: admitted over allowed, worst window', worst, '')
    measured(f'{name}: requests', len(traffic.sent(name)), '')
    assert worst <= 1
    # The organisation was held back by its rate and by nothing else.
    assert total > BURST


@then(parsers.re(r'(?P<name>\w+) was refused with (?P<refusal>\w+)$'))
def check_refused(traffic, name, refusal):
    refusals = {one.refusal for one in traffic.sent(name) if one.refusal}
    assert refusal in refusals


@then(parsers.re(r'(?P<names>.+) got every answer whole$'))
def check_quiet(traffic, names):
    for name in listed(names):
        sent = traffic.sent(name)
        assert len(sent) > 5
        assert [one.brief() for one in sent if not one.is_whole] == []
