"""Version of the installed package."""

from importlib import metadata


def package_version() -> str:
    """Return the installed version, or ``unknown`` if not installed."""
    try:
        return metadata.version('lagoonflow')
    except metadata.PackageNotFoundError:
        return 'unknown'
