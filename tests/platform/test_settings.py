"""Tests of the settings file."""

from lagoonflow.platform.settings import parse_settings

TEXT = """
node_name=n
zone=z
ip=10.0.0.1
internal_ports=7000
platform.address=10.0.0.2:1
"""


def test_the_memory_limit_of_the_process_is_read():
    assert not parse_settings(TEXT).memory_bytes
    stated = parse_settings(f'{TEXT}limits.memory_mb=300\n')
    assert stated.memory_bytes == 300_000_000


def test_contention_is_stated_by_a_contract():
    """A name that only contains the contract's doesn't turn features on."""
    assert not parse_settings(TEXT).is_contended
    others = f'{TEXT}contracts=base,pressures,platform\n'
    assert not parse_settings(others).is_contended
    named = f'{TEXT}contracts=base, pressure,platform\n'
    assert parse_settings(named).is_contended
