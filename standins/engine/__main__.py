"""Starts the stand-in for the model engine."""

from standins.engine.app import Engine
from standins.engine.settings import parse_settings
from standins.serving import serve


def main() -> None:
    """Read the flags and serve."""
    settings, host, port = parse_settings()
    serve(Engine(settings).app(), host, port)


if __name__ == '__main__':
    main()
