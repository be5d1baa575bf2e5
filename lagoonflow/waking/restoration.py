"""Restores the models that a runner held before a restart."""

from lagoonflow.backends.messages import RunnerReport

# Models are restored only for this long after a start, in ms; later, demand
# tells better which models to load.
RESTORE_MS = 8000


class ModelRestoration:
    """Remembers which models a runner held before it restarted.

    Runners start empty, and right after all hosts lost power no router knows
    the demand. The models that were held then were in demand.
    """

    def __init__(self) -> None:
        """Start without remembered models."""
        self._models: tuple[str, ...] = ()
        self._has_reported = False
        self._restore_until_ms = float('-inf')

    def record_registered(self, models: tuple[str, ...]) -> None:
        """Store the models from the runner's registration.

        The last one counts, unless the runner itself has reported models.
        """
        if models and not self._has_reported:
            self._models = models

    def record_start(self, now_ms: float) -> None:
        """Begin to restore, as the runner was started."""
        self._restore_until_ms = now_ms + RESTORE_MS

    def record_report(self, report: RunnerReport, now_ms: float) -> None:
        """Remember the held models, in case the runner restarts.

        Reports shortly after a start are ignored, as they list only those
        models that were restored until then.
        """
        if report.models and now_ms > self._restore_until_ms:
            self._models = tuple(held.name for held in report.models)
            self._has_reported = True

    def models_to_restore(
        self, report: RunnerReport, now_ms: float
    ) -> tuple[str, ...]:
        """Return the remembered models that the runner doesn't hold yet."""
        if now_ms > self._restore_until_ms:
            return ()
        held = {one.name for one in report.models}
        return tuple(name for name in self._models if name not in held)
