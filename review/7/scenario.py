"""A stream that is sent over three seconds after the SIGTERM is taken, passed on, and cut."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
from kit import *  # noqa: E402,F403

GRACE_S = 8
CLIENTS = 4
PROMPT, OUTPUT = 1000, 1200
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
    first, second = free_address(9190, 2)
    store.put("keyed.op", "config", configuration(
        1, [stream_route("sum", "pool")], [engine_service("pool", stride=STRIDE)]))
    # An event holds up to 11 tokens, as on the sites; the last one of an answer mostly holds fewer.
    engines = [Engine(record, store, "p1", "pool", "prefill")] + [
        Engine(record, store, name, "pool", "decode", step_ms=3.8, stride=STRIDE)
        for name in ("d1", "d2")
    ]
    for engine in engines:
        await engine.start()
    g1 = Gateway("g1", first, "z", store, folder)
    g2 = Gateway("g2", second, "z", store, folder)
    gateways += [g1, g2]
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(2.5)

    async def whole(gateway, attempt, prompt, output):
        status, found, body = await send(
            gateway.front, "POST", "/sum/x", headers(attempt, prompt, output))
        record("client", attempt, "gets", status, "events", body.count(b"id: "), "of", -(-output // STRIDE))
        return status == 200 and body.count(b"id: ") == -(-output // STRIDE)

    # Ordinary traffic through both machines.
    for k in range(12):
        done = await asyncio.gather(*(
            whole(gateway, f"c{k}{n}{gateway.name}", 3000, (35, 67)[n])
            for gateway in (g1, g2) for n in (0, 1)))
        if not all(done):
            raise CannotRun("ordinary traffic was not served")

    begin = now()
    if trouble:
        g1.kill(signal.SIGTERM)
        record("SIGTERM to g1")
    out_at = None

    async def client(n):
        # The platform forwards connections until two probes in a row have failed.
        await asyncio.sleep(begin + 1.9 + 0.05 * n - now())
        reader, writer = await asyncio.open_connection(*g1.front)
        record("client", n, "connects", f"{now() - begin:.2f} s after SIGTERM")
        await asyncio.sleep(begin + 3.2 + 0.05 * n - now())
        sent = now() - begin
        record("client", n, "sends", f"late{n}", f"{sent:.2f} s after SIGTERM")
        try:
            status, found, body = await exchange(
                reader, writer, "POST", "/sum/x", headers(f"1a7e{n}", PROMPT, OUTPUT))
        finally:
            writer.close()
        ended = now() - begin
        events = body.count(b"id: ")
        record("client", n, "gets", status, "events", events, "of", EVENTS,
               f"{ended:.2f} s after SIGTERM", "code", found.get("x-cranberryridge-code"))
        return sent, status, events, ended

    found = await asyncio.gather(*(client(n) for n in range(CLIENTS)))
    ran = {attempt: at - begin for engine in engines for at, attempt in engine.runs}
    lost = [
        n for n, (sent, status, events, ended) in enumerate(found)
        if status == 0 and f"1a7e{n}" in ran and 3 < sent and ended <= GRACE_S + 1
    ]
    whole_ones = sum(status == 200 and events == EVENTS for _, status, events, _ in found)
    refused = sum(status == 503 for _, status, _, _ in found)
    record.say(f"sent later than 3 s after SIGTERM: {CLIENTS}, whole: {whole_ones}, refused: {refused}, "
               f"passed on and cut: {len(lost)}")
    if lost:
        return 1
    if not trouble and whole_ones < CLIENTS:
        raise CannotRun("without a stop, the streams must be whole")
    return 0


main(os.path.dirname(os.path.abspath(__file__)), scenario)
