"""Helpers for the tests of the command."""

import asyncio
import threading
from collections.abc import Iterator
from contextlib import contextmanager, redirect_stderr, redirect_stdout
from io import StringIO

from aiohttp import web

from geraniumlead_client.main import main


def build_status(**changes) -> dict:
    """Return the status of a healthy instance."""
    status = {
        "instance_id": "noord-1",
        "data_centre": "noord",
        "ready": True,
        "revision": 7,
        "platform_age_ms": 100.0,
        "refused_documents": {},
        "open_requests": 0,
        "peers": {"noord-2": True},
        "data_centres": {"noord": "in", "zuid": "in"},
        "is_watcher": True,
        "services": {"ledger": {"in_flight": 1, "waiting": 0}},
        "upstreams": {},
    }
    return status | changes


def build_documents(slots: int = 2) -> dict[str, dict]:
    """Return the documents of two data centres that hold the same two shards."""
    documents = {
        "geraniumlead/indexes/ledger/1": {
            "service": "ledger",
            "version": 1,
            "shards": [
                {"shard": shard, "replicas": [f"noord-{shard}", f"zuid-{shard}"]}
                for shard in range(2)
            ],
        }
    }
    for name in ("noord", "zuid"):
        documents[f"geraniumlead/data-centres/{name}"] = {
            "name": name,
            "region": name,
            "state": "in",
        }
        documents[f"geraniumlead/upstreams/{name}"] = {
            "data_centre": name,
            "upstreams": [
                {"upstream_id": f"{name}-{shard}", "service": "ledger", "slots": slots}
                for shard in range(2)
            ],
        }
        documents[f"geraniumlead/instances/{name}"] = {
            "data_centre": name,
            "instances": [{"instance_id": f"{name}-entry-{number}"} for number in range(2)],
        }
    return documents


@contextmanager
def serve(answers: dict[str, dict]) -> Iterator[str]:
    """Serve JSON bodies by path on a loopback port and yield the address."""
    loop = asyncio.new_event_loop()
    started = threading.Event()
    address = []

    async def answer(request: web.Request) -> web.Response:
        body = answers.get(request.path)
        return web.json_response(body, status=200 if body is not None else 404)

    async def start() -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", answer)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        address.append(f"127.0.0.1:{port}")
        started.set()

    thread = threading.Thread(target=lambda: (loop.create_task(start()), loop.run_forever()))
    thread.start()
    started.wait(5)
    try:
        yield address[0]
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()


def run_command(*arguments: str) -> tuple[int, str, str]:
    """Run the command and return its exit code, output and error output."""
    output, errors = StringIO(), StringIO()
    with redirect_stdout(output), redirect_stderr(errors):
        code = main(list(arguments))
    return code, output.getvalue(), errors.getvalue()
