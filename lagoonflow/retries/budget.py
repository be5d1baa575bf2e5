"""Repeated sends in proportion to requests, bounded over all routers."""

import collections

# Part of the fleet's allowance that is used: routers count separately, and
# what they believe of each other is late.
SAFE_PART = 0.6


class RetryBudget:
    """This router's part of the allowance for repeated sends to a service.

    :param ratio: repeated sends allowed for each request.
    :param extra: repeated sends allowed beside, over all routers.
    :param window_ms: window in which both are counted.
    """

    def __init__(self, ratio: float, extra: float, window_ms: float) -> None:
        """Start with nothing counted."""
        self.routers = 1
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def count_request(self, now_ms: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_ms)
        self._forget(now_ms)

    def try_retry(self, now_ms: float) -> bool:
        """Take one repeated send if the allowance covers it."""
        self._forget(now_ms)
        extra = self._extra / max(self.routers, 1)
        allowed = SAFE_PART * (extra + self._ratio * len(self._requests))
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_ms)
        return True

    def _forget(self, now_ms: float) -> None:
        horizon_ms = now_ms - self._window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] < horizon_ms:
                times.popleft()


class RetryBudgets:
    """One repeat budget for each service."""

    def __init__(self, ratio: float, extra: float, window_ms: float) -> None:
        """Create budgets on demand."""
        self._terms = (ratio, extra, window_ms)
        self._routers = 1
        self._budgets: dict[str, RetryBudget] = {}

    def budget_for(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        if service not in self._budgets:
            budget = RetryBudget(*self._terms)
            budget.routers = self._routers
            self._budgets[service] = budget
        return self._budgets[service]

    def set_router_count(self, routers: int) -> None:
        """Share the allowance between this many routers."""
        self._routers = routers
        for budget in self._budgets.values():
            budget.routers = routers
