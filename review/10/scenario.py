"""After the restart of all machines, those that were removed long ago are taken for schedulers."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
from kit import *  # noqa: E402,F403

# Machines that were removed for good, and replaced by others, in the life of the deployment.
REMOVED = int(os.environ.get("REMOVED", "40"))
# Time after which no machine has them in its list any more.
LATER_S = 58
RECOVERY_S = 12
LIMIT = 20


class Plain:
    """A runner of a service that is no engine. It is in need, and names the requests a second that it
    takes."""

    def __init__(self, record, store, ident, service):
        self.record, self.store, self.ident, self.service = record, store, ident, service
        self.born, self.sequence = born(), 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("keyed.servers", self.ident, dict(
                service=self.service, address=self.address, zone="z", version="v1", slots=6,
                state="ready", coldLeftMs=0, sequence=self.sequence, born=self.born))
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                ident = request.get("attempt-id", "")
                if request.get("expect-instance") not in (None, self.ident):
                    writer.write(answer_bytes(421, {"Instance-Id": self.ident}))
                    continue
                await asyncio.sleep(0.02)
                writer.write(answer_bytes(200, {
                    "Attempt-Id": ident, "Response-Stamp": "s." + ident, "Server-Limit": str(LIMIT)},
                    b"done " + ident.encode()))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def scenario(record, gateways, folder, trouble):
    store = Store(record)
    await store.start()
    store.put("keyed.op", "config", configuration(
        1, [route("decision", "loan", "non_idempotent", 3000, 300)], [dict(name="loan")]))
    for n in range(3):
        await Plain(record, store, f"r{n}", "loan").start()
    g1, g2, *removed = gateways[:] = [
        Gateway(f"g{n + 1}", ip, "z", store, folder)
        for n, ip in enumerate(free_address(9190, 2 + REMOVED))]
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(3)
    for gateway in removed:
        gateway.kill(signal.SIGKILL)
        await gateway.process.wait()
    record(f"{REMOVED} machines are removed for good")
    await asyncio.sleep(LATER_S)

    async def load(seconds):
        """Sends ten requests a second. Returns the share that is served."""
        found, work, end, n = [], [], now() + seconds, 0

        async def one(n):
            ident = f"a{now():.3f}".replace(".", "") + str(n)
            try:
                status, _, _ = await send((g1, g2)[n % 2].front, "POST", "/decision/x", {
                    "Host": "a.example", "Attempt-Id": ident, "Deadline-Ms": "3000"}, b"order", 5)
            except (OSError, asyncio.TimeoutError):
                status = 0
            found.append(status)
            record(ident, "gets", status)

        while now() < end:
            work.append(asyncio.create_task(one(n)))
            n += 1
            await asyncio.sleep(0.1)
        await asyncio.gather(*work)
        return found.count(200) / len(found), len(found)

    before, count = await load(6)
    record.say(f"before the final fault: {count} requests, served {before:.2f}")
    if trouble:
        for gateway in (g1, g2):
            gateway.kill(signal.SIGKILL)
        record("SIGKILL to all machines")
        for gateway in (g1, g2):
            await gateway.process.wait()
        await asyncio.sleep(0.5)
        for gateway in (g1, g2):
            await gateway.start()
        for gateway in (g1, g2):
            await gateway.wait_ready()
        record("the machines are back")
    early, _ = await load(RECOVERY_S)
    after, count = await load(14)
    record.say(f"in the first {RECOVERY_S} s: served {early:.2f}; later: {count} requests, served {after:.2f}")
    if before < 0.25:
        raise CannotRun("too few were served before")
    return 1 if after < 0.25 else 0


main(os.path.dirname(os.path.abspath(__file__)), scenario, 118)
