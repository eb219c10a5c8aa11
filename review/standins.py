"""Stand-ins of the platform's store, of servers and of clients, for the scripts of this review.

They need nothing but Python's standard library, and listen on loopback addresses only.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import re
import signal
import socket
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "search.example"
RECORD_BYTES = 16


class Record:
    """Writes one JSON line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.started_s = time.monotonic()

    def write(self, event, **fields):
        at_s = round(time.monotonic() - self.started_s, 4)
        self._file.write(json.dumps({"at_s": at_s, "event": event, **fields}) + "\n")

    def close(self):
        self._file.close()


def find_free_port(ip="127.0.0.1"):
    """Return a TCP port that is free now."""
    with socket.socket() as found:
        found.bind((ip, 0))
        return found.getsockname()[1]


async def read_head(reader):
    """Return the first line and the headers of a message; None when the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers.setdefault(name.strip().lower(), []).append(value.strip())
    return lines[0], {name: ", ".join(values) for name, values in headers.items()}


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def write_response(writer, status, headers, body=b""):
    """Write a whole response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)


class Store:
    """The platform's store: range, key and watch calls, with a revision counter."""

    def __init__(self):
        self._items = {}
        self._events = []
        self._revision = 1
        self._changed = asyncio.Event()
        self.address = ""
        self.last_read_s = {}

    async def start(self):
        self.address = await self.open_port("")

    async def open_port(self, reader_name):
        """Listen on one more port; calls there count as those of one reader."""

        async def serve(reader, writer):
            await self._serve(reader, writer, reader_name)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Write a key; return the revision."""
        self._revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self._items.get(key, {}).get("createRevision", self._revision)
        item = {"key": key, "value": text, "revision": self._revision}
        self._items[key] = {**item, "createRevision": created, "lease": 0}
        self._add_event(self._items[key])
        return self._revision

    def delete(self, key):
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._add_event({"key": key, "revision": self._revision, "deleted": True})

    def _add_event(self, event):
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer, reader_name):
        try:
            while (head := await read_head(reader)) is not None:
                self.last_read_s[reader_name] = time.monotonic()
                _, target, _ = head[0].split(" ")
                path, _, query = target.partition("?")
                fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
                status, body = await self._answer(path, fields)
                data = json.dumps(body).encode()
                write_response(writer, status, {"Content-Type": "application/json"}, data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, path, fields):
        from urllib.parse import unquote_plus

        fields = {name: unquote_plus(value) for name, value in fields.items()}
        await asyncio.sleep(0.004)
        prefix = fields.get("prefix", "")
        if path == "/-/kv-range":
            keys = sorted(key for key in self._items if key.startswith(prefix))
            keys = [key for key in keys if key > fields.get("after", "")]
            page = [self._items[key] for key in keys[:500]]
            truncated = len(keys) > 500
            return 200, {"items": page, "truncated": truncated, "currentRev": self._revision}
        if path == "/-/kv-key":
            item = self._items.get(fields.get("key", ""))
            if item is None:
                return 404, {"error": "no such key"}
            return 200, {**item, "currentRev": self._revision}
        if path == "/-/kv-watch":
            after = int(fields.get("after", "0"))
            end_s = time.monotonic() + min(30_000, int(fields.get("waitMs", "0"))) / 1000.0
            while True:
                found = [
                    event
                    for event in self._events
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                left_s = end_s - time.monotonic()
                if found or left_s <= 0:
                    return 200, {"events": found, "currentRev": self._revision}
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    pass
        return 404, {"error": "no such path"}


class Server:
    """A server of one service, as the pages describe it: slots, a queue, signed answers.

    ``factor`` is how many times as long as usual it works.
    """

    def __init__(self, record, server_id, service, zone, work_ms, slots=3, queue=18):
        self.record = record
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.work_ms = work_ms
        self.slots = slots
        self.queue = queue
        self.factor = 1.0
        self.is_listed = True
        self.address = ""
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._seq = 0
        self._born = int(time.time() * 1000)

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        """Return the server's entry in the store."""
        self._seq += 1
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmupLeftMs": 0,
            "seq": self._seq,
            "born": self._born,
        }

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                work = asyncio.ensure_future(self._answer(head[0], head[1], body))
                closed = asyncio.ensure_future(reader.read(1))
                await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    # The caller has closed the connection; the request is dropped.
                    work.cancel()
                closed.cancel()
                await asyncio.gather(work, closed, return_exceptions=True)
                if work.cancelled():
                    return
                status, headers, answer = work.result()
                write_response(writer, status, headers, answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, first_line, headers, body):
        method, target, _ = first_line.split(" ")
        request_id = headers.get("request-id", "")
        if target == "/healthz":
            return 200, {"Instance-Id": self.server_id}, b""
        if headers.get("expect-instance", self.server_id) != self.server_id:
            return 421, {"Not-Executed": "1", "Request-Id": request_id}, b""
        self.note_arrival(request_id)
        if self._free.locked() and self._waiting >= self.queue:
            return 503, {"Not-Executed": "1", "Request-Id": request_id}, b""
        end_s = time.monotonic() + float(headers.get("deadline-ms", "1e6")) / 1000.0
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            if time.monotonic() >= end_s:
                return 503, {"Not-Executed": "1", "Request-Id": request_id}, b""
            return await self._run(method, target, request_id, body, end_s)
        finally:
            self._free.release()

    def note_arrival(self, request_id):
        """Be told that a request meant for this server has reached it, before it waits for a slot."""

    async def _run(self, method, target, request_id, body, end_s):
        self.record.write(
            "run", server=self.server_id, service=self.service, request=request_id, target=target
        )
        headers = {
            "Request-Id": request_id,
            "Response-Stamp": signature_of(self.server_id, self.service, request_id),
        }
        work_s = self.work_ms * self.factor / 1000.0
        left_s = end_s - time.monotonic()
        await asyncio.sleep(max(0.0, min(work_s, left_s)))
        if work_s > left_s:
            return 504, headers, b""
        return 200, headers, build_part(self.service, request_id)


def signature_of(server_id, service, request_id):
    """Return the signature of a server's answer to a request."""
    digest = hashlib.sha256(f"{server_id} {service} {request_id}".encode()).hexdigest()[:8]
    return f"{server_id}.{service}.{request_id}.{digest}"


def build_part(service, request_id, count=25):
    """Return the records with which every server of a shard answers a request."""
    return b"".join(
        hashlib.sha256(f"{service} {request_id} {number}".encode()).digest()[:RECORD_BYTES]
        for number in range(count)
    )


def check_merged(request_id, headers, body, shard_sets, top_k, least_share):
    """Return why a success breaks MIXED; None when it doesn't.

    ``shard_sets`` are the sets of shards that configurations have named.
    """
    stamps = [part.strip() for part in headers.get("part-stamps", "").split(",") if part.strip()]
    if not stamps:
        return "no signature"
    services = []
    for stamp in stamps:
        server_id, service, stamped_id, _ = stamp.split(".")
        if stamp != signature_of(server_id, service, stamped_id):
            return f"unknown signature {stamp}"
        if stamped_id != request_id:
            return f"the signature {stamp} is that of an answer to another request"
        services.append(service)
    if len(set(services)) != len(services):
        return "two signatures of one service"
    missing = int(headers.get("missing-parts", "0"))
    if not any(
        set(services) <= set(shards) and len(services) + missing == len(shards)
        for shards in shard_sets
    ):
        return "the parts and the missing parts are not the shards of one configuration"
    if len(services) < least_share * (len(services) + missing):
        return "too few parts for a success"
    records = []
    for service in services:
        part = build_part(service, request_id)
        records += [part[at : at + RECORD_BYTES] for at in range(0, len(part), RECORD_BYTES)]
    if body != b"".join(sorted(records, reverse=True)[:top_k]):
        return "the body isn't the greatest records of the parts named"
    return None


class Client:
    """Sends requests, each on a connection of its own, and retries as the pages allow."""

    def __init__(self, record):
        self.record = record

    async def send(self, address, path, request_id, deadline_ms, method="GET", body=b""):
        """Send one client attempt; return status, headers and body, or None without an answer."""
        self.record.write(
            "sent", request=request_id, to=address, method=method, path=path, deadline_ms=deadline_ms
        )
        answer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000.0):
                answer = await self._exchange(address, path, request_id, deadline_ms, method, body)
        except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError) as error:
            self.record.write("no_answer", request=request_id, why=type(error).__name__)
            return None
        status, headers, _ = answer
        self.record.write("answered", request=request_id, status=status, headers=headers)
        return answer

    async def _exchange(self, address, path, request_id, deadline_ms, method, body):
        ip, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {HOST}",
                f"Request-Id: {request_id}",
                f"Deadline-Ms: {deadline_ms}",
            ]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError("closed without an answer")
            return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
        finally:
            writer.close()


def new_request_id(rng=random):
    """Return a new id of a client attempt."""
    return "%016x" % rng.getrandbits(64)


class Entry:
    """A process of the project, started with the command and the template of the deploy file."""

    def __init__(self, folder, node, zone, zones, store_address, bounds, ip="127.0.0.1"):
        self.node = node
        self.ip = ip
        self.zone = zone
        self.zones = zones
        self.bounds = bounds
        self._store_address = store_address
        self._path = Path(folder) / f"{node}.json"
        self._log = Path(folder) / f"{node}.log"
        self.front, self.ready, self.control, self._metrics = (
            f"{ip}:{find_free_port(ip)}" for _ in range(4)
        )
        self.seeds = []
        self.process = None

    def write_settings(self):
        """Fill in the template of the settings, as the platform does."""
        fields = {
            "node": self.node,
            "zone": self.zone,
            "zones": self.zones,
            "ip": self.ip,
            "portRange": [int(self._metrics.partition(":")[2])],
            "listen": {"front": self.front, "ready": self.ready, "control": self.control},
            "platform": {"addr": self._store_address},
            "seeds": self.seeds,
            "bounds": self.bounds,
        }

        def fill(match):
            value = fields
            for name in match[1].split("."):
                value = value[int(name)] if isinstance(value, list) else value[name]
            return json.dumps(value) if match[2] else str(value)

        template = (ROOT / "deploy" / "settings.json.template").read_text(encoding="utf-8")
        text = re.sub(r"\{\{([a-zA-Z0-9.]+)(\|json)?\}\}", fill, template)
        self._path.write_text(text, encoding="utf-8")

    async def start(self):
        """Start the process."""
        self.write_settings()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "geraniumlead_server.platform_main",
                "--settings",
                str(self._path),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self):
        """Return whether the readiness check of the process answers 200."""
        ip, _, port = self.ready.partition(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await read_head(reader)
            writer.close()
        except OSError:
            return False
        return head is not None and " 200 " in head[0] + " "

    async def wait_until_ready(self, timeout_s=20.0):
        """Wait until the process is ready; raise TimeoutError if it isn't in time."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.01)

    def signal(self, number):
        """Send the process a signal, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def read_log(self):
        """Return what the process has logged."""
        return self._log.read_text(encoding="utf-8", errors="replace")


async def keep_heartbeats(store, servers, interval_s=1.2):
    """Renew the servers' entries, as they do in the store."""
    while True:
        for server in servers:
            if server.is_listed:
                store.put(f"servers/{server.server_id}", server.entry())
            await asyncio.sleep(interval_s / len(servers))


def fail_setup(message):
    """End a script that could not run its case."""
    print(f"could not run: {message}", file=sys.stderr)
    return 2
