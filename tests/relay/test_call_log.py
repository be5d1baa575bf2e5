"""Tests of the log line of each call."""

from structlog.testing import capture_logs

from tests.relay.harness import RelayHarness, answer_with


async def test_the_line_of_a_call_names_the_shared_parts_of_its_prompt():
    harness = RelayHarness()
    await harness.add_backends(answer_with('200 OK', 'fine'))
    with capture_logs() as lines:
        await harness.send_request('/read/x', 'Prompt-Prefix: a1:9,b2:4,c3:1')
    ended = [line for line in lines if line['event'] == 'ended']
    assert ended[0]['prompt'] == ('a1', 'b2')
