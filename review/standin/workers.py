"""Stand-ins for workers and for the platform's list of machines (PROTOCOL.md, "Running tasks" and "Machines")."""

import asyncio
import json
import time

from httpd import Server

HEARTBEAT_S = 1.5
STOP_S = 0.3


class Link:
    """TCP proxy before a worker that can be cut: bytes are held up in both directions until it heals."""

    def __init__(self, port):
        self.target = port
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            await self.open.wait()
            peer_reader, peer_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        ends = [asyncio.create_task(self.pump(reader, peer_writer)), asyncio.create_task(self.pump(peer_reader, writer))]
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        for end in ends:
            end.cancel()
        for side in (writer, peer_writer):
            side.transport.abort()

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass


class Worker:
    """One worker. `rate` is the speed of its steady clock, 0.98 at least."""

    def __init__(self, fleet, name, pool, zone, rack, cpu=16000, rate=1.0):
        self.fleet, self.name, self.pool, self.zone, self.rack = fleet, name, pool, zone, rack
        self.cpu, self.rate = cpu, rate
        self.machine = "m-" + name[2:]
        self.link = None
        self.port = 0
        self.up = False
        self.reachable = True  # its path to the store
        self.beat_task = None

    async def start(self):
        """Starts a life of the worker: it knows nothing of the one before."""
        self.server = Server(self.handle)
        await self.server.start(self.port)
        self.port = self.server.port
        if self.link is None:
            self.link = Link(self.port)
            await self.link.start()
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token, self.deadline, self.sequence, self.count = 0, 0, 0, 0
        self.runs, self.ends, self.last_run = {}, [], {}
        self.changed = asyncio.Event()
        self.up = True
        self.fleet.note("worker starts", worker=self.name, born=self.born)
        self.beat_task = asyncio.create_task(self.beat())

    async def crash(self):
        self.up = False
        self.beat_task.cancel()
        for (task, run), row in list(self.runs.items()):
            row["timer"].cancel()
            self.fleet.note("run ends with its worker", task=task, run=run, worker=self.name)
            self.fleet.ended(task, run, self.name, "crash")
        self.runs.clear()
        self.fleet.note("worker crashes", worker=self.name)
        await self.server.stop()

    def cut(self):
        """Partitions the worker from the system and from the store; it runs on."""
        self.reachable = False
        self.link.open.clear()
        self.expiry = asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.expire)

    def expire(self):
        self.fleet.note("entry of the worker is removed", worker=self.name)
        self.fleet.store.put("keyed.servers", self.name, None)

    def heal(self):
        self.expiry.cancel()
        self.reachable = True
        self.link.open.set()

    def clock(self):
        return int(1000 + (time.monotonic() - self.began) * 1000 * self.rate)

    async def beat(self):
        while True:
            self.sequence += 1
            if self.reachable:
                self.fleet.store.put("keyed.servers", self.name, {
                    "service": self.pool, "address": f"127.0.0.1:{self.link.port}", "zone": self.zone, "version": "v1",
                    "slots": 8, "state": "ready", "cold_left_ms": 0,
                    "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0}, "labels": ["a", self.rack],
                    "clock_ms": self.clock(), "sequence": self.sequence, "born": self.born})
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-rattanfall-target-instance", self.name) != self.name:
            return 421, {}
        call = json.loads(body)
        if call.get("fencing_token", 0) < self.token:
            return 409, self.stamp({"reason": "fence"})
        self.token = call.get("fencing_token", 0)
        name = path.rsplit("/", 1)[-1]
        if name == "run-start":
            return self.order_start(call)
        if name == "run-stop":
            return self.order_stop(call)
        if name == "hold":
            return await self.hold(call)
        return 200, self.stamp({})

    def stamp(self, answer):
        return {"clock_ms": self.clock(), "born": self.born} | answer

    def extend(self, deadline):
        """Extends the lease of all runs, to `hold_max_ms` from now at most."""
        self.deadline = max(self.deadline, min(deadline, self.clock() + self.fleet.hold_max_ms))

    def order_start(self, call):
        task, run = call["task"], call["run_number"]
        if (task, run) in self.runs:
            self.extend(call["deadline_ms"])
            return 200, self.stamp({})
        if call["deadline_ms"] <= self.clock():
            return 409, self.stamp({"reason": "late"})
        self.extend(call["deadline_ms"])
        if run <= self.last_run.get(task, 0):
            return 409, self.stamp({"reason": "old"})
        duration = int(call["spec"].split("ms=")[1].split()[0]) / 1000
        self.last_run[task] = run - 1
        self.fleet.started(task, run, self.name, call["spec"])
        timer = asyncio.create_task(self.work(task, run, duration))
        self.runs[task, run] = {"timer": timer, "began": time.monotonic(), "duration": duration}
        return 200, self.stamp({})

    async def work(self, task, run, duration):
        until = time.monotonic() + duration
        while time.monotonic() < until:
            await asyncio.sleep(min(0.02, until - time.monotonic()))
            if self.clock() >= self.deadline:
                return self.end(task, run, "lapsed")
        self.end(task, run, "done")

    def order_stop(self, call):
        task, run = call["task"], call["run_number"]
        row = self.runs.get((task, run))
        if row is None:
            self.last_run[task] = max(run, self.last_run.get(task, 0))
        elif not row.get("stopping"):
            row["stopping"] = True
            asyncio.get_running_loop().call_later(STOP_S, self.stop_now, task, run, self.born)
        return 200, self.stamp({})

    def stop_now(self, task, run, born):
        row = self.runs.get((task, run))
        if row and born == self.born and self.up:
            row["timer"].cancel()
            self.end(task, run, "stopped")

    def end(self, task, run, how):
        self.runs.pop((task, run), None)
        self.count += 1
        self.ends.append([self.count, task, run, how, ""])
        self.last_run[task] = max(run, self.last_run.get(task, 0))
        self.fleet.ended(task, run, self.name, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def hold(self, call):
        born = self.born
        for end in [end for end in self.ends if end[0] <= call.get("last_seen", 0)]:
            self.ends.remove(end)
            self.fleet.noted(end[1], end[2], end[3])
        if "deadline_ms" in call:
            self.extend(call["deadline_ms"])
        until = time.monotonic() + min(call.get("wait_ms", 0), 2000) / 1000
        while not self.ends and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        assert born == self.born
        now = time.monotonic()
        running = [
            [task, run, "", min(99, int(100 * (now - row["began"]) / row["duration"])), 0]
            for (task, run), row in self.runs.items()
        ]
        return 200, self.stamp({"running": running, "finished": self.ends[:500]})


class Machines:
    """The platform's list of machines. Orders to machines are not needed by the cases and find every machine busy."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def handle(self, method, path, query, headers, body):
        if method == "GET":
            rows = []
            for worker in self.fleet.workers.values():
                row = {"machine": worker.machine, "pool": worker.pool, "state": "up" if worker.up else "down",
                       "zone": worker.zone, "labels": ["a", worker.rack],
                       "capacity": {"cpu": worker.cpu, "mem_mb": 65536, "gpu": 0}}
                if worker.up:
                    row["id"] = worker.name
                rows.append(row)
            return 200, {"machines": rows, "next_token": None}
        return 409, {"reason": "busy"}
