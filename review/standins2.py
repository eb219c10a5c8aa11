"""Stand-ins for the scripts of the second review: store, servers, clients and a process manager.

They use the standard library only, listen on loopback addresses, and do what the platform's
pages describe. A case changes the behaviour of a server with ``Server.behave``.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START_S = time.monotonic()


def now():
    """Return the seconds since the script started."""
    return time.monotonic() - START_S


class Record:
    """The file in which a case writes what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")

    def write(self, text):
        self._file.write(f"{now():9.3f} {text}\n")

    def say(self, text):
        """Write a line, and print it as well."""
        self.write(text)
        print(f"{now():9.3f} {text}", flush=True)

    def close(self):
        self._file.close()


def free_port(addresses):
    """Return a port that is free on all of some loopback addresses."""
    for _ in range(200):
        port = random.randint(20000, 32000)
        found = []
        try:
            for address in addresses:
                probe = socket.socket()
                found.append(probe)
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((address, port))
            return port
        except OSError:
            continue
        finally:
            for probe in found:
                probe.close()
    raise RuntimeError("no free port")


async def read_head(reader):
    """Return the first line and the headers (lower-case names) of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message that has a length or is sent in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's store. Each machine calls it at an address of its own.

    ``refuse`` holds the machines that get no usable answer, and ``delay_s`` how long an answer
    takes on its way to each of them.
    """

    def __init__(self, record):
        self._record = record
        self._items = {}
        self._log = []
        self._changed = asyncio.Event()
        self._servers = []
        self.revision = 1
        self.refuse = {}
        self.delay_s = {}

    async def listen(self, machine, address, port):
        self._servers.append(
            await asyncio.start_server(lambda r, w: self._serve(machine, r, w), address, port)
        )

    def put(self, key, value):
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision}
        created = self._items.get(key, {}).get("createRevision", self.revision)
        item |= {"createRevision": created, "lease": 0}
        self._items[key] = item
        self._note(item)

    def delete(self, key):
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event):
        self._log.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, machine, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                mode = self.refuse.get(machine)
                if mode == "silent":
                    await asyncio.sleep(3600)
                target = head[0].split(" ")[1]
                path, _, query = target.partition("?")
                arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
                status, body = 503, {}
                if mode is None:
                    status, body = await self._answer(path, arguments)
                data = json.dumps(body).encode()
                await asyncio.sleep(0.004 + self.delay_s.get(machine, 0.0))
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, arguments):
        prefix = arguments.get("prefix", "").replace("%2F", "/")
        if path == "/-/kv-range":
            keys = sorted(key for key in self._items if key.startswith(prefix))
            after = arguments.get("after", "").replace("%2F", "/")
            keys = [key for key in keys if key > after]
            items = [self._items[key] for key in keys[:500]]
            return 200, {
                "items": items,
                "truncated": len(keys) > 500,
                "currentRev": self.revision,
            }
        if path == "/-/kv-watch":
            after = int(arguments["after"])
            until_s = time.monotonic() + min(30000, int(arguments["waitMs"])) / 1000.0
            while True:
                changed = self._changed
                events = [
                    event
                    for event in self._log
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                left_s = until_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), left_s)
                except TimeoutError:
                    pass
        return 404, {}


class Server:
    """One server of a service.

    It runs ``slots`` requests at once, queues 12 more and rejects the others with Not-Executed.
    ``work_s`` returns how long a request takes. A request is dropped when its connection closes.
    """

    numbers = itertools.count(1)

    def __init__(self, record, store, service, zone, address, port, work_s, slots=3, max_conns=30):
        self.number = next(self.numbers)
        self.id = f"i-{self.number:04x}{random.getrandbits(16):04x}"
        self.service, self.zone, self.address, self.port = service, zone, address, port
        self.work_s, self.slots, self.max_conns = work_s, slots, max_conns
        self.runs = []
        self.behave = None
        self.max_queue = 12
        self._record, self._store = record, store
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._connections = 0
        self._writers = set()
        self._restart = None
        self._is_down = False
        self._born = int(time.time() * 1000)
        self._listener = None
        self._seq = 0

    async def start(self):
        self._listener = await asyncio.start_server(
            self._serve, self.address, self.port, limit=1 << 20
        )
        self.publish("ready")

    def publish(self, state, **fields):
        self._seq += 1
        self._store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "addr": f"{self.address}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "warmupLeftMs": 0,
                "seq": self._seq,
                "born": self._born,
                **fields,
            },
        )

    def withdraw(self):
        self._store.delete(f"servers/{self.id}")

    async def crash(self, back_after_s):
        """Lose all connections and requests, and start anew under the same id later."""
        if self._is_down:
            return
        self._is_down = True
        self._record.write(f"crash {self.id}")
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

        async def restart():
            await asyncio.sleep(back_after_s)
            self._born = int(time.time() * 1000)
            self._is_down = False
            await self.start()

        self._restart = asyncio.create_task(restart())

    def make_body(self, request_id):
        rng = random.Random(f"{self.service} {request_id}")
        return b"".join(rng.randbytes(16) for _ in range(20))

    async def _serve(self, reader, writer):
        self._connections += 1
        self._writers.add(writer)
        try:
            if self._connections > self.max_conns:
                writer.transport.abort()
                return
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                await self._handle(method, target, headers, body, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, method, target, headers, body, reader, writer):
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            await self.answer(writer, 421, {"Instance-Id": self.id}, b"")
            return
        if target == "/healthz":
            await self.answer(writer, 200, {"Instance-Id": self.id}, b"")
            return
        if self._waiting >= self.max_queue:
            fields = {"Not-Executed": "1", "Request-Id": request_id}
            await self.answer(writer, 503, fields, b"")
            return
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            await self._run(method, target, headers, body, request_id, reader, writer)
        finally:
            self._slots.release()

    async def _run(self, method, target, headers, body, request_id, reader, writer):
        run = {
            "at": now(),
            "server": self.id,
            "service": self.service,
            "id": request_id,
            "method": method,
            "target": target,
            "body": body,
            "deadline": headers.get("deadline-ms"),
            "headers": headers,
            "ended": None,
        }
        self.runs.append(run)
        self._record.write(
            f"run {request_id} {method} {target} at {self.service} {self.id} "
            f"deadline {headers.get('deadline-ms')} body {len(body)}"
        )
        try:
            if self.behave is not None and await self.behave(self, run, reader, writer):
                return
            left_s = float(headers.get("deadline-ms", 60000)) / 1000.0
            work_s = self.work_s(run)
            gone = asyncio.ensure_future(reader.read(1)) if not reader.at_eof() else None
            done, _ = await asyncio.wait(
                [gone] if gone else [], timeout=min(work_s, left_s)
            )
            if done:
                # The connection was closed, so the request is dropped.
                gone.exception()
                raise ConnectionError
            if gone:
                gone.cancel()
                await asyncio.gather(gone, return_exceptions=True)
            if work_s > left_s:
                await self.answer(writer, 504, {"Request-Id": request_id}, b"")
                return
            await self.answer_ok(writer, request_id)
        finally:
            run["ended"] = now()

    def stamp(self, request_id):
        return f"{request_id}.{self.id}.{random.getrandbits(32):08x}"

    async def answer_ok(self, writer, request_id):
        fields = {"Request-Id": request_id, "Response-Stamp": self.stamp(request_id)}
        await self.answer(writer, 200, fields, self.make_body(request_id))

    async def answer(self, writer, status, fields, body):
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(
            f"HTTP/1.1 {status} X\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        await writer.drain()


class Reply:
    """What a client got: a status (None for a connection that ended without one) and its parts."""

    def __init__(self, status, headers, body, detail=""):
        self.status, self.headers, self.body, self.detail = status, headers, body, detail


class Connection:
    """One connection of a client."""

    def __init__(self, address):
        self._address = address
        self.reader = self.writer = None

    async def open(self):
        host, port = self._address.split(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=1 << 23), 1.0
        )

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None

    async def send(self, method, host, target, request_id, deadline_ms, body=b"", extra=""):
        if self.writer is None:
            await self.open()
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        self.writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n{extra}{length}\r\n".encode()
            + body
        )
        await self.writer.drain()

    async def receive(self, timeout_s):
        """Return the reply to the request that was sent last."""
        try:
            return await asyncio.wait_for(self._receive(), timeout_s)
        except TimeoutError:
            self.close()
            return Reply(None, {}, b"", "timeout")
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self.close()
            return Reply(None, {}, b"", f"closed {type(error).__name__}")

    async def _receive(self):
        head = await read_head(self.reader)
        if head is None:
            self.close()
            return Reply(None, {}, b"", "closed")
        line, headers = head
        body = await read_body(self.reader, headers)
        if "close" in headers.get("connection", ""):
            self.close()
        return Reply(int(line.split(" ")[1]), headers, body)


def read_command():
    """Return the words of the deploy file's command, without the path of the settings."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["entry"]["run"].split(" ")[:-1]


class Instance:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, record, folder, name, settings):
        self.name, self.settings = name, settings
        self._record = record
        self._path = Path(folder) / f"{name}.json"
        self._log_path = Path(folder) / f"{name}.log"
        self.process = None
        self.front = settings["listen"]["callers"]
        self.ready = settings["listen"]["ready"]

    async def start(self):
        self._path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
            "GERANIUMLEAD_BOOT": str(self._path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self._log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *read_command(),
                str(self._path),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        self._record.write(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def log_lines(self):
        return self._log_path.read_text(errors="replace").splitlines()

    async def is_ready(self):
        host, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and " 200 " in head[0]

    async def end(self):
        if self.is_running:
            self.process.kill()
            await self.process.wait()


class Deployment:
    """A small deployment: machines in zones, a store, servers and a configuration.

    ``machines`` maps a machine's name to its zone, ``regions`` a zone to its region.
    """

    def __init__(self, record, machines, regions, bounds=None):
        self.record = record
        self.regions = regions
        self.folder = tempfile.TemporaryDirectory(prefix="review2-")
        self.store = Store(record)
        self.servers = []
        self.instances = {}
        self.version = 0
        self._net = random.randint(1, 60)
        self._bounds = bounds or {}
        self._machines = machines

    def _address(self, kind, number):
        return f"127.{self._net + 64 * kind}.{number // 200}.{1 + number % 200}"

    async def start(self):
        addresses = [self._address(0, number) for number in range(len(self._machines))]
        front, ready, peers, metrics = (free_port(addresses) for _ in range(4))
        seeds = [f"{address}:{peers}" for address in addresses[:3]]
        for number, (name, zone) in enumerate(self._machines.items()):
            address = addresses[number]
            store_address = self._address(2, number)
            store_port = free_port([store_address])
            await self.store.listen(name, store_address, store_port)
            settings = {
                "instance_id": name,
                "data_centre": zone,
                "data_centres": self.regions,
                "listen": {
                    "callers": f"{address}:{front}",
                    "ready": f"{address}:{ready}",
                    "peers": f"{address}:{peers}",
                    "metrics": f"{address}:{metrics}",
                },
                "store": f"{store_address}:{store_port}",
                "seeds": seeds,
                "bounds": {
                    "drain_ms": 4000,
                    "configuration_ms": 4000,
                    "evacuation_ms": 5000,
                    "stop_s": 6,
                    "extra_share": 0.2,
                    "extra_slack": 54,
                    "extra_window_s": 10,
                    "cold_factor": 1.5,
                    "cold_slack": 5,
                }
                | self._bounds,
            }
            self.instances[name] = Instance(self.record, self.folder.name, name, settings)
        for instance in self.instances.values():
            await instance.start()

    async def add_server(self, service, zone, work_s, **options):
        address = self._address(1, len(self.servers))
        port = free_port([address])
        server = Server(
            self.record, self.store, service, zone, address, port, work_s, **options
        )
        self.servers.append(server)
        await server.start()
        return server

    def configure(self, routes, max_conns=30, **service_fields):
        """Write a configuration; each route holds what differs from the defaults."""
        self.version += 1
        names = {server.service for server in self.servers}
        for route in routes:
            names |= set(route.get("fanout") or [])
        self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": [
                    {
                        "name": f"r{number}",
                        "hostname": "app.example",
                        "type": "safe",
                        "timeoutMs": 4000,
                        "latencyGoalMs": 800,
                        "priority": 1,
                        "maxAttempts": 2,
                        "allowedRegions": [],
                    }
                    | route
                    for number, route in enumerate(routes)
                ],
                "services": [
                    {
                        "name": name,
                        "healthPath": "/healthz",
                        "maxConns": max_conns,
                        "protocol": "h1",
                        "tls": False,
                        "warmupS": 3.0,
                        "warmupPerS": 0.0,
                    }
                    | service_fields
                    for name in sorted(names)
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            },
        )

    async def wait_ready(self, timeout_s=15.0):
        until_s = time.monotonic() + timeout_s
        waiting = list(self.instances.values())
        while waiting and time.monotonic() < until_s:
            waiting = [found for found in waiting if not await found.is_ready()]
            await asyncio.sleep(0.1)
        return not waiting

    async def end(self):
        for instance in self.instances.values():
            await instance.end()
        self.folder.cleanup()


def run_case(folder, play, seconds=115):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run.

    ``play`` gets the record and whether the disruption is wanted, and returns whether the rule
    was broken. It appends the deployments that it starts to the list that it gets.
    """
    record = Record(Path(folder) / "record.txt")
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {is_troubled}")

    async def run():
        started = []
        try:
            return await asyncio.wait_for(play(record, is_troubled, started), seconds)
        finally:
            for deployment in started:
                await deployment.end()

    try:
        is_broken = asyncio.run(run())
    except BaseException as error:  # noqa: BLE001
        record.say(f"could not run: {type(error).__name__} {error}")
        code = 2
    else:
        record.say("the rule was broken" if is_broken else "the rule held")
        code = int(is_broken)
    record.close()
    sys.exit(code)
