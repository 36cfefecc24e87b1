"""The end of a whole stream is held back as its runner is gone, and the stream cut at the stop."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
from kit import *  # noqa: E402,F403

GRACE_S = 8
STREAMS = 8
OUTPUT = 1300
STRIDE = 11
EVENTS = -(-OUTPUT // STRIDE)


def headers(attempt, prompt, output):
    return {
        "Host": "a.example", "Attempt-Id": attempt, "Model": "m", "Token-Count": f"{prompt},{output}",
        "Prompt-Prefix": f"aa:200,{attempt}:{prompt - 200}", "Deadline-Ms": "14000",
    }


async def scenario(record, gateways, folder, trouble):
    store = Store(record)
    await store.start()
    store.put("keyed.op", "config", configuration(
        1, [stream_route("sum", "pool")], [engine_service("pool", stride=STRIDE)]))
    engines = [Engine(record, store, "p1", "pool", "prefill")] + [
        Engine(record, store, name, "pool", "decode", step_ms=3.8, stride=STRIDE)
        for name in ("d1", "d2", "d3")
    ]
    for engine in engines:
        await engine.start()
    gateways += [
        Gateway(f"g{n + 1}", ip, "z", store, folder) for n, ip in enumerate(free_address(9190, 2))]
    g1, g2 = gateways
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(3)

    begin = now()
    ended_at = {}

    async def client(n):
        ident = f"c{n:x}"
        sent = now()
        record("client", n, "sends", ident)
        status, found, body = await send(
            g1.front, "POST", "/sum/x", headers(ident, 1000, OUTPUT))
        events = body.count(b"id: ")
        record("client", n, "gets", status or "no end", "events", events, "of", EVENTS)
        ended_at[n] = now()
        return sent, status, events

    work = [asyncio.create_task(client(n)) for n in range(STREAMS)]
    await asyncio.sleep(0.4)
    if trouble:
        # A runner is emptied and taken away, and a machine is stopped.
        leaving = asyncio.create_task(engines[1].leave(2.3))
        g1.kill(signal.SIGTERM)
        record("SIGTERM to g1")
    stop = now()
    found = await asyncio.gather(*work)
    if trouble:
        await leaving
    lost, whole = [], 0
    for n, (sent, status, events) in enumerate(found):
        runs = [(name, at) for name, ident, at in record.ends if ident == f"c{n:x}"]
        if status == 200 and events == EVENTS:
            whole += 1
        elif status == 0 and runs and ended_at[n] <= stop + GRACE_S + 1:
            name, at = runs[0]
            lost.append(n)
            record.say(f"client {n}: its run ended whole {at - stop:.2f} s after SIGTERM at {name}, "
                       f"its connection {ended_at[n] - stop:.2f} s after, without an end")
            # The excuse of the rule: the runner was at work in the last sixth of the grace period.
            if at - stop > GRACE_S * 5 / 6:
                raise CannotRun("the runs took too long")
    record.say(f"streams: {STREAMS}, whole: {whole}, cut though their run was whole: {len(lost)}")
    if lost:
        return 1
    if whole < STREAMS:
        raise CannotRun("the streams must be whole or cut")
    return 0


main(os.path.dirname(os.path.abspath(__file__)), scenario)
