"""Streams that clients take up again after all machines were killed at once are refused."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
from kit import *  # noqa: E402,F403
from streams import Clients, two_versions  # noqa: E402

STREAMS = 24
STABLE_S = 3


async def scenario(record, gateways, folder, trouble):
    store = Store(record)
    await store.start()
    store.put("keyed.op", "config", configuration(
        1, [stream_route("sum", "pool", resumable=True)], [engine_service("pool")]))
    for engine in two_versions(record, store):
        await engine.start()
    gateways += [
        Gateway(f"g{n + 1}", ip, "z", store, folder) for n, ip in enumerate(free_address(9190, 2))]
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(6)
    fronts = [gateway.front for gateway in gateways]

    clients = Clients(record)
    for n in range(4):
        await clients.new_stream(n, fronts[n % 2])
    if not all(ok for _, ok in clients.new):
        raise CannotRun("new streams do not begin")
    clients = Clients(record)
    work = [
        asyncio.create_task(clients.client(n, fronts[n % 2], fronts)) for n in range(STREAMS)]
    await asyncio.sleep(1.0)
    if trouble:
        for gateway in gateways:
            gateway.kill(signal.SIGKILL)
        record("SIGKILL to both machines")
        for gateway in gateways:
            await gateway.process.wait()
    clients.cut.set()
    if trouble:
        await asyncio.sleep(0.5)
        for gateway in gateways:
            await gateway.start()
        record("both are started again")
    returned = now()
    await asyncio.gather(clients.newcomers(fronts), *work)
    await asyncio.sleep(2.2)
    # Without the trouble, the machines are in touch all the time.
    taken, share_taken, begun, share_new = clients.judge(returned + STABLE_S if trouble else 0)
    if share_new == 0 or begun < 12 or (not trouble and taken < 12):
        raise CannotRun("too few streams")
    return 1 if taken >= 12 and share_taken < 0.5 * share_new else 0


main(os.path.dirname(os.path.abspath(__file__)), scenario)
