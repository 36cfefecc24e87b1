"""Clients that take streams up again."""

import asyncio

from kit import Engine, now, request_bytes

OUTPUT = 600
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


async def attempt(address, stream, head, path):
    """Makes one attempt. Returns whether an event came."""
    before, stream.status, stream.retry_after, stream.code = stream.last, 0, 0.0, None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
    except (OSError, asyncio.TimeoutError):
        return False
    try:
        writer.write(request_bytes("POST", path, head))
        await stream.read(reader)
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    return stream.last > before


def two_versions(record, store, service="pool"):
    """Runners of two software versions of a service, which serve side by side."""
    return [
        Engine(record, store, f"{service}-{kind}{n}{version}", service, phase, version=version)
        for version in ("v1", "v2")
        for kind, phase, count in (("p", "prefill", 1), ("d", "decode", 2))
        for n in range(count)
    ]


class Clients:
    """Clients whose streams break, and who take them up again, beside others with new streams."""

    def __init__(self, record, paths=("/sum/x",)):
        self.record, self.begin, self.paths = record, now(), paths
        self.cut = asyncio.Event()
        # Time, number of the client and whether the stream went on.
        self.tries = []
        # Time, and whether an event came.
        self.new = []

    def left(self):
        return self.begin + DEADLINE_S - now()

    async def new_stream(self, n, address):
        """A new stream, which its client leaves after the first events."""
        stream, ident, at = Stream(), f"e{n:x}", now()
        work = asyncio.create_task(attempt(
            address, stream, headers(ident, DEADLINE_S), self.paths[n % len(self.paths)]))
        await asyncio.wait({work}, timeout=2)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        self.new.append((at, stream.last > 0))

    async def newcomers(self, addresses):
        n = 100
        while self.left() > 0:
            asyncio.create_task(self.new_stream(n, addresses[n % len(addresses)]))
            n += 1
            await asyncio.sleep(0.25)

    async def client(self, n, address, others):
        stream, first, path = Stream(), f"c{n:x}0", self.paths[n % len(self.paths)]
        work = asyncio.create_task(attempt(address, stream, headers(first, DEADLINE_S), path))
        await self.cut.wait()
        # If nothing else breaks its connection, the client does.
        await asyncio.wait({work}, timeout=0.3)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        self.record("client", n, "has the events up to", stream.last)
        for k, pause in enumerate(PAUSES_S, 1):
            await asyncio.sleep(max(pause, min(stream.retry_after, self.left() / 3)))
            if self.left() < 1 or stream.ended:
                return
            ident, address = f"c{n:x}{k:x}f", others[(n + k) % len(others)]
            more = {"Last-Event-Id": str(stream.last), "Resumes": first}
            sent, before = now(), stream.last
            goes_on = await attempt(address, stream, headers(ident, self.left(), **more), path)
            if stream.status:
                self.record("client", n, "takes up after", before, "gets", stream.status,
                            stream.code, "events up to", stream.last)
                self.tries.append((sent, n, goes_on))

    def judge(self, start):
        """Returns the number of streams that were taken up after a time and the share of them that
        went on, and the same of new streams that began."""
        taken = {}
        for sent, n, goes_on in self.tries:
            if sent > start:
                taken[n] = taken.get(n, False) or goes_on
        begun = [ok for at, ok in self.new if at > start]
        share_taken = sum(taken.values()) / max(1, len(taken))
        share_new = sum(begun) / max(1, len(begun))
        self.record.say(
            f"streams taken up at machines in touch: {len(taken)}, share that goes on: "
            f"{share_taken:.2f}; new streams: {len(begun)}, share that begins: {share_new:.2f}")
        return len(taken), share_taken, len(begun), share_new
