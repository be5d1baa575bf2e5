"""Starts the stand-in for the log service."""

from standins.log.app import LogService
from standins.serving import build_parser, serve


def main() -> None:
    """Read the flags and serve."""
    parser = build_parser('Append-only log service.')
    parser.add_argument('--appends-per-s', type=float, default=400)
    parser.add_argument('--retention-s', type=float, default=600)
    flags = parser.parse_args()
    service = LogService(flags.appends_per_s, flags.retention_s)
    serve(service.app(), flags.host, flags.port)


if __name__ == '__main__':
    main()
