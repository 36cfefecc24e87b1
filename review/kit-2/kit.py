"""Stand-ins for the scripts of this review: the platform's store, runners, and a starter of gateways.

Everything listens on loopback addresses. The stand-ins are small and behave as the users' pages
say. They use the standard library only.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY = os.path.join(ROOT, "target", "release", "cranberryridge-gateway")
START = time.monotonic()


def now():
    return time.monotonic() - START


def born():
    return int(time.time() * 1000)


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def free_address(port_free, count=1):
    """Returns loopback addresses on which the port of the metrics is free."""
    found = []
    base = os.getpid() % 200 + 20
    for c in range(2, 250):
        ip = f"127.{base}.{c}.1"
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind((ip, port_free))
            except OSError:
                continue
        found.append(ip)
        if len(found) == count:
            return found
    raise CannotRun("no loopback address with a free port")


class CannotRun(Exception):
    pass


class Record:
    """What was sent, answered and run, as lines of text."""

    def __init__(self, path):
        self.file = open(path, "w")
        # Runs that have ended: their runner, attempt and time.
        self.ends = []

    def __call__(self, *words):
        line = f"{now():9.3f}  " + " ".join(str(w) for w in words)
        print(line, file=self.file, flush=True)

    def say(self, *words):
        self(*words)
        print(*words, flush=True)


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(p.partition("=")[::2] for p in query.split("&") if p)

    def get(self, name, default=None):
        return self.headers.get(name, default)


async def read_request(reader):
    """Reads a request, `None` at the end of the connection."""
    head = b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += piece[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Request(method, target, headers, body)


def answer_bytes(status, headers, body=b""):
    reason = {200: "OK"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's log. Loses nothing and answers at once."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.server = None
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def topic(self, name):
        return self.topics.setdefault(name, [])

    def put(self, topic, key, value):
        """Appends what the operator or a runner writes. No value drops the key."""
        text = b"" if value is None else json.dumps(value).encode()
        key = key.encode()
        self.append(topic, [bytes([len(key)]) + key + text])

    def append(self, topic, records):
        log = self.topic(topic)
        first = len(log)
        log.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return first

    def newest(self, topic):
        found = {}
        for offset, record in enumerate(self.topic(topic)):
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            found.pop(key, None)
            if value:
                found[key] = (offset, value)
        return found

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                self.calls += 1
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        query, plain = request.query, {"Content-Type": "application/json"}
        topic = query.get("topic", "")
        log = self.topic(topic)
        if request.path == "/-/log-newest":
            items = self.newest(topic)
            after = query.get("after")
            names = sorted(items)
            if after is not None:
                names = [n for n in names if n > after]
            page = [
                {"key": n, "value": base64.b64encode(items[n][1]).decode(), "offset": items[n][0]}
                for n in names[:500]
            ]
            body = {"items": page, "hasMore": len(names) > 500, "endOffset": len(log)}
            return answer_bytes(200, plain, json.dumps(body).encode())
        if request.path == "/-/log-read":
            start = int(query.get("from", 0))
            until = now() + int(query.get("waitMs", 0)) / 1000
            while start >= len(self.topic(topic)) and now() < until:
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), until - now())
                except asyncio.TimeoutError:
                    break
            log = self.topic(topic)
            body = struct.pack(">QQ", len(log), 0)
            for r in log[start:]:
                body += struct.pack(">I", len(r)) + r
            return answer_bytes(200, {"Content-Type": "application/octet-stream"}, body)
        if request.path == "/-/log-append":
            at = query.get("at")
            if at is not None and int(at) != len(log):
                return answer_bytes(412, plain, json.dumps({"endOffset": len(log)}).encode())
            records, body = [], request.body
            while body:
                (size,) = struct.unpack(">I", body[:4])
                records.append(body[4 : 4 + size])
                body = body[4 + size :]
            first = self.append(topic, records)
            done = {"offset": first, "endOffset": len(self.topic(topic))}
            return answer_bytes(200, plain, json.dumps(done).encode())
        return answer_bytes(404, plain, b"{}")


class Gateway:
    """A gateway started with the command of the deploy file."""

    def __init__(self, name, ip, zone, store, folder, memory_mb=110, heartbeat_ms=1200, params=None):
        self.name, self.ip = name, ip
        self.front = (ip, free_port(ip))
        self.ready = (ip, free_port(ip))
        links = free_port(ip)
        self.file = os.path.join(folder, name + ".toml")
        self.log_path = os.path.join(folder, name + ".log")
        bounds = dict(
            seedLagS=3, reuseAfterS=2, stableWindowMs=3000, ackMs=4000, catchUpS=4, drainMs=2000,
            graceS=8, lossSlackMs=200, configApplyMs=2000, rollbackSlackMs=250, skewMaxMs=5000,
            budgetRatio=0.2, budgetWindowS=10, budgetExtra=52, recoveryS=12, transitMs=120,
            retryAfterS=7.8, requireFence=False, leaseMs=3000, unfreezeMs=300,
        )
        bounds.update(params or {})
        def text(v):
            return str(v).lower() if isinstance(v, bool) else str(v)
        with open(self.file, "w") as f:
            f.write(f'''nodeName = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "r"
portRange = [{links},{links}]
bootstrap = true
heartbeatMs = {heartbeat_ms}
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[listen]
front = "{ip}:{self.front[1]}"
ready = "{ip}:{self.ready[1]}"
[limits]
cpuShare = 0.19
cores = 1
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[contractParams]
''' + "".join(f"{k} = {text(v)}\n" for k, v in bounds.items()) + f'''[platform]
address = "{store.address}"
form = "log"
writesPerS = 400
readsPerS = 2000
''')
        self.process = None

    async def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CRANBERRYRIDGE_BOOT"] = self.file
        self.log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            GATEWAY, env=env, cwd=ROOT, stdout=self.log, stderr=self.log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=10):
        until = now() + seconds
        while now() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def kill(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def memory(self):
        """Returns the resident memory and its peak, in MB."""
        found = {}
        with open(f"/proc/{self.process.pid}/status") as f:
            for line in f:
                name, _, value = line.partition(":")
                if name in ("VmRSS", "VmHWM"):
                    found[name] = int(value.split()[0]) / 1024
        return found.get("VmRSS", 0), found.get("VmHWM", 0)


async def send(address, method, path, headers, body=b"", timeout=30):
    """Sends a request on a new connection. Returns status, headers and body, with the status 0 if
    the connection ended before the answer did."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        return await exchange(reader, writer, method, path, headers, body, timeout)
    finally:
        writer.close()


def request_bytes(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(reader, writer, method, path, headers, body=b"", timeout=30):
    writer.write(request_bytes(method, path, headers, body))
    return await asyncio.wait_for(read_answer(reader), timeout)


async def read_answer(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return 0, {}, b""
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    found = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            found[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "chunked" in found.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += piece[:-2]
        elif "content-length" in found:
            body = await reader.readexactly(int(found["content-length"]))
        else:
            body = await reader.read()
    except asyncio.IncompleteReadError as error:
        return 0, found, body + error.partial
    except (ConnectionError, OSError):
        return 0, found, body
    return status, found, body


def route(name, service, kind="non_idempotent", timeout_ms=14000, slo_ms=1000, **more):
    found = dict(name=name, host="a.example", pathPrefix=f"/{name}/", kind=kind, service=service,
                 timeoutMs=timeout_ms, sloMs=slo_ms, attempts=3, priority=1)
    found.update(more)
    return found


def configuration(version, routes, services, **limits):
    bounds = dict(headerBytes=16384, bodyBytes=1048576, headerTimeoutMs=5000, idleTimeoutMs=15000)
    bounds.update(limits)
    return dict(version=version, routes=routes, services=services, limits=bounds)


async def next_byte(reader):
    """Waits for a byte, or for the end of the connection."""
    try:
        return await reader.read(1)
    except OSError:
        return b""


class Engine:
    """A model runner of one stage, with the speed of its site's pages. Reads prompts, and makes one
    token after the other, an event for each `stride` tokens. Drops a request when its connection
    closes. Never fails."""

    def __init__(self, record, store, ident, service, phase, zone="z", slots=64, tokens=33279,
                 step_ms=4.0, read_per_ms=33.3, stride=1, extra=None, version="v1"):
        self.record, self.store, self.ident, self.service = record, store, ident, service
        self.phase, self.zone, self.slots, self.tokens = phase, zone, slots, tokens
        self.step_ms, self.read_per_ms, self.stride = step_ms, read_per_ms, stride
        self.extra, self.version = extra or {}, version
        self.born, self.state, self.sequence = born(), "ready", 0
        self.running, self.handles, self.runs, self.made = 0, {}, [], 0
        self.busy_until = 0.0
        self.connections = set()
        # Whether its machine has been taken away, and answers nothing any more.
        self.is_gone = False

    async def start(self, port=0, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        self.beating = asyncio.create_task(self.beat())

    def entry(self):
        found = dict(service=self.service, address=self.address, zone=self.zone, version=self.version,
                     slots=self.slots, state=self.state, coldLeftMs=0, sequence=self.sequence,
                     born=self.born)
        if self.phase:
            found.update(phase=self.phase, models=[dict(name="m", version=1, adapters=[])])
        return found

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("keyed.servers", self.ident, self.entry())
            await asyncio.sleep(1.2)

    def headers(self, request):
        found = {"Attempt-Id": request.get("attempt-id", ""), "Weight-Versions": "1",
                 "Server-Load": f"{self.running},0,{self.slots}"}
        if self.state == "draining":
            found["Server-Leaving"] = "1"
        found.update(self.extra)
        return found

    async def leave(self, drain_s):
        """Drains, serves for a time and until its runs are over, and exits. Its machine is taken
        away then."""
        self.state = "draining"
        self.sequence += 1
        self.store.put("keyed.servers", self.ident, self.entry())
        self.record(self.ident, "drains")
        await asyncio.sleep(drain_s)
        while self.running:
            await asyncio.sleep(0.001)
        self.beating.cancel()
        self.is_gone = True
        for writer in list(self.connections):
            writer.close()
        self.store.put("keyed.servers", self.ident, None)
        self.record(self.ident, "has exited, and its machine is taken away")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                if self.is_gone:
                    await asyncio.sleep(3600)
                request = await read_request(reader)
                if request is None:
                    break
                work = asyncio.create_task(self.answer(request, writer))
                watch = asyncio.create_task(next_byte(reader))
                await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    self.record(self.ident, "caller closed", request.get("attempt-id"))
                    await asyncio.gather(work, return_exceptions=True)
                    break
                if not work.result():
                    break
                byte = await watch
                if not byte:
                    break
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        attempt, path = request.get("attempt-id", ""), request.path
        plain = {"Content-Type": "application/json"}
        if path == "/-/report":
            body = dict(phase=self.phase, models=[dict(name="m", version=1, adapters=[])], busy=False,
                        sequence=0, queued=0, running=self.running, kvUsed=0, kvTotal=self.tokens,
                        handles=len(self.handles), born=self.born, state=self.state, runs=[])
            writer.write(answer_bytes(200, plain, json.dumps(body).encode()))
            return True
        if path == "/-/hold-take":
            self.made += 1
            writer.write(answer_bytes(200, plain, b'{"hold":"h%d"}' % self.made))
            return True
        if path.startswith("/-/"):
            writer.write(answer_bytes(200, plain, b"{}"))
            return True
        if request.get("expect-instance") not in (None, self.ident):
            writer.write(answer_bytes(421, {"Instance-Id": self.ident}))
            return True
        tokens, _, most = request.get("token-count", "0,0").partition(",")
        if request.get("serving-stage") == "prefill":
            if self.phase != "prefill":
                writer.write(answer_bytes(421, {"Instance-Id": self.ident}))
                return True
            # One prompt after the other.
            self.busy_until = max(now(), self.busy_until) + int(tokens) / self.read_per_ms / 1000
            await asyncio.sleep(self.busy_until - now())
            self.made += 1
            handle = "%012x" % (self.made * 7919 + self.born % 65536)
            self.handles[handle] = attempt
            self.record(self.ident, "prompt read", attempt)
            body = dict(kvHandle=handle, tokens=int(tokens), version=1)
            headers = dict(self.headers(request), **plain)
            writer.write(answer_bytes(200, headers, json.dumps(body).encode()))
            return True
        if self.phase == "prefill":
            writer.write(answer_bytes(421, {"Instance-Id": self.ident}))
            return True
        self.running += 1
        try:
            if "kv-source" not in request.headers:
                await asyncio.sleep(int(tokens) / self.read_per_ms / 1000 * 2)
            first = int(request.get("last-event-id", "0") or 0)
            self.record(self.ident, "begins", attempt, "tokens", request.get("token-count"),
                        "deadline", request.get("deadline-ms"))
            self.runs.append((now(), attempt))
            head = dict(self.headers(request), **{"Content-Type": "text/event-stream",
                        "Response-Stamp": "s." + attempt, "Transfer-Encoding": "chunked"})
            lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in head.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            begun, count = now(), -(-int(most) // self.stride)
            for number in range(first + 1, count + 1):
                # The last event holds the tokens that are left.
                made = min(number * self.stride, int(most)) - first * self.stride
                due = begun + made * self.step_ms / 1000
                await asyncio.sleep(max(0, due - now()))
                event = b"id: %d\ndata: %s %d\n\n" % (number, attempt.encode(), number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record(self.ident, "ends", attempt)
            self.record.ends.append((self.ident, attempt, now()))
        finally:
            self.running -= 1
        return True


def engine_service(name, slots=64, **more):
    engine = dict(slots=slots, kvCapacity=33279, kvTokenBytes=18432, linkMbps=370000.0, moves=True,
                  backups=True, stride=1, most=12, handleTtlS=0.5, swapS=6.0, pinMs=4000.0,
                  holdMs=2000.0, models=[dict(name="m")])
    engine.update(more)
    return dict(name=name, healthPath="/health", connLimit=360, protocol="h1", tls=False, engine=engine)


def stream_route(name, service, **more):
    found = dict(sticky=True, resumable=False, gapAimMs=300)
    found.update(more)
    return route(name, service, "streaming", 14000, 1000, **found)


async def guarded(work, limit, record):
    try:
        return await asyncio.wait_for(work, limit)
    except CannotRun as error:
        record.say("cannot run:", error)
        return 2
    except Exception as error:
        record.say("cannot run:", type(error).__name__, error)
        record(traceback.format_exc())
        return 2


def main(here, scenario, limit=110):
    """Runs a scenario, ends all processes that it started, and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(here, "record.txt"))
    gateways = []

    async def whole():
        with tempfile.TemporaryDirectory() as folder:
            folder = os.environ.get("KEEP", folder)
            try:
                return await guarded(scenario(record, gateways, folder, trouble), limit, record)
            finally:
                for gateway in gateways:
                    if gateway.process and gateway.process.returncode is None:
                        gateway.process.kill()
                        await gateway.process.wait()

    if not os.path.exists(GATEWAY):
        record.say("cannot run: the gateway is not built")
        sys.exit(2)
    result = asyncio.run(whole())
    record.say("result:", {0: "held", 1: "broken", 2: "could not run"}[result])
    sys.stdout.flush()
    os._exit(result)
