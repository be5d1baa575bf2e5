"""The quota tasks of two routers in one process."""

import asyncio

from lagoonflow.quotas.actions import Admitted
from lagoonflow.quotas.state import QuotaShares
from lagoonflow.quotas.task import QuotaTask
from lagoonflow.releases.messages import OrganisationSpec
from lagoonflow.results import Refusal, Result
from lagoonflow.wire.methods import ACK_ROSTER, BORROW, HAND_OVER
from tests.quotas.test_state import memberships

LIMITS = {'utility': OrganisationSpec(1000, 200)}


class Network:
    """Delivers messages between tasks; some members may be unreachable."""

    def __init__(self, *names: str) -> None:
        self.unreachable: set[str] = set()
        self.tasks = {
            name: QuotaTask(QuotaShares(name, 'n'), self.send) for name in names
        }
        self._running = []

    async def __aenter__(self) -> 'Network':
        for task in self.tasks.values():
            self._running.append(asyncio.create_task(task.run()))
        names = tuple(self.tasks)
        for task in self.tasks.values():
            now_ms = task.clock_ms()
            task.perform(task.shares.on_limits(now_ms, LIMITS, 1))
            task.perform(
                task.shares.on_roster(now_ms, memberships(*names), len(names))
            )
        await asyncio.sleep(0.4)
        return self

    async def __aexit__(self, *_: object) -> None:
        for running in self._running:
            running.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)

    async def send(self, name, method, message):
        await asyncio.sleep(0.002)
        if name in self.unreachable:
            return Refusal(Result.BACKEND_UNREACHABLE, 'unreachable')
        task = self.tasks[name]
        if method is BORROW:
            return task.on_borrow_request(message)
        if method is ACK_ROSTER:
            return task.on_ack(message)
        assert method is HAND_OVER
        return task.on_hand_over(message)


async def test_routers_use_their_shares_after_the_acks_and_borrow() -> None:
    async with Network('a', 'b') as network:
        for name in ('a', 'b'):
            admitted = await network.tasks[name].take('r', 'utility', 90, 500)
            assert isinstance(admitted, Admitted)
        network.tasks['a'].settle(admitted.charge_id, 90)
        wanted = await network.tasks['a'].take('r', 'utility', 120, 2000)
        assert isinstance(wanted, Admitted)


async def test_unreachable_peer_delays_but_does_not_block() -> None:
    async with Network('a', 'b') as network:
        network.unreachable.add('b')
        task = network.tasks['a']
        assert isinstance(await task.take('r1', 'utility', 90, 50), Admitted)
        assert isinstance(await task.take('r2', 'utility', 60, 900), Admitted)
        refusal = await task.take('r3', 'utility', 90, 20)
        assert refusal.code is Result.RATE_EXCEEDED
        assert refusal.retry_after_ms > 0


async def test_cancelled_request_leaves_its_tokens_to_others() -> None:
    async with Network('a') as network:
        task = network.tasks['a']
        assert isinstance(await task.take('r1', 'utility', 200, 50), Admitted)
        waiting = asyncio.create_task(task.take('r2', 'utility', 150, 5000))
        await asyncio.sleep(0.01)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert isinstance(await task.take('r3', 'utility', 50, 500), Admitted)


async def test_shutdown_hands_over_and_waits_for_reservations() -> None:
    async with Network('a', 'b') as network:
        giver, peer = network.tasks['a'], network.tasks['b']
        assert isinstance(await peer.take('r1', 'utility', 100, 50), Admitted)
        started_ms = giver.clock_ms()
        await giver.shut_down()
        assert giver.clock_ms() - started_ms >= 100
        assert giver.shares.balance_tokens('utility') < 50
