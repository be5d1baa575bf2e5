"""Collects from logs what happened to models whose calls were never served."""

import collections
import dataclasses
from collections.abc import Iterable

from lagoonflow.backends.names import full_name
from lagoonflow.telemetry.log_lines import LogLine
from lagoonflow.telemetry.request_story import CALL_EVENT

ORDER_EVENT = 'order'
ACCEPTED = 'ACCEPTED'
DELIVERED = 'delivered'


@dataclasses.dataclass(frozen=True, slots=True)
class ModelEvent:
    """A refused call for a model, or an order that concerns it.

    :param at_ms: time since the first call of the log arrived.
    """

    at_ms: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnservedModel:
    """A model or adapter that was called for, but none of its calls served.

    :param name: model, with an adapter after a slash.
    :param calls: number of calls.
    :param events: refusals and orders, in the order of the hosts' clocks.
    """

    name: str
    calls: int
    events: tuple[ModelEvent, ...]


def find_unserved(lines: Iterable[LogLine]) -> list[UnservedModel]:
    """Return the models whose calls were all refused or failed.

    :param lines: log lines of all routers and agents, in any order.
    """
    by_time = sorted(lines, key=lambda line: line.at_ms)
    calls: dict[str, list[LogLine]] = {}
    orders: dict[str, list[LogLine]] = collections.defaultdict(list)
    for line in by_time:
        if line.event == CALL_EVENT and line.get('model'):
            calls.setdefault(_name(line), []).append(line)
        elif line.event == ORDER_EVENT and line.get('outcome') == ACCEPTED:
            orders[_name(line)].append(line)
    first_ms = min(map(_arrival_ms, by_time), default=0)
    return [
        UnservedModel(name, len(ends), _events(ends, orders[name], first_ms))
        for name, ends in sorted(calls.items())
        if all(end.get('outcome') != DELIVERED for end in ends)
    ]


def _events(
    ends: list[LogLine], orders: list[LogLine], first_ms: float
) -> tuple[ModelEvent, ...]:
    found = [
        ModelEvent(int(end.at_ms - first_ms), _describe_end(end))
        for end in ends
    ]
    found.extend(
        ModelEvent(int(order.at_ms - first_ms), _describe_order(order))
        for order in orders
    )
    return tuple(sorted(found, key=lambda event: event.at_ms))


def _describe_end(end: LogLine) -> str:
    described = [f'{end.get("request")} {end.get("outcome")}']
    if end.get('store_place') is not None:
        described.append(f'place {end.get("store_place")} at the store')
    if end.get('retry_after_ms'):
        described.append(f'to return after {end.get("retry_after_ms")} ms')
    return f'{", ".join(described)} ({end.process}: {end.get("reason", "")})'


def _describe_order(order: LogLine) -> str:
    source = ' from the store' if order.get('from_store') else ''
    return (
        f'{order.get("kind")}{source} at {order.get("runner")}'
        f' ({order.process}: {order.get("cause")})'
    )


def _arrival_ms(line: LogLine) -> float:
    if line.event != CALL_EVENT:
        return float('inf')
    return line.at_ms - line.get('took_ms', 0)


def _name(line: LogLine) -> str:
    return full_name(line.get('model'), line.get('adapter', ''))
