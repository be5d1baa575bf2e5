"""Records an agent's decisions and orders in its time line and metrics."""

from lagoonflow.placement.actions import HomeAction, SendDecision
from lagoonflow.placement.messages import Decision
from lagoonflow.runners import messages as actions
from lagoonflow.telemetry.metrics import AgentMetrics
from lagoonflow.telemetry.timeline import TimeLine

HOME = 'placement'
RUNNER = 'runners'
MS_PER_S = 1000


class AgentEvents:
    """Records the actions of the agent's home role and of its runner."""

    def __init__(self, timeline: TimeLine, metrics: AgentMetrics) -> None:
        """Use the time line and the metrics of this process."""
        self._timeline = timeline
        self._metrics = metrics

    def on_home_action(self, action: HomeAction) -> None:
        """Record a placement decision that is sent to an agent."""
        if isinstance(action, SendDecision):
            self._record_decision(action.decision)

    def on_runner_action(self, action: actions.Action) -> None:
        """Record an order to the engine, or the start or end of an attempt.

        Other actions of the runner are not recorded.
        """
        match action:
            case actions.OrderLoad(replica=replica, fence=fence):
                self._timeline.record(
                    RUNNER,
                    'load_ordered',
                    model=replica.model,
                    cause=action.decision_id,
                    detail=f'fence {fence}, {action.memory_mb} MB',
                )
            case actions.OrderUnload(replica=replica, fence=fence):
                self._timeline.record(
                    RUNNER,
                    'unload_ordered',
                    model=replica.model,
                    detail=f'fence {fence}',
                )
            case actions.OrderAdapterLoad(adapter=adapter, fence=fence):
                self._timeline.record(
                    RUNNER,
                    'adapter_ordered',
                    model=adapter.replica.model,
                    detail=f'{adapter.adapter}, fence {fence}',
                )
            case actions.StartGeneration():
                self._record_start(action)
            case actions.RefuseQueued():
                self._record_refusal(action)

    def _record_decision(self, decision: Decision) -> None:
        self._timeline.record(
            HOME,
            'decided',
            model=decision.model,
            host=decision.agent,
            cause=decision.decision_id,
        )

    def _record_start(self, action: actions.StartGeneration) -> None:
        self._metrics.queue_wait.observe(action.queue_ms / MS_PER_S)
        self._timeline.record(
            RUNNER,
            'started',
            request_id=action.request.attempt.request_id,
            model=action.replica.model,
            detail=f'queued {action.queue_ms} ms, loading {action.load_ms} ms',
        )

    def _record_refusal(self, action: actions.RefuseQueued) -> None:
        code = action.refusal.code.name
        self._metrics.attempts.labels(code).inc()
        self._timeline.record(
            RUNNER,
            'refused',
            request_id=action.attempt.request_id,
            cause=code,
            detail=action.refusal.reason,
        )
