"""Stand-in for the service that knows which workers a queue's policy allows (PROTOCOL.md, "Running tasks")."""

import asyncio
import json

from httpd import Server

MOST_WAITING = 32


class Advice:
    """Handles the calls of the calling machine one at a time, in turn; refuses a call while 32 wait."""

    def __init__(self, note, decision_ms, per_worker_ms, valid_ms):
        self.note, self.decision_ms, self.per_worker_ms, self.valid_ms = note, decision_ms, per_worker_ms, valid_ms
        self.waiting, self.answered, self.refused = 0, 0, 0
        self.turn = asyncio.Lock()

    async def serve(self):
        server = Server(self.handle)
        await server.start()
        return server.address

    async def handle(self, method, path, query, headers, body):
        if self.waiting >= MOST_WAITING:
            self.refused += 1
            return 429, {}
        call = json.loads(body)
        self.waiting += 1
        async with self.turn:
            self.waiting -= 1
            await asyncio.sleep((self.decision_ms + self.per_worker_ms * len(call["workers"])) / 1000)
        self.answered += 1
        self.note("advice", step=call["step"], workers=len(call["workers"]))
        return 200, {"good": [[worker, "t-" + call["step"]] for worker in call["workers"]], "valid_ms": self.valid_ms}
