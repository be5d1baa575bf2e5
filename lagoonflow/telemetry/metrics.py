"""Prometheus metrics of a router or an agent."""

import prometheus_client as prometheus

WAIT_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    0.92,
    2,
    5,
    10,
    30,
    60,
)
TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.035, 0.051, 0.1, 0.25, 1)


class RouterMetrics:
    """Metrics of a router."""

    def __init__(self) -> None:
        """Register the metrics in a new registry."""
        self.registry = prometheus.CollectorRegistry()
        self.requests = prometheus.Counter(
            'lagoonflow_requests',
            'Requests by organisation and result code.',
            ['organisation', 'code'],
            registry=self.registry,
        )
        self.first_token = prometheus.Histogram(
            'lagoonflow_first_token_seconds',
            'Time from arrival to the first part of the answer.',
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.token_gap = prometheus.Histogram(
            'lagoonflow_token_gap_seconds',
            'Time between parts of an answer.',
            buckets=TOKEN_GAP_BUCKETS_S,
            registry=self.registry,
        )
        self.quota_wait = prometheus.Histogram(
            'lagoonflow_quota_wait_seconds',
            'Time that admitted requests waited for tokens.',
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.waiting = prometheus.Gauge(
            'lagoonflow_waiting_requests',
            'Requests in work at this router.',
            registry=self.registry,
        )
        self.tokens = prometheus.Counter(
            'lagoonflow_tokens',
            'Generated tokens by organisation.',
            ['organisation'],
            registry=self.registry,
        )


class AgentMetrics:
    """Metrics of an agent."""

    def __init__(self) -> None:
        """Register the metrics in a new registry."""
        self.registry = prometheus.CollectorRegistry()
        self.attempts = prometheus.Counter(
            'lagoonflow_attempts',
            'Attempts by how they ended.',
            ['code'],
            registry=self.registry,
        )
        self.queue_wait = prometheus.Histogram(
            'lagoonflow_queue_wait_seconds',
            'Time that attempts waited in the run queue.',
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )
