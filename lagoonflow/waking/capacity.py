"""Share of a runner's capacity that the demand for its models takes."""

from lagoonflow.waking.runner_view import RunnerView


def capacity_shares(runner_view: RunnerView, now_ms: float) -> dict[str, float]:
    """Return the share of the runner's capacity that demand takes, by model.

    That is the larger one of the share of its time that prompts take and of
    the share of its batch. Models that the runner has a copy of count as if
    it held them.
    """
    shares = runner_view.demand.prefill_shares(now_ms)
    spec = runner_view.spec
    slots = 1 if spec is None else max(spec.slots, 1)
    for model, running in runner_view.running_requests_by_model(now_ms).items():
        shares[model] = max(shares.get(model, 0), running / slots)
    return shares
