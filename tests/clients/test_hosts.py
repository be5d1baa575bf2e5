"""The host list client, against the host list stand-in."""

import asyncio

from lagoonflow.clients.hosts import HostListClient
from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.hosts import Host, HostList
from loopback.http import request, set_faults

ENTRY = {'address': '127.0.0.1', 'port': 7, 'zone': 'z', 'role': 'agent'}


async def test_host_list_lags_behind_changes(standin):
    address = standin('hostlist', '--lag-ms', '300')
    client = HostListClient(address)
    request(address, 'PUT', '/hosts/a', ENTRY)
    assert await client.fetch() == HostList(())
    await asyncio.sleep(0.4)
    live = Host('a', '127.0.0.1', 7, 'z', 'agent', 'live')
    assert await client.fetch() == HostList((live,))
    request(address, 'PUT', '/hosts/a', {**ENTRY, 'state': 'leaving'})
    await asyncio.sleep(0.4)
    assert (await client.fetch()).hosts[0].state == 'leaving'
    request(address, 'DELETE', '/hosts/a')
    assert len((await client.fetch()).hosts) == 1
    await asyncio.sleep(0.4)
    assert await client.fetch() == HostList(())


async def test_outage_is_unavailable(standin):
    address = standin('hostlist')
    set_faults(address, outage=True)
    assert isinstance(await HostListClient(address).fetch(), Unavailable)
