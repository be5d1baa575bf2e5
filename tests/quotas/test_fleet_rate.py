"""Rate and burst of an organisation over several router processes."""

import dataclasses
import itertools

from pytest_bdd import parsers, scenarios, then, when

from standins.tokens import count_tokens
from tests.support.fleet_steps import key_of, split_names
from tests.support.traffic import GenerationRequest, number_prompts

scenarios('test_fleet_rate.feature')

RATE_PER_S = 200
BURST = 1200
MAX_TOKENS = 60
STOP_TOKENS = 30
DEADLINE_MS = 1500
MS_PER_S = 1000


def request_of(name, router):
    """Return a request whose answer ends before its token limit."""
    prompt = f'[stop={STOP_TOKENS}] {router}'
    return GenerationRequest(
        key_of(name), 'news', prompt, MAX_TOKENS, DEADLINE_MS
    )


@when(
    parsers.re(
        r'(?P<count>\d+) callers of (?P<name>\w+) ask each of'
        r' (?P<routers>.+) all the time$'
    )
)
def ask_each(traffic, count, name, routers):
    for router, number in itertools.product(
        split_names(routers), range(int(count))
    ):
        request = request_of(name, f'{router} {number}')
        traffic.send_repeatedly(name, number_prompts(request), [router], 0.02)


@when(
    parsers.re(
        r'callers of (?P<names>.+) ask (?P<routers>router .+)'
        r' every (?P<pause>[\d.]+) s$'
    )
)
def ask_often(traffic, names, routers, pause):
    for name in split_names(names):
        # The default deadline is long enough for a cold start, so that only the
        # rate can be a reason to refuse these.
        request = dataclasses.replace(request_of(name, name), deadline_ms=0)
        traffic.send_repeatedly(
            name, number_prompts(request), split_names(routers), float(pause)
        )


def admissions(outcomes):
    """Return send time, latest admission time and tokens of each request.

    Of an answer that broke off, the tokens that arrived are counted.
    """
    admitted = []
    for outcome in outcomes:
        if outcome.answer is None or not outcome.answer.text:
            continue
        admitted_s = outcome.sent_s + outcome.answer.first_token_ms / MS_PER_S
        tokens = count_tokens(outcome.request.prompt) + len(
            outcome.answer.text.split()
        )
        admitted.append((outcome.sent_s, admitted_s, tokens))
    return admitted


def largest_ratio(admitted):
    """Return the largest ratio of admitted to allowed tokens in a window.

    Allowed are rate x window + burst. A request counts if it was both sent
    and admitted within the window.
    """
    worst = 0.0
    by_end = sorted(admitted, key=lambda request: request[1])
    for begin_s in sorted(request[0] for request in admitted):
        tokens = 0
        for sent_s, admitted_s, cost in by_end:
            if sent_s >= begin_s:
                tokens += cost
                allowed = RATE_PER_S * (admitted_s - begin_s) + BURST
                worst = max(worst, tokens / allowed)
    return worst


@then(
    parsers.re(
        r'(?P<name>\w+) was admitted no more than its rate and burst'
        r' allow in any window$'
    )
)
def check_rate(traffic, name, measured):
    traffic.finish()
    admitted = admissions(traffic.outcomes(name))
    begin_s = min(request[0] for request in admitted)
    end_s = max(request[1] for request in admitted)
    total = sum(request[2] for request in admitted)
    allowed = RATE_PER_S * (end_s - begin_s) + BURST
    worst = largest_ratio(admitted)
    measured(f'{name}: admitted over allowed, whole run', total / allowed, '')
    measured(f'{name}: admitted over allowed, worst window', worst, '')
    measured(f'{name}: requests', len(traffic.outcomes(name)), '')
    assert worst <= 1
    # More than the burst was admitted, so that the rate was what limited it.
    assert total > BURST


@then(parsers.re(r'(?P<name>\w+) was refused with (?P<refusal>\w+)$'))
def check_refused(traffic, name, refusal):
    refusals = {
        request.refusal for request in traffic.outcomes(name) if request.refusal
    }
    assert refusal in refusals


@then(parsers.re(r'(?P<names>.+) received a complete answer to every request$'))
def check_answers(traffic, names):
    for name in split_names(names):
        sent = traffic.outcomes(name)
        assert len(sent) > 5
        assert [
            request.describe() for request in sent if not request.is_complete
        ] == []
