"""Tests of the log line of each call."""

from tests.relay.harness import (
    RelayHarness,
    answer_with,
    encode_request,
    read_answer,
)


class RecordingLog:
    """A logger that keeps the fields of its lines."""

    def __init__(self) -> None:
        self.lines = []

    def info(self, event, **fields) -> None:
        self.lines.append({'event': event, **fields})


async def test_the_line_of_a_call_names_the_shared_parts_of_its_prompt():
    harness = RelayHarness()
    log = RecordingLog()
    harness.calls._call_log._log = log
    await harness.add_backends(answer_with('200 OK', 'fine'))
    await harness.send_request('/read/x', 'Prompt-Prefix: a1:9,b2:4,c3:1')
    (line,) = log.lines
    assert line['event'] == 'ended'
    assert line['prompt'] == ('a1', 'b2')


async def test_lines_of_a_repeated_request_have_the_same_fingerprint():
    harness = RelayHarness()
    log = RecordingLog()
    harness.calls._call_log._log = log
    await harness.add_backends(answer_with('200 OK', 'fine'))
    await harness.send_request('/read/x', body='a')
    for again in ('Attempt-Id: a2', 'Deadline-Ms: 900'):
        reader, writer = await harness.open_connection()
        writer.write(encode_request('/read/x', again, body='a'))
        await read_answer(reader)
    first, *others = (line['fingerprint'] for line in log.lines)
    assert others == [first, first]
