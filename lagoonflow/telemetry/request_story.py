"""Collects the log lines that explain how a request ended."""

import dataclasses
from collections.abc import Iterable

from lagoonflow.telemetry.log_lines import LogLine

CALL_EVENT = 'ended'
# Events up to this long before a request arrived may explain how it ended: a
# load from the weight store takes about as long.
LOOKBACK_MS = 8000
# Clocks of different hosts may differ by this much.
CLOCK_SKEW_MS = 300

_ROUTER_PARTS = frozenset(('store', 'configuration', 'servers', 'process'))


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStory:
    """Log lines about one request.

    :param ends: line that each router which handled the request wrote at
        its end.
    :param context: lines from about that time that may explain the end:
        those of these routers, and those about the runners and the model of
        the request; in the order of their clocks.
    """

    ends: tuple[LogLine, ...]
    context: tuple[LogLine, ...]


def collect_story(request_id: str, lines: Iterable[LogLine]) -> RequestStory:
    """Collect the log lines that concern one request.

    :param lines: log lines of all processes, in any order.
    """
    all_lines = list(lines)
    ends = [
        line
        for line in all_lines
        if line.event == CALL_EVENT and line.get('request') == request_id
    ]
    context = [
        line for line in all_lines if any(_concerns(line, end) for end in ends)
    ]
    context.sort(key=lambda line: line.at_ms)
    return RequestStory(tuple(ends), tuple(context))


def describe_end(end: LogLine) -> str:
    """Return one sentence on how a request ended.

    :param end: line that a router wrote at the end of the request.
    """
    took_ms = end.get('took_ms', 0)
    reason = end.get('reason')
    if reason:
        execution = 'has not run' if end.get('not_run') else 'may have run'
        return (
            f'{end.get("outcome")}: {reason}; answered {end.get("status")}'
            f' after {took_ms} ms, {execution}'
        )
    target_ms = end.get('target_ms')
    answer_ms = end.get('answer_ms', took_ms)
    delay_text = ''
    if target_ms and answer_ms > target_ms:
        delay_text = f', {answer_ms - target_ms} ms late'
    return f'{end.get("outcome")} after {took_ms} ms{delay_text}'


def _concerns(line: LogLine, end: LogLine) -> bool:
    start_ms = end.at_ms - end.get('took_ms', 0)
    is_near = start_ms - LOOKBACK_MS <= line.at_ms <= end.at_ms + CLOCK_SKEW_MS
    if not is_near or line.event == CALL_EVENT:
        return False
    if line.part == 'waking':
        steps = ' '.join(end.get('steps', ()))
        is_about_its_runner = str(line.get('runner') or '-') in steps
        return is_about_its_runner or line.get('model') == end.get('model')
    return line.process == end.process and line.part in _ROUTER_PARTS
