"""Retry budgets, which limit retries to a proportion of the requests."""

import collections

# Routers use only this part of their share, so that the whole fleet keeps to
# the limit: each router counts by itself, and learns late how many others
# there are.
SAFETY_FACTOR = 0.6


class RetryBudget:
    """This router's share of the retries allowed for a service.

    :param retry_ratio: retries allowed per request of a caller.
    :param extra_retries: retries allowed in addition per window, which all
        routers share.
    :param window_ms: length of the sliding window in which requests and
        retries are counted, in ms.
    """

    def __init__(
        self, retry_ratio: float, extra_retries: float, window_ms: float
    ) -> None:
        """Start with no requests and no retries."""
        self.router_count = 1
        self._retry_ratio = retry_ratio
        self._extra_retries = extra_retries
        self._window_ms = window_ms
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def count_request(self, now_ms: float) -> None:
        """Count a request of a caller, which adds to the retries allowed.

        :param now_ms: current time, in ms.
        """
        self._requests.append(now_ms)
        self._drop_expired(now_ms)

    def try_retry(self, now_ms: float) -> bool:
        """Use one retry if the budget allows it.

        :param now_ms: current time, in ms.
        :returns: whether the failed request may be sent again.
        """
        is_allowed = self.may_retry(now_ms)
        if is_allowed:
            self._retries.append(now_ms)
        return is_allowed

    def may_retry(self, now_ms: float) -> bool:
        """Return whether the budget allows a retry."""
        self._drop_expired(now_ms)
        extra_retries = self._extra_retries / max(self.router_count, 1)
        allowed = SAFETY_FACTOR * (
            extra_retries + self._retry_ratio * len(self._requests)
        )
        return len(self._retries) + 1 <= allowed

    def give_back(self) -> None:
        """Return a retry that was used but not sent."""
        if self._retries:
            self._retries.pop()

    def _drop_expired(self, now_ms: float) -> None:
        horizon_ms = now_ms - self._window_ms
        for times in (self._requests, self._retries):
            while times and times[0] < horizon_ms:
                times.popleft()


class RetryBudgets:
    """One retry budget for each service.

    See :class:`RetryBudget` for the parameters.
    """

    def __init__(
        self, retry_ratio: float, extra_retries: float, window_ms: float
    ) -> None:
        """Store the parameters; budgets are created on first use."""
        self._parameters = (retry_ratio, extra_retries, window_ms)
        self._router_count = 1
        self._budgets: dict[str, RetryBudget] = {}

    def budget_for(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self._budgets:
            budget = RetryBudget(*self._parameters)
            budget.router_count = self._router_count
            self._budgets[service] = budget
        return self._budgets[service]

    def update_router_count(self, router_count: int) -> None:
        """Set how many routers share the extra retries.

        :param router_count: number of routers, including this one.
        """
        self._router_count = router_count
        for budget in self._budgets.values():
            budget.router_count = router_count
