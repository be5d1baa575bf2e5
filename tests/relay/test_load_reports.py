"""Tests of answers whose load report can't be read."""

from prometheus_client import CollectorRegistry

from lagoonflow.clock import boottime_ms
from lagoonflow.wiring.platform_metrics import FleetCollector
from tests.relay.harness import RelayHarness, answer_raw, answer_with

COUNTER = 'lagoonflow_malformed_load_reports_total'


async def test_an_answer_with_a_malformed_report_is_counted_and_delivered():
    harness = RelayHarness()
    registry = CollectorRegistry()
    registry.register(FleetCollector(harness.fleet))
    await harness.add_backends(
        answer_with('200 OK', 'fine', 'Instance-Load: 1,2')
    )
    status, _, body = await harness.send_request('/read/x')
    assert (status, body) == (200, b'fine')
    assert registry.get_sample_value(COUNTER) == 1


async def test_the_time_of_an_answer_counts_for_its_servers_speed():
    # A slow server's usual time was counted as lag.
    harness = RelayHarness()
    await harness.add_backends(
        answer_with('200 OK', 'fine', 'Instance-Load: 1,0,8,200')
    )
    for _ in range(3):
        await harness.send_request('/read/x')
    speeds = harness.fleet.speeds
    server = harness.fleet.roster.get('i-0')
    now_ms = boottime_ms()
    assert speeds.is_active(server, now_ms)
    assert speeds.time_factor(server, now_ms) > 1.3
    assert speeds.usual_ms(server, 'route /read/', 1, now_ms) > 0


async def test_without_work_times_no_speed_is_estimated():
    harness = RelayHarness()
    await harness.add_backends(
        answer_with('200 OK', 'fine', 'Instance-Load: 1,0,8')
    )
    await harness.send_request('/read/x')
    speeds = harness.fleet.speeds
    server = harness.fleet.roster.get('i-0')
    assert not speeds.is_active(server, boottime_ms())
    assert speeds.time_factor(server, boottime_ms()) == 1


async def test_the_first_event_of_a_stream_counts_for_its_servers_speed():
    harness = RelayHarness()
    await harness.add_backends(
        answer_raw(
            b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nInstance-Load: 1,0,8,100\r\n'
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n6\r\na: b\n\n\r\n0\r\n\r\n'
        )
    )
    await harness.send_request('/once/x')
    assert harness.fleet.speeds.own_observations(boottime_ms())


async def test_an_answer_faster_than_the_clocks_tick_counts_for_speed(
    monkeypatch,
):
    harness = RelayHarness()
    await harness.add_backends(
        answer_with('200 OK', 'fine', 'Instance-Load: 1,0,8,100')
    )
    now_ms = boottime_ms()
    monkeypatch.setattr('lagoonflow.relay.sending.boottime_ms', lambda: now_ms)
    await harness.send_request('/read/x')
    assert harness.fleet.speeds.own_observations(boottime_ms())
