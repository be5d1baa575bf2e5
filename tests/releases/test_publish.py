"""Publishing a note: reading back, repeated attempts, concurrent notes."""

import asyncio

import pytest

from lagoonflow.releases.changes import decode_change
from lagoonflow.releases.note import Note
from lagoonflow.releases.plan import PlanAction, make_plan
from lagoonflow.releases.publish import Publisher, PublishResult
from lagoonflow.releases.state import ReleaseFold
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.appender import StreamAppender
from lagoonflow.streams.follower import StreamFollower
from lagoonflow.streams.messages import Stream
from tests.releases.notes import adapter, folded, model, note, withdraw
from tests.streams.memory_log import MemoryLog
from tests.streams.test_follower import running


@pytest.fixture
def log():
    return MemoryLog()


def make_note(*changes, note_id=''):
    decoded = tuple(decode_change(fields) for fields in changes)
    return Note(decoded, note_id=note_id, author='ann')


async def publish(log, published, timeout_ms=3_000):
    fold = ReleaseFold()
    appender = StreamAppender(Stream.RELEASES, log, lambda: fold.next_offset)
    follower = StreamFollower(fold, log)
    publisher = Publisher(follower, appender, lambda: 7)
    async with running(follower, appender):
        return await publisher.publish(published, timeout_ms)


@pytest.mark.parametrize('lost', [0, 1, 3])
async def test_note_is_appended_once_when_answers_are_lost(log, lost):
    log.lose_answers = lost
    result = await publish(log, make_note(model()))
    assert result.outcome.is_accepted
    assert not result.is_repeat
    assert len(log.records) == 1


@pytest.mark.parametrize('note_id', ['', 'mine'])
async def test_publishing_again_returns_the_first_attempt(log, note_id):
    first = await publish(log, make_note(model(), note_id=note_id))
    second = await publish(log, make_note(model(), note_id=note_id))
    assert second == PublishResult(first.outcome, is_repeat=True)
    assert len(log.records) == 1


async def test_rejected_note_can_be_published_again_later(log):
    early = await publish(log, make_note(adapter()))
    assert not early.outcome.is_accepted
    await publish(log, make_note(model()))
    late = await publish(log, make_note(adapter()))
    assert late.outcome.is_accepted


async def test_concurrent_notes_on_one_object_accept_exactly_one(log):
    results = await asyncio.gather(
        publish(log, make_note(model(version='1'))),
        publish(log, make_note(model(version='2'))),
        publish(log, make_note(model('other'))),
    )
    accepted = [result.outcome.is_accepted for result in results]
    assert accepted[:2] in ([True, False], [False, True])
    assert accepted[2]


@pytest.mark.parametrize('is_race', [True, False])
async def test_id_of_another_note_is_refused(log, is_race):
    notes = (
        make_note(model(version='1'), note_id='same'),
        make_note(model('other'), note_id='same'),
    )
    if is_race:
        results = await asyncio.gather(*(publish(log, one) for one in notes))
    else:
        results = [await publish(log, one) for one in notes]
    refused = [one for one in results if isinstance(one, Refusal)]
    assert len(refused) == 1
    assert refused[0].code == Result.NOTE_REJECTED


async def test_publishing_is_refused_while_the_log_is_down(log):
    log.is_down = True
    result = await publish(log, make_note(model()), 100)
    assert result.code == Result.LOG_UNAVAILABLE
    assert result.not_run


def test_plan_lists_actions_fields_and_problems():
    fold = folded(note('1', model(), adapter()))
    changes = make_note(
        model(base=1, version='2'),
        model('new'),
        adapter(base=1),
        withdraw('adapter', 'gone', 0),
    ).changes
    plan = make_plan(fold.catalogue, changes)
    assert [planned.action for planned in plan.changes] == [
        PlanAction.CHANGE,
        PlanAction.ADD,
        PlanAction.KEEP,
        PlanAction.WITHDRAW,
    ]
    assert [field.name for field in plan.changes[0].fields] == ['version']
    assert [problem.name for problem in plan.problems] == ['gone']
