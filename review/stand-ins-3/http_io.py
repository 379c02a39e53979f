"""HTTP/1.1 over asyncio, as far as the stand-ins need it."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit


async def _read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


async def serve(host, port, handler):
    """Calls handler(method, path, query, headers, body) for each request. The result is (status,
    body), or None for a call that gets no response.
    @return the server; its `abort_all` resets the open channels, as a crash does"""
    writers = set()

    async def on_connection(reader, writer):
        writers.add(writer)
        try:
            while True:
                line, headers, body = await _read_message(reader)
                method, target, _ = line.split(" ", 2)
                url = urlsplit(target)
                result = await handler(method, url.path, dict(parse_qsl(url.query)), headers, body)
                if result is None:
                    # A channel on which a response is lost delivers nothing further.
                    await reader.read(-1)
                    return
                status, answer = result
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    def abort_all():
        for writer in list(writers):
            writer.transport.abort()

    server = await asyncio.start_server(on_connection, host, port, limit=1 << 22)
    server.abort_all = abort_all
    return server


async def call(host, port, method, path, headers=None, body=None, timeout=3.0):
    """Sends one request on a channel of its own.
    @return (status, body), or (0, reason) without a response"""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            lines += ["Content-Type: application/json", f"Content-Length: {len(data)}", "", ""]
            writer.write("\r\n".join(lines).encode() + data)
            line, _, answer = await _read_message(reader)
            return int(line.split(" ")[1]), json.loads(answer or b"{}")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.close()
