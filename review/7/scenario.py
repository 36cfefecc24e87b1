"""Streams that clients take up again after all machines were killed at once are refused."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
from kit import *  # noqa: E402,F403

STREAMS = 24
OUTPUT = 600
STABLE_S = 3
DEADLINE_S = 14
# Clients retry a few times within their deadline, and honour Retry-After.
PAUSES_S = (0.5, 1.0, 2.0, 3.0)


def headers(attempt, left_s, **more):
    found = {
        "Host": "a.example", "Attempt-Id": attempt, "Model": "m", "Token-Count": f"1000,{OUTPUT}",
        "Prompt-Prefix": f"aa:200,{attempt}:800", "Deadline-Ms": str(int(left_s * 1000)),
    }
    found.update(more)
    return found


class Stream:
    """What a client has of a stream."""

    def __init__(self):
        self.last, self.ended, self.status, self.retry_after = 0, False, 0, 0.0

    async def read(self, reader):
        """Reads an answer until it ends, and counts the events that follow those before."""
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split(" ")[1])
        found = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        self.retry_after = float(found.get("retry-after", 0) or 0)
        self.code = found.get("x-cranberryridge-code")
        if self.status != 200:
            return
        text = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            text += (await reader.readexactly(size + 2))[:-2]
            while b"\n\n" in text:
                event, _, text = text.partition(b"\n\n")
                self.last = int(event.split(b"\n")[0][4:])
            if size == 0:
                self.ended = True
                return


async def attempt(address, stream, attempt_id, head):
    """Makes one attempt. Returns whether an event came."""
    before, stream.status, stream.retry_after, stream.code = stream.last, 0, 0.0, None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
    except (OSError, asyncio.TimeoutError):
        return False
    try:
        writer.write(request_bytes("POST", "/sum/x", head))
        await stream.read(reader)
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    return stream.last > before


async def scenario(record, gateways, folder, trouble):
    store = Store(record)
    await store.start()
    ips = free_address(9190, 2)
    store.put("keyed.op", "config", configuration(
        1, [stream_route("sum", "pool", resumable=True)], [engine_service("pool")]))
    # Two software versions serve side by side.
    engines = [
        Engine(record, store, f"{kind}{n}{version}", "pool", phase, version=version)
        for version in ("v1", "v2")
        for kind, phase, count in (("p", "prefill", 1), ("d", "decode", 2))
        for n in range(count)
    ]
    for engine in engines:
        await engine.start()
    gateways += [Gateway(f"g{n + 1}", ip, "z", store, folder) for n, ip in enumerate(ips)]
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(6)
    new = []

    async def begin_stream(n, at):
        """A new stream, which its client leaves after the first events."""
        stream, ident = Stream(), f"e{n:x}"
        gateway = gateways[n % 2]
        work = asyncio.create_task(attempt(gateway.front, stream, ident, headers(ident, 14)))
        await asyncio.wait({work}, timeout=2)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        new.append((at, stream.last > 0))

    for n in range(4):
        await begin_stream(n, 0)
    if not all(ok for _, ok in new):
        raise CannotRun("new streams do not begin")

    begin = now()
    cut = asyncio.Event()
    returned = 0.0
    tries = []

    async def client(n):
        stream, first = Stream(), f"c{n:x}0"
        left = lambda: begin + DEADLINE_S - now()  # noqa: E731
        address = gateways[n % 2].front
        work = asyncio.create_task(attempt(address, stream, first, headers(first, DEADLINE_S)))
        await cut.wait()
        # Without the trouble, the client's connection breaks all the same.
        await asyncio.wait({work}, timeout=0.3)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        record("client", n, "has the events up to", stream.last)
        for k, pause in enumerate(PAUSES_S, 1):
            await asyncio.sleep(max(pause, min(stream.retry_after, left() / 3)))
            if left() < 1 or stream.ended:
                return
            address, ident = gateways[(n + k) % 2].front, f"c{n:x}{k:x}f"
            head = headers(ident, left(), **{"Last-Event-Id": str(stream.last), "Resumes": first})
            sent, before = now(), stream.last
            goes_on = await attempt(address, stream, ident, head)
            if stream.status:
                record("client", n, "takes up after", before, "gets", stream.status, stream.code,
                       "events up to", stream.last)
                tries.append((sent, n, goes_on))

    clients = [asyncio.create_task(client(n)) for n in range(STREAMS)]
    await asyncio.sleep(1.0)
    if trouble:
        for gateway in gateways:
            gateway.kill(signal.SIGKILL)
        record("SIGKILL to both machines")
        for gateway in gateways:
            await gateway.process.wait()
    cut.set()
    if trouble:
        await asyncio.sleep(0.5)
        for gateway in gateways:
            await gateway.start()
        record("both are started again")
    returned = now()

    async def newcomers():
        n = 100
        while now() < begin + DEADLINE_S:
            asyncio.create_task(begin_stream(n, now()))
            n += 1
            await asyncio.sleep(0.25)

    await asyncio.gather(newcomers(), *clients)
    await asyncio.sleep(2.2)
    in_touch = returned + STABLE_S
    # Without the trouble, the machines are in touch all the time.
    start = in_touch if trouble else 0
    taken = {}
    for sent, n, goes_on in tries:
        if sent > start:
            taken[n] = taken.get(n, False) or goes_on
    begun = [ok for at, ok in new if at > max(start, returned)]
    share_taken = sum(taken.values()) / max(1, len(taken))
    share_new = sum(begun) / max(1, len(begun))
    record.say(f"streams taken up at machines in touch: {len(taken)}, share that goes on: "
               f"{share_taken:.2f}; new streams: {len(begun)}, share that begins: {share_new:.2f}")
    if share_new == 0 or len(begun) < 12 or (not trouble and len(taken) < 12):
        raise CannotRun("too few streams")
    return 1 if len(taken) >= 12 and share_taken < 0.5 * share_new else 0


main(os.path.dirname(os.path.abspath(__file__)), scenario)
