"""Keeps this router's shares of the limits up to date."""

from collections.abc import Iterable, Mapping

from lagoonflow.quotas.account import Account, LimitShares
from lagoonflow.quotas.actions import Action, Refused, SendHandOver
from lagoonflow.quotas.borrowing import Borrower
from lagoonflow.quotas.charges import Charges
from lagoonflow.quotas.gate import ShareGate
from lagoonflow.quotas.messages import RosterAck
from lagoonflow.quotas.settings import QuotaSettings
from lagoonflow.releases.messages import OrganisationSpec
from lagoonflow.results import Refusal, Result
from lagoonflow.roster.state import Membership
from lagoonflow.streams.messages import Versions


class ShareAllocator:
    """Computes the shares of all accounts from the roster and the limits.

    :param name: name of this router in the roster.
    :param nonce: nonce of this process in the roster.
    """

    def __init__(
        self, name: str, nonce: str, settings: QuotaSettings | None = None
    ) -> None:
        """Start without organisations and not in the roster."""
        self._name = name
        self._nonce = nonce
        self._settings = settings or QuotaSettings()
        self._gate = ShareGate(name, nonce, self._settings.reservation_ms)
        self._charges = Charges()
        self._accounts: dict[str, Account] = {}
        self._versions = Versions()
        self._own_share: float = 0
        self._arrivals = 0
        self._is_paused = False
        self._is_leaving = False
        self._offers_expire_ms: float = 0

    @property
    def versions(self) -> Versions:
        """Stream versions that the shares are computed from."""
        return self._versions

    def on_roster(
        self, now_ms: float, memberships: Iterable[Membership], version: int
    ) -> list[Action]:
        """Apply a version of the roster.

        :param memberships: all members, of any role.
        """
        self._versions = Versions(
            self._versions.releases, max(version, self._versions.roster)
        )
        self._gate.on_roster(now_ms, memberships, version)
        return self._refresh_share(now_ms, is_forced=True)

    def on_ack(self, now_ms: float, ack: RosterAck) -> list[Action]:
        """Record the roster version that a peer computes its share by."""
        self._gate.on_ack(now_ms, ack)
        return self._refresh_share(now_ms)

    def on_ack_delivered(self, peer: str, ack: RosterAck) -> None:
        """Record that a peer has received an acknowledgement."""
        self._gate.on_ack_delivered(peer, ack.versions.roster)

    def on_limits(
        self,
        now_ms: float,
        organisations: Mapping[str, OrganisationSpec],
        version: int,
    ) -> list[Action]:
        """Apply the limits in a version of the release notes.

        Requests of organisations that are no longer listed are refused.
        """
        self._versions = Versions(version, self._versions.roster)
        actions: list[Action] = []
        for organisation in self._accounts.keys() - organisations.keys():
            actions.extend(self._remove_account(organisation))
        for organisation, spec in organisations.items():
            account = self._accounts.get(organisation)
            if account is None:
                account = self._new_account(now_ms, organisation)
            account.spec = spec
        return actions + self._refresh_share(now_ms, is_forced=True)

    def on_pause(self) -> None:
        """Admit and lend nothing until ``on_caught_up``.

        Call it when the process has not run for a while, since its view of
        the roster may then be out of date.
        """
        self._is_paused = True

    def on_caught_up(self, now_ms: float) -> list[Action]:
        """Resume after a pause.

        Call ``on_roster`` with the current roster first.
        """
        self._is_paused = False
        return self._serve(now_ms, self._accounts.values())

    def shut_down(self, now_ms: float) -> list[Action]:
        """Stop accruing and offer the remaining tokens to peers.

        Borrow requests have to be answered until ``earliest_leave_ms``.
        """
        self._is_leaving = True
        self._refresh_share(now_ms, is_forced=True)
        self._offers_expire_ms = now_ms + self._settings.borrow_timeout_ms
        offers = [account.offer(now_ms) for account in self._accounts.values()]
        return [SendHandOver(*offer) for offer in offers if offer]

    def earliest_leave_ms(self, now_ms: float) -> float:
        """Earliest time to append this router's departure to the roster.

        Until then peers may borrow what they were offered, and the capacity
        reserved for lent tokens must stay a part of this router's share.
        """
        reserved_until_ms = [
            account.bucket.reserved_until_ms
            for account in self._accounts.values()
        ]
        return max(now_ms, self._offers_expire_ms, *reserved_until_ms)

    def _serve(
        self, now_ms: float, accounts: Iterable[Account]
    ) -> list[Action]:
        actions: list[Action] = []
        for account in accounts:
            actions.extend(account.serve(now_ms, is_paused=self._is_paused))
        return actions

    def _refresh_share(
        self, now_ms: float, *, is_forced: bool = False
    ) -> list[Action]:
        share = self._gate.share(now_ms)
        if is_forced or share != self._own_share:
            self._own_share = share
            shares = self._limit_shares(share)
            for account in self._accounts.values():
                account.borrowing.versions = self._versions
                account.set_share(now_ms, shares)
        actions: list[Action] = []
        actions.extend(self._gate.pending_acks(now_ms, self._versions))
        return actions + self._serve(now_ms, self._waiting_accounts())

    def _limit_shares(self, share: float) -> LimitShares:
        return LimitShares(
            rate=0 if self._is_leaving else share,
            burst=share,
            per_peer=self._gate.share_per_router,
            peers=self._gate.peers,
        )

    def _waiting_accounts(self) -> list[Account]:
        return [account for account in self._accounts.values() if account.queue]

    def _new_account(self, now_ms: float, organisation: str) -> Account:
        account = Account(
            now_ms,
            Borrower(self._name, self._nonce, organisation),
            self._settings,
            self._charges,
        )
        self._accounts[organisation] = account
        return account

    def _remove_account(self, organisation: str) -> list[Action]:
        account = self._accounts.pop(organisation)
        return [
            Refused(request.request_id, no_such_organisation())
            for request in account.queue
        ]


def no_such_organisation() -> Refusal:
    """Return the refusal of a request of an unknown organisation."""
    return Refusal(
        Result.NOT_ALLOWED, 'The organisation is not in the release notes.'
    )
