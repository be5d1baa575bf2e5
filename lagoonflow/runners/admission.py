"""Checks requests to a runner before they change its state."""

from lagoonflow.calls.messages import AttemptRequest
from lagoonflow.placement.messages import Target
from lagoonflow.releases.messages import ModelSpec
from lagoonflow.results import Refusal, Result
from lagoonflow.runners.components import RunnerComponents
from lagoonflow.runners.upgrades import IsKeyValid, is_known
from lagoonflow.streams.messages import Versions


class Admission:
    """Refuses attempts, bids and decisions that can't be carried out.

    :ivar is_stopping: whether the agent is shutting down.
    """

    def __init__(
        self, components: RunnerComponents, is_key_valid: IsKeyValid
    ) -> None:
        self.is_stopping = False
        self._components = components
        self._is_key_valid = is_key_valid

    def admit(self, now_ms: int, request: AttemptRequest) -> Refusal | None:
        """Queue an attempt, or refuse it.

        It is refused when its key, model or adapter isn't valid, when the
        model has no replica here or the engine is unreachable, when its
        first token can't be in time, and during shutdown.
        """
        refusal = self._check(request)
        return refusal or self._enqueue(now_ms, request)

    def spec_for(
        self,
        now_ms: int,
        model: str,
        versions: Versions,
    ) -> ModelSpec | Refusal:
        """Find the specification of a model that a home wants loaded here.

        :param versions: versions of roster and release notes that the home
            has applied.
        :returns: a refusal when the runner can't bid or load now.
        """
        if self.is_stopping:
            return Refusal(Result.SHUTTING_DOWN, 'The agent is shutting down.')
        if versions.roster < self._components.versions.roster:
            return Refusal(
                Result.STALE_VIEW,
                'The home has an older roster than the agent.',
            )
        if (
            self._components.is_engine_unreachable
            or not self._components.may_send_orders(now_ms)
        ):
            return Refusal(
                Result.NO_RUNNER,
                'The engine is unreachable or not ready for orders.',
            )
        spec = self._components.releases.model(model)
        return spec or Refusal(
            Result.UNKNOWN_MODEL, 'The release notes lack the model.'
        )

    def _check(self, request: AttemptRequest) -> Refusal | None:
        if self.is_stopping:
            return Refusal(Result.SHUTTING_DOWN, 'The agent is shutting down.')
        if not self._is_key_valid(request.key_id, request.organisation):
            return Refusal(Result.KEY_WITHDRAWN, 'The key is withdrawn.')
        generation = request.generation
        if generation is None:
            return Refusal(Result.UNKNOWN_MODEL, 'The request names no model.')
        if not is_known(
            self._components.releases,
            Target(generation.model, generation.adapter),
        ):
            return Refusal(
                Result.UNKNOWN_MODEL,
                'The release notes lack the model or adapter.',
            )
        return None

    def _enqueue(self, now_ms: int, request: AttemptRequest) -> Refusal | None:
        scheduler = self._components.scheduler
        entry = scheduler.make_entry(now_ms, request)
        replica = self._components.replicas.find_accepting(entry.target.model)
        if replica is None or self._components.is_engine_unreachable:
            return Refusal(
                Result.STALE_LOCATION,
                'The model has no replica on this runner.',
            )
        self._components.keep_alive.record_request(now_ms, entry.target.model)
        ready_in_ms = self._components.replicas.min_ready_in_ms(now_ms, replica)
        late_by_ms = scheduler.wait_predictor.late_by_ms(
            now_ms, entry, ready_in_ms
        )
        if late_by_ms:
            scheduler.served_ratios.record(
                request.organisation, is_served=False
            )
            return Refusal(
                Result.DEADLINE_UNREACHABLE,
                'The answer can not begin before its deadline.',
                retry_after_ms=late_by_ms,
            )
        scheduler.queue.add(entry)
        return None
