"""Minimal HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import json


class Drop(Exception):
    """Raised by a handler to close the connection without an answer."""


async def read_message(reader):
    """Reads a head and a body with a length. Returns the first line, the headers and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Server:
    """Server whose handler gets (method, path, query, headers, body) and returns (status, body)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def stop(self):
        """Closes the listener and resets all connections, as a killed process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                path, _, text = target.partition("?")
                query = dict(part.partition("=")[::2] for part in text.split("&") if part)
                status, answer = await self.handler(method, path, query, headers, body)
                kind = "application/octet-stream"
                if not isinstance(answer, bytes):
                    answer, kind = json.dumps(answer).encode(), "application/json"
                head = f"HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {len(answer)}\r\n\r\n"
                writer.write(head.encode() + answer)
                await writer.drain()
        except (Drop, asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(address, method, path, headers=None, body=None, timeout=3.0):
    """Makes a call on a new connection. Returns (status, parsed body), or (None, reason) without an answer."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = {"host": address, "content-length": str(len(data)), "connection": "close"} | (headers or {})
            if data:
                lines["content-type"] = "application/json"
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items())
            writer.write(head.encode() + b"\r\n" + data)
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        status, answer = await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError) as error:
        return None, type(error).__name__
    try:
        return status, json.loads(answer) if answer else None
    except ValueError:
        return status, answer
