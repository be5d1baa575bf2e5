"""Decoding of configurations, server entries and settings files."""

import json
import socket

import msgspec
import pytest
from hypothesis import given, strategies

from lagoonflow.declared.messages import RouteKind
from lagoonflow.gossip.messages import RouterState, decode, encode
from lagoonflow.platform.configuration import (
    ConfigurationError,
    decode_configuration,
)
from lagoonflow.platform.servers import EntryError, decode_server
from lagoonflow.platform.settings import PlatformSettingError, parse_settings

ROUTE = {
    'name': 'r1',
    'host': 'Desk.example',
    'path_prefix': '/a/',
    'type': 'streaming',
    'timeout_ms': 5000,
    'target_latency_ms': 800,
    'priority': 1,
    'service': 's1',
    'attempts': 2,
    'resumable': True,
    'gap_target_ms': 600,
}
MODEL = {
    'name': 'm1',
    'weights_mb': 42700.0,
    'load_time_s': 6.0,
    'adapters': 2,
    'adapter_size_mb': 66.0,
    'warm_s': 0.44,
    'disk_load_s': 0.57,
}
CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {
            'name': 's1',
            'max_conns': 360,
            'engine': {
                'models': [MODEL],
                'slots': 64,
                'kv_capacity': 264806,
                'weights_mb': 200000.0,
                'adapter_slots': 8,
                'loads_per_s': 1.6,
            },
        },
    ],
    'limits': {'max_header_bytes': 1000},
    'tenants': [
        {
            'name': 'water',
            'api_keys': ['k1'],
            'unit': 'tokens',
            'plain_tokens': 200,
            'rate_per_s': 100,
            'burst': 300,
        },
    ],
}
ENTRY = {
    'service': 's1',
    'address': '10.0.0.1:80',
    'zone': 'z1',
    'version': 'v1',
    'state': 'ready',
    'slots': 64,
    'cold_left_ms': 0,
    'born': 5,
    'sequence': 3,
    'models': [{'name': 'm1', 'version': 2, 'adapters': ['a1']}],
    'available': {'in_memory': ['m1'], 'on_disk': ['m1', 'm2']},
}
SETTINGS = """
# a comment
node_name=edge-1
zone=z1
ip=10.0.0.9
listen.frontend=10.0.0.9:80
internal_ports=7600,7615
platform.address=10.0.0.2:90
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.grace_s=8
unknown.field=1
"""


def test_decodes_a_configuration():
    state = decode_configuration(msgspec.json.encode(CONFIGURATION))
    route = state.routes[0]
    assert (route.kind, route.host) == (RouteKind.STREAM, 'desk.example')
    assert (route.most_sends, route.gap_target_ms) == (2, 600)
    assert route.shares[0].service == 's1'
    model = state.services['s1'].engine.models['m1']
    assert (model.memory_load_ms, model.store_load_ms) == (440, 6000)
    organisation = state.organisations[0]
    assert organisation.rate_tokens_per_s == 100
    assert not organisation.counts_requests
    assert state.limits.max_head_bytes == 1000
    assert state.requires_keys


def test_without_tenants_no_keys_are_required():
    body = {**CONFIGURATION}
    body.pop('tenants')
    state = decode_configuration(msgspec.json.encode(body))
    assert not state.requires_keys


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'[]',
        b'{"version": "x"}',
        msgspec.json.encode(
            {**CONFIGURATION, 'routes': [{**ROUTE, 'type': 'other'}]},
        ),
    ],
)
def test_refuses_an_unreadable_configuration(raw):
    with pytest.raises(ConfigurationError):
        decode_configuration(raw)


def test_decodes_an_entry():
    server = decode_server('servers/i-1', msgspec.json.encode(ENTRY))
    assert (server.instance, server.started_ms) == ('i-1', 5)
    assert server.models[0].adapters == frozenset(['a1'])
    assert server.on_disk == frozenset(['m1', 'm2'])
    assert not server.is_draining


@pytest.mark.parametrize(
    'change',
    [
        {'born': 2**64 + 5},
        {'sequence': 10**30},
        {'slots': 10**400},
        {'remaining_ms': 10**300},
        {'address': '10.1.1.1:99999'},
        {'address': f'10.1.1.1:{"9" * 400}'},
        {'address': '10.1.1.1:0'},
        {'address': '10.1.1.1\0:80'},
        {'address': f'{"a" * 300}.example:80'},
        {'address': ':80'},
    ],
)
def test_an_entry_that_cannot_be_sent_or_connected_to_is_refused(change):
    # JSON of the standard library has numbers of any length.
    raw = json.dumps({**ENTRY, **change}).encode()
    with pytest.raises(EntryError):
        decode_server('i-1', raw)


@pytest.mark.parametrize(
    'field',
    [
        'service',
        'address',
        'zone',
        'version',
        'slots',
        'state',
        'cold_left_ms',
        'sequence',
    ],
)
def test_an_entry_that_lacks_a_field_names_no_server(field):
    """Another writer's entry under the id of a server of another service."""
    entry = {**ENTRY}
    entry.pop(field)
    with pytest.raises(EntryError):
        decode_server('i-1', msgspec.json.encode(entry))


@pytest.mark.parametrize('key', ['servers/', 'i-1\r\nHost: x', 'i 1', '\0'])
def test_an_entry_whose_id_cannot_be_a_header_is_refused(key):
    with pytest.raises(EntryError):
        decode_server(key, msgspec.json.encode(ENTRY))


@given(
    field=strategies.sampled_from(sorted(ENTRY)),
    value=strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.text(),
        lambda inner: strategies.lists(inner, max_size=3),
        max_leaves=5,
    ),
)
def test_any_entry_is_refused_or_can_be_announced(field, value):
    """Guards against entries that fail later, when they are encoded."""
    raw = json.dumps({**ENTRY, field: value}).encode('utf-8', 'surrogatepass')
    try:
        server = decode_server('i-1', raw)
    except EntryError:
        return
    message = RouterState('r', 'h', 1, server.instance, server.started_ms)
    assert decode(encode(message)) == message
    host, _, port = server.address.rpartition(':')
    assert 0 < int(port) < 65_536
    socket.inet_aton(host)


def test_a_draining_entry_states_its_remaining_time():
    entry = {**ENTRY, 'state': 'draining', 'remaining_ms': 2000}
    server = decode_server('i-1', msgspec.json.encode(entry))
    assert server.is_draining
    assert server.remaining_ms == 2000


@pytest.mark.parametrize(
    ('stated', 'cold_ms'),
    [
        ('900', 900),
        ('1e300', 600_000),
        ('-1', None),
        ('"x"', None),
        ('[]', None),
    ],
)
def test_a_malformed_cold_time_does_not_hide_the_server(stated, cold_ms):
    entry = {**ENTRY}
    entry.pop('cold_left_ms')
    raw = (
        msgspec.json.encode(entry)[:-1] + f',"cold_left_ms":{stated}}}'.encode()
    )
    assert decode_server('i-1', raw).cold_for_ms == cold_ms


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'resting'},
        {'address': 'nowhere'},
        {'address': 7},
        {'slots': 'many'},
        {'born': 1.5},
        {'models': {}},
    ],
)
def test_refuses_a_malformed_entry(change):
    with pytest.raises(EntryError):
        decode_server('i-1', msgspec.json.encode({**ENTRY, **change}))


def test_reads_the_settings():
    settings = parse_settings(SETTINGS)
    assert settings.node == 'edge-1'
    assert settings.peer_port == 7600
    assert settings.withdrawal_ms == 5000
    assert settings.stop_grace_ms == 8000
    assert not settings.runner_address


def test_a_withdrawal_limit_needs_a_strict_bound():
    text = SETTINGS.replace('revoke_strict=true', 'revoke_strict=false')
    assert parse_settings(text).withdrawal_ms == 0


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        ('node_name=edge-1\n', ''),
        ('internal_ports=7600,7615', 'internal_ports=many'),
        ('bounds.grace_s=8', 'bounds.grace_s=long'),
    ],
)
def test_names_the_field_that_is_wrong(old, new):
    with pytest.raises(PlatformSettingError) as error_info:
        parse_settings(SETTINGS.replace(old, new))
    assert old.partition('=')[0] in str(error_info.value)
