"""TLS contexts that reload certificates when these are replaced on disk."""

import asyncio
import pathlib
import ssl

from lagoonflow.cli.settings import CommonSettings, RouterSettings
from lagoonflow.telemetry.logs import get_logger

RELOAD_INTERVAL_S = 5


class ReloadingContext:
    """A TLS context that reloads its certificate when the files change.

    :ivar context: the context to use for connections.
    """

    def __init__(
        self,
        context: ssl.SSLContext,
        certificate: pathlib.Path,
        key: pathlib.Path,
    ) -> None:
        """Load the certificate.

        :param certificate: file with the certificate chain.
        :param key: file with the private key.
        :raises OSError: when a file can't be read, or the key doesn't match
            the certificate.
        """
        self.context = context
        self._certificate = certificate
        self._key = key
        self._loaded_mtime_ns = self._newest_mtime_ns()
        context.load_cert_chain(certificate, key)

    async def watch(self) -> None:
        """Reload the certificate whenever a file changes, until cancelled."""
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_S)
            self._reload()

    def _reload(self) -> None:
        mtime_ns = self._newest_mtime_ns()
        if mtime_ns == self._loaded_mtime_ns:
            return
        log = get_logger('tls')
        try:
            self.context.load_cert_chain(self._certificate, self._key)
        except OSError as error:
            log.error('Certificate could not be loaded.', error=str(error))
            return
        self._loaded_mtime_ns = mtime_ns
        log.info('Certificate reloaded.')

    def _newest_mtime_ns(self) -> int:
        try:
            return max(
                self._certificate.stat().st_mtime_ns,
                self._key.stat().st_mtime_ns,
            )
        except OSError:
            return 0


def peer_contexts(settings: CommonSettings) -> tuple[ReloadingContext, ...]:
    """Return the TLS contexts for connections between routers and agents.

    :returns: the server's context and the client's; empty without TLS.
    """
    if not settings.has_tls():
        return ()
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server.verify_mode = ssl.CERT_REQUIRED
    client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
    # A peer is trusted if the authority signed its certificate. Host names
    # aren't checked, as addresses change whenever a host is replaced.
    client.check_hostname = False
    for side in (server, client):
        side.load_verify_locations(settings.tls_authority)
        side.set_alpn_protocols(['h2'])
    return tuple(
        ReloadingContext(context, settings.tls_certificate, settings.tls_key)
        for context in (server, client)
    )


def caller_context(settings: RouterSettings) -> ReloadingContext | None:
    """Return the TLS context for callers; ``None`` when TLS is off."""
    if settings.caller_certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    return ReloadingContext(
        context,
        settings.caller_certificate,
        settings.caller_key,
    )
