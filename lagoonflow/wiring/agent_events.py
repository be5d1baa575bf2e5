"""Puts what an agent does into its time line and metrics."""

from lagoonflow.placement.actions import HomeAction, SendDecision
from lagoonflow.placement.messages import Decision
from lagoonflow.runners import messages as actions
from lagoonflow.telemetry.metrics import AgentMetrics
from lagoonflow.telemetry.timeline import TimeLine

HOME = 'placement'
RUNNER = 'runners'
MS_PER_S = 1000


class AgentEvents:
    """Observes the actions of a home and of a runner."""

    def __init__(self, timeline: TimeLine, metrics: AgentMetrics) -> None:
        """Record into a time line and into metrics."""
        self._timeline = timeline
        self._metrics = metrics

    def on_home_action(self, action: HomeAction) -> None:
        """Record a decision."""
        if isinstance(action, SendDecision):
            self._note_decision(action.decision)

    def on_runner_action(self, action: actions.Action) -> None:
        """Record an order to the engine or a step of an attempt."""
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
                self._note_start(action)
            case actions.RefuseQueued():
                self._note_refusal(action)

    def _note_decision(self, decision: Decision) -> None:
        self._timeline.record(
            HOME,
            'decided',
            model=decision.model,
            host=decision.agent,
            cause=decision.decision_id,
        )

    def _note_start(self, start: actions.StartGeneration) -> None:
        self._metrics.queue_wait.observe(start.queue_ms / MS_PER_S)
        self._timeline.record(
            RUNNER,
            'started',
            request_id=start.request.attempt.request_id,
            model=start.replica.model,
            detail=f'queued {start.queue_ms} ms, loading {start.load_ms} ms',
        )

    def _note_refusal(self, refused: actions.RefuseQueued) -> None:
        code = refused.refusal.code.name
        self._metrics.attempts.labels(code).inc()
        self._timeline.record(
            RUNNER,
            'refused',
            request_id=refused.attempt.request_id,
            cause=code,
            detail=refused.refusal.reason,
        )
