"""Claims of several routers on one claims stream with faults."""

import asyncio
import itertools

import pytest

from lagoonflow.calls import actions, claims_task
from lagoonflow.calls.claim_records import ClaimKey, Outcome, OutcomeKind
from lagoonflow.calls.claimed_call import ClaimedCall
from lagoonflow.calls.claims_fold import ClaimsFold
from lagoonflow.calls.claims_task import ClaimGranted, ClaimPorts, ClaimsTask
from lagoonflow.calls.messages import Finish, ServiceAnswer
from lagoonflow.clients.messages.log import Appended
from lagoonflow.clock import boottime_ms
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.envelope import encode_record
from lagoonflow.streams.messages import LogRecord
from tests.calls.fleet import wait_until

KEY = ClaimKey('org', 'route', 'key')
ANSWERED = Outcome(OutcomeKind.ANSWERED, 201, (), b'body')
APPEND_UNCERTAIN = Refusal(Result.LOG_UNAVAILABLE, 'no answer', not_run=False)


class Log:
    """A fake claims stream with faults.

    :ivar is_up: whether the log service can be reached.
    :ivar loses_answers: whether appended records are left unconfirmed.
    :ivar is_reading: whether the routers receive appended records.
    """

    def __init__(self):
        self.is_up = True
        self.loses_answers = False
        self.is_reading = True
        self.routers = []
        self.records = []
        self.ids = itertools.count()

    def add_router(self, name, clock_ms=boottime_ms):
        fold = ClaimsFold()
        ports = ClaimPorts(
            append=self.append,
            is_log_reachable=lambda: self.is_up,
            is_member=lambda member, _: member != 'dead',
            clock_ms=clock_ms,
            new_id=lambda: f'{name}/{next(self.ids)}',
        )
        task = ClaimsTask(fold.state, name, f'{name}/1', ports)
        self.routers.append((fold, task))
        return task

    async def append(self, record, timeout_ms):
        await asyncio.sleep(0)
        offset = len(self.records)
        self.records.append(LogRecord(offset, encode_record(record)))
        self.read()
        if self.loses_answers:
            return APPEND_UNCERTAIN
        return Appended(offset)

    def read(self):
        if not self.is_reading:
            return
        for fold, task in self.routers:
            for record in self.records[fold.next_offset :]:
                fold.apply(record)
            task.on_folded()


@pytest.fixture
def log():
    return Log()


@pytest.fixture
def routers(log):
    return [log.add_router(f'router-{number}') for number in range(3)]


def claim(router, digest='digest', in_ms=2000):
    return router.claim(KEY, digest, boottime_ms() + in_ms)


@pytest.mark.guarantee_10
async def test_one_of_many_claims_is_granted_and_the_others_get_its_outcome(
    routers,
):
    claiming = [asyncio.create_task(claim(one)) for one in routers * 4]
    await wait_until(lambda: any(task.done() for task in claiming))
    (granted,) = [task.result() for task in claiming if task.done()]
    routers[0].settle(granted.claim_id, ANSWERED)
    results = await asyncio.gather(*claiming)
    assert results.count(ANSWERED) == len(results) - 1
    assert await claim(routers[1]) == ANSWERED


async def test_key_with_another_body_is_refused(routers):
    await claim(routers[0])
    refusal = await claim(routers[1], 'other')
    assert refusal.code is Result.KEY_REUSED_WITH_OTHER_BODY


async def test_call_that_did_not_run_lets_a_waiting_claim_be_granted(routers):
    granted = await claim(routers[0])
    waiting = asyncio.create_task(claim(routers[1]))
    await asyncio.sleep(0.01)
    routers[0].settle(granted.claim_id, Outcome(OutcomeKind.NOT_RUN))
    assert isinstance(await waiting, ClaimGranted)


async def test_repeat_of_a_running_call_is_refused_as_pending(routers):
    await claim(routers[0])
    refusal = await claim(routers[1], in_ms=20)
    assert refusal.code is Result.CLAIM_PENDING
    assert not refusal.not_run


@pytest.mark.guarantee_09
async def test_claim_is_refused_while_the_log_is_unreachable(log, routers):
    log.is_up = False
    refusal = await claim(routers[0])
    assert refusal.code is Result.CLAIM_LOG_UNAVAILABLE
    assert refusal.not_run
    assert refusal.retry_after_ms
    assert not log.records


@pytest.mark.guarantee_09
@pytest.mark.parametrize('fault', ['loses_answers', 'is_reading'])
async def test_claim_with_an_uncertain_append_is_not_run_and_settled_later(
    log, routers, fault, monkeypatch
):
    monkeypatch.setattr(claims_task, 'LOG_TIMEOUT_MS', 50)
    setattr(log, fault, not getattr(log, fault))
    refusal = await claim(routers[0])
    assert refusal.not_run
    setattr(log, fault, not getattr(log, fault))
    log.read()
    waiting = asyncio.create_task(claim(routers[1]))
    await asyncio.sleep(0.01)
    assert not waiting.done()
    routers[0].sweep()
    assert isinstance(await waiting, ClaimGranted)


@pytest.mark.parametrize('late_ms', [0, 60_000])
async def test_claim_that_is_granted_too_late_is_not_run(log, late_ms):
    ahead_ms = 0
    router = log.add_router('router', lambda: boottime_ms() + ahead_ms)
    claiming = asyncio.create_task(claim(router))
    await asyncio.sleep(0)
    ahead_ms = late_ms
    result = await claiming
    assert isinstance(result, Refusal if late_ms else ClaimGranted)


async def test_outcome_is_appended_until_the_stream_shows_it(log, routers):
    granted = await claim(routers[0])
    log.is_reading = False
    routers[0].settle(granted.claim_id, ANSWERED)
    await asyncio.sleep(0.01)
    assert len(log.records) == 2
    log.is_reading = True
    log.read()
    routers[0].sweep()
    routers[0].sweep()
    await asyncio.sleep(0.01)
    assert len(log.records) == 2
    assert await claim(routers[2]) == ANSWERED


async def test_claim_of_a_dead_router_gets_an_unknown_outcome(log, routers):
    assert isinstance(await claim(log.add_router('dead')), ClaimGranted)
    settler = routers[0]._settler
    state = log.routers[0][0].state
    settler.due_records(state, lambda *_: False, 0)
    (closed,) = settler.due_records(state, lambda *_: False, 10_000)
    routers[0]._append_in_background('closed', closed)
    outcome = await claim(routers[1])
    assert outcome.kind is OutcomeKind.UNKNOWN


HEAD = actions.DeliverAnswer(ServiceAnswer(201, ()))
BODY = actions.DeliverBody(b'body')
FINISH = actions.DeliverFinish(Finish('stop'))
LARGE = actions.DeliverBody(b'x' * 5000)
UNKNOWN = Refusal(Result.OUTCOME_UNKNOWN, 'gone', not_run=False)
LATE = Refusal(Result.DEADLINE_UNREACHABLE, 'late')


async def answer_of(parts, gate=None):
    for part in parts:
        if gate is not None:
            await gate.wait()
        yield part


@pytest.mark.parametrize(
    ('parts', 'outcome'),
    [
        ([HEAD, BODY, FINISH], ANSWERED),
        (
            [HEAD, LARGE, FINISH],
            Outcome(OutcomeKind.ANSWERED, 201, (), b'', True),
        ),
        ([HEAD, BODY, actions.Refuse(UNKNOWN)], Outcome(OutcomeKind.UNKNOWN)),
        ([actions.Refuse(LATE)], Outcome(OutcomeKind.NOT_RUN)),
        ([HEAD], Outcome(OutcomeKind.UNKNOWN)),
    ],
)
async def test_outcome_is_settled_once_after_the_caller_disconnected(
    parts, outcome
):
    settled = []
    call = ClaimedCall(answer_of(parts), settled.append, 1000)
    call._on_caller_gone()
    await call.run()
    assert settled == [outcome]


async def test_caller_is_answered_at_its_deadline_and_the_call_continues():
    settled, gate = [], asyncio.Event()
    call = ClaimedCall(
        answer_of([HEAD, BODY, FINISH], gate), settled.append, 20
    )
    running = asyncio.create_task(call.run())
    (refused,) = [part async for part in call.answer()]
    assert not refused.refusal.not_run
    gate.set()
    await running
    assert settled == [ANSWERED]
