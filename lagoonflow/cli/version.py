"""Version of the programs."""

from importlib import metadata


def package_version() -> str:
    """Return the installed version, or ``unknown`` when not installed."""
    try:
        return metadata.version('lagoonflow')
    except metadata.PackageNotFoundError:
        return 'unknown'
