"""Full names, which join a model with an adapter."""


def full_name(model: str, adapter: str) -> str:
    """Return ``model/adapter``, or the model when there is no adapter."""
    return f'{model}/{adapter}' if adapter else model


def model_of(name: str) -> str:
    """Return the model of a full name."""
    return name.partition('/')[0]
