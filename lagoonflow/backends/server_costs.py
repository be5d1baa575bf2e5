"""Estimated costs of servers, as delays in ms."""

from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.waking.engine_speed import PREFILL_TOKEN_MS

# Cost of each request in a runner's batch: it slows down the others' tokens.
BATCHED_REQUEST_MS = 4
# A server of a plain service costs this much when all its slots are taken, and
# proportionally less with fewer requests.
PLAIN_FULL_MS = 20
# Requests of one route to a plain service are taken to be equal work.
PLAIN_WORK_MS = 1
# Predicted time of a runner's first event apart from the prompt and the batch:
# about one step of decoding.
FIRST_EVENT_MS = 20
# Each running request makes the prefill of a prompt cost this share more: its
# stream pauses meanwhile, which counts less than an answer that begins late.
PREFILL_PAUSE_SHARE = 0.15
# Cost of each request that waits for a place in a full batch.
QUEUED_REQUEST_MS = 40
# Cost of a server in another availability zone than the router.
OTHER_ZONE_MS = 5
# Cost of a server that has failed recently; ranks it behind all others.
AVOIDED_SERVER_MS = 20_000
# Cost of a runner whose host has fallen silent: it answers late or never.
SILENT_HOST_MS = 3000


class ServerCosts:
    """Estimates what a request costs at a server, and how long it takes.

    :param fleet: what the router knows about the servers.
    :param zone: availability zone of this router.
    """

    def __init__(self, fleet: Fleet, zone: str) -> None:
        """Estimate from what a fleet knows now."""
        self._fleet = fleet
        self._zone = zone

    def runner_ms(
        self,
        server: BackendServer,
        slots: int,
        prefill_tokens: int,
        now_ms: float,
    ) -> float:
        """Return the cost of a runner, without penalties.

        :param slots: requests that the runner runs at once.
        :param prefill_tokens: prompt tokens that it must prefill.
        """
        outstanding = self._outstanding(server, now_ms)
        others_tokens = self._fleet.prefill_tokens(server, now_ms)
        own_ms = prefill_tokens * PREFILL_TOKEN_MS
        others_ms = others_tokens * PREFILL_TOKEN_MS
        waiting = max(outstanding - slots, 0)
        cost_ms = (
            own_ms * (1 + outstanding * PREFILL_PAUSE_SHARE)
            + others_ms
            + outstanding * BATCHED_REQUEST_MS
            + waiting * QUEUED_REQUEST_MS
        )
        return cost_ms * self._fleet.speeds.time_factor(server, now_ms)

    def runner_work_ms(
        self, server: BackendServer, prefill_tokens: int, now_ms: float
    ) -> float:
        """Return the predicted time until the first event, at normal speed."""
        tokens = prefill_tokens + self._fleet.prefill_tokens(server, now_ms)
        outstanding = self._fleet.outstanding_requests(server, now_ms)
        return (
            tokens * PREFILL_TOKEN_MS
            + outstanding * BATCHED_REQUEST_MS
            + FIRST_EVENT_MS
        )

    def plain_ms(self, server: BackendServer, now_ms: float) -> float:
        """Return the cost of a server of a plain service, with penalties."""
        share = self._outstanding(server, now_ms) / max(server.slots, 1)
        factor = self._fleet.speeds.time_factor(server, now_ms)
        return share * PLAIN_FULL_MS * factor + self.penalty_ms(server, now_ms)

    def is_queued(
        self, server: BackendServer, slots: int, now_ms: float
    ) -> bool:
        """Return whether the request probably waits for a place."""
        return self._fleet.outstanding_requests(server, now_ms) + 1 > slots

    def penalty_ms(self, server: BackendServer, now_ms: float) -> float:
        """Return the penalty of a server's zone, health and silence."""
        cost_ms = 0 if server.zone == self._zone else OTHER_ZONE_MS
        health = self._fleet.health(server.instance)
        factor = self._fleet.speeds.time_factor(server, now_ms)
        lag_ms = health.lag_ms(now_ms, factor)
        if health.is_avoided(now_ms):
            cost_ms += AVOIDED_SERVER_MS
        if self._fleet.liveness.is_silent(server.instance, now_ms):
            cost_ms += SILENT_HOST_MS
        return cost_ms + health.failure_rate * 100 + lag_ms

    def _outstanding(self, server: BackendServer, now_ms: float) -> float:
        """Estimate how many requests a server's speed applies to.

        Where speeds are in use the request itself is one of them, so that a
        fast server is preferred among idle ones.
        """
        outstanding = self._fleet.outstanding_requests(server, now_ms)
        return outstanding + self._fleet.speeds.is_active(server, now_ms)
