"""Three of twenty servers are taken away at once and never report draining."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import fleet  # noqa: E402

ROUTERS = 2
SERVERS = 20
REQUESTS_PER_S = 200
LEAVING = 3  # 3 of 20 and 3 of 17: a share of 0.15 and 0.176
LITTLE_LONGER_S = 0.15
SLACK_S = 0.01  # for the way of a request that was sent in time


async def main(record, temporary, trouble) -> bool:
    net = fleet.Net()
    store = fleet.Store(net.ip(), 0)
    store.port = fleet.free_ports(store.ip, 1)[0]
    store.address = f'{store.ip}:{store.port}'
    await store.open()
    store.put('keyed.op', 'config', fleet.configuration(
        1, [fleet.route('confirm', 'non_idempotent', 'portal-app')],
        [{'name': 'portal-app', 'max_conns': 96, 'health_path': '/healthz'}],
    ))
    servers = []
    for _ in range(SERVERS):
        ip = net.ip()
        servers.append(fleet.Server(
            store, 'portal-app', ip, fleet.free_ports(ip, 1)[0], record))
        await servers[-1].open()
        await asyncio.sleep(fleet.HEARTBEAT_S / SERVERS)
    routers = [fleet.Program('router', net, store, temporary) for _ in range(ROUTERS)]
    caller = fleet.Caller(record)
    tasks = set()
    try:
        for router in routers:
            router.start()
        for router in routers:
            await fleet.wait_until(lambda router=router: fleet.is_ready(router))
        await asyncio.sleep(4)

        async def traffic() -> None:
            count = 0
            while True:
                router = routers[count % ROUTERS]
                count += 1
                task = asyncio.create_task(caller.send(router.frontend, '/confirm/x'))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / REQUESTS_PER_S)

        async def leave(server, removed) -> None:
            await asyncio.sleep(fleet.DRAIN_S + LITTLE_LONGER_S)
            server.close()
            record.add('server exits', server=server.name)

        flow = asyncio.create_task(traffic())
        late = []
        await asyncio.sleep(3)
        for _wave in range(2):
            group, servers = servers[:LEAVING], servers[LEAVING:]
            removed_at = fleet.now()
            if trouble:
                for server in group:
                    server.stop_heartbeat()
                    server.remove_entry()
                    record.add('store removes the entry', server=server.name)
                await asyncio.gather(*(leave(one, removed_at) for one in group))
                limit = removed_at + fleet.DRAIN_S + SLACK_S
                late += [one for s in group for one in s.arrivals if one[0] > limit and one[2]]
            else:
                servers += group
                await asyncio.sleep(fleet.DRAIN_S + LITTLE_LONGER_S)
            await asyncio.sleep(4)
        flow.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        lost = [one for one in late if caller.answers.get(one[1], 0) != 200]
        record.add('result', arrived_later_than_drain_ms=len(late), of_these_lost=len(lost),
                   all_requests=len(caller.answers),
                   not_answered_200=sum(s != 200 for s in caller.answers.values()))
        print((FOLDER / 'record.txt').read_text().splitlines()[-1])
        return bool(late)
    finally:
        caller.close()
        for router in routers:
            router.end()
        for server in servers:
            server.close()
        store.close()


fleet.run_case(main, FOLDER)
