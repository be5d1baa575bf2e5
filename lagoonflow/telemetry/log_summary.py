"""Counts calls by route and time, and orders by process, from logs."""

import collections
import dataclasses
from collections.abc import Iterable

from lagoonflow.telemetry.log_lines import LogLine
from lagoonflow.telemetry.request_story import CALL_EVENT

# Length of the time window that one row of the table of calls covers.
WINDOW_MS = 2000
# A late call is attributed to the wake (the load of its model) when the wait
# before its first send took more than this share of the time to its answer,
# else to the runner.
WAKE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CallGroup:
    """Calls of one route that arrived in one time window.

    :param from_ms: start of the window, in ms since the first call arrived.
    :param counts: number of calls by how they ended.
    """

    route: str
    from_ms: int
    counts: collections.Counter[str]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderGroup:
    """Orders of one kind that one process sent.

    :param kind: what was ordered, such as ``load model from the store``.
    :param counts: number of orders by outcome.
    """

    process: str
    kind: str
    counts: collections.Counter[str]


def group_calls(lines: Iterable[LogLine]) -> list[CallGroup]:
    """Count calls by route, by time window and by how they ended."""
    calls = [line for line in lines if line.event == CALL_EVENT]
    starts_ms = [line.at_ms - line.get('took_ms', 0) for line in calls]
    first_ms = min(starts_ms, default=0)
    counts: dict[tuple[str, int], collections.Counter[str]] = {}
    for line, start_ms in zip(calls, starts_ms, strict=True):
        window = int((start_ms - first_ms) // WINDOW_MS) * WINDOW_MS
        key = (line.get('route', '(refused before a route)'), window)
        counts.setdefault(key, collections.Counter())[_classify_end(line)] += 1
    return [
        CallGroup(route, window, counts[route, window])
        for route, window in sorted(counts)
    ]


def group_orders(lines: Iterable[LogLine]) -> list[OrderGroup]:
    """Count orders by process, kind and outcome."""
    counts: dict[tuple[str, str], collections.Counter[str]] = {}
    for line in lines:
        if line.event != 'order':
            continue
        target = 'adapter' if line.get('adapter') else 'model'
        source = ' from the store' if line.get('from_store') else ''
        key = (line.process, f'{line.get("kind")} {target}{source}')
        counts.setdefault(key, collections.Counter())[line.get('outcome')] += 1
    return [
        OrderGroup(process, kind, counts[process, kind])
        for process, kind in sorted(counts)
    ]


def _classify_end(line: LogLine) -> str:
    outcome = str(line.get('outcome'))
    if outcome != 'delivered':
        return outcome.partition(':')[0]
    target_ms = line.get('target_ms')
    answer_ms = line.get('answer_ms', line.get('took_ms', 0))
    if not target_ms or answer_ms <= target_ms:
        return 'on time'
    sends = [step for step in line.get('steps', ()) if ' send ' in step]
    waited_ms = int(sends[0].partition('ms')[0]) if sends else 0
    is_late_wake = waited_ms > WAKE_SHARE * answer_ms
    return 'late, wake' if is_late_wake else 'late, runner'
