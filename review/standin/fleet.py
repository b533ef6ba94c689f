"""A small deployment on loopback addresses: stand-ins of the platform, and the deploy file's program as processes."""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

import httpd
from store import Store, serve
from workers import Link, Machines, Worker

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "rattanfall-node")
HOST = "pule25.example"
KEY = "sjnbanfqasnmgkcuyj8p"
ZONES = ["zone-a", "zone-b", "zone-c"]

SETTINGS = """node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "region"
port_range = [{range0},{range1}]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry_mode = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform","advice","upkeep","sharing"]
control_mode = "rpc"
advice = "{advice}"
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen_addrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
hold_max_ms = {hold_max_ms}
stop_timeout_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = {status_s}
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
require_fence = false
lease_ms = 3000
[platform]
address = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
partition_mb = 200
ttl_min_ms = 1000
[cloud_api]
address = "{machines}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""


def free_ports(count):
    """Ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Node:
    """One entry instance: a process of the deploy file's program."""

    def __init__(self, fleet, number):
        self.fleet, self.zone = fleet, ZONES[number % len(ZONES)]
        self.name = f"edge-{self.zone}-{number}"
        self.choose_ports()
        self.link = Link(fleet.store_server.port)  # its path to the store
        self.process = None

    def choose_ports(self):
        self.front, self.ready, metrics = free_ports(3)
        self.range0 = metrics - 1

    @property
    def address(self):
        return f"127.0.0.1:{self.front}"

    async def start_first(self):
        """Starts the process for the first time; another program may take one of its ports meanwhile."""
        for _ in range(5):
            await self.start()
            if not await self.fleet.until(lambda: self.process.returncode is not None, 0.3):
                return
            self.choose_ports()

    async def start(self):
        if not hasattr(self.link, "port"):
            await self.link.start()
        path = os.path.join(self.fleet.folder, f"{self.name}.toml")
        with open(path, "w") as file:
            file.write(SETTINGS.format(
                name=self.name, zone=self.zone, range0=self.range0, range1=self.range0 + 15, front=self.front,
                ready=self.ready, store=f"127.0.0.1:{self.link.port}", machines=self.fleet.machine_server.address,
                hold_max_ms=self.fleet.hold_max_ms, status_s=self.fleet.status_s, advice=self.fleet.advice))
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.fleet.folder, "RATTANFALL_BOOT": path}
        with open(os.path.join(self.fleet.folder, f"{self.name}.log"), "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.fleet.note("process starts", node=self.name)

    async def signal(self, number):
        if self.process and self.process.returncode is None:
            self.fleet.note("signal", node=self.name, signal=signal.Signals(number).name)
            self.process.send_signal(number)

    async def kill(self):
        await self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        status, _ = await httpd.request(f"127.0.0.1:{self.ready}", "GET", "/rattanfall/ready", timeout=1)
        return status == 200

    def log_lines(self):
        with open(os.path.join(self.fleet.folder, f"{self.name}.log"), errors="replace") as file:
            return file.read().splitlines()


class Fleet:
    """The deployment, what it was asked and what it did."""

    def __init__(self, record, hold_max_ms=10000, status_s=120):
        self.hold_max_ms, self.status_s = hold_max_ms, status_s
        self.record = open(record, "w")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.advice = ""  # address of the service for advice
        self.workers, self.nodes = {}, []
        self.running = {}  # task -> {(run, worker)}
        self.done = {}  # task -> (run, noted)
        self.late_starts = []  # starts after a done end that is not noted yet
        self.starts = []  # (time, task, run, worker)
        self.ends = []  # (time, task, run, worker, how)
        self.broken = []

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **fields):
        text = " ".join(f"{key}={json.dumps(value)}" for key, value in fields.items())
        self.record.write(f"{self.now():9.3f} {what} {text}\n")
        self.record.flush()

    def fail(self, rule, detail):
        self.broken.append((rule, detail))
        self.note(f"RULE BROKEN {rule}", detail=detail)

    # What workers report to the checks.

    def started(self, task, run, worker, spec):
        self.note("run starts", task=task, run=run, worker=worker)
        self.starts.append((self.now(), task, run, worker))
        others = self.running.setdefault(task, set())
        if others:
            self.fail("TWICE", f"{task} run {run} starts on {worker} while runs {sorted(others)} are at work")
        others.add((run, worker))
        if task in self.done:
            end, noted = self.done[task]
            if noted:
                self.fail("TWICE", f"{task} run {run} starts after run {end} has ended done, which was taken note of")
            else:
                self.late_starts.append((task, run))

    def ended(self, task, run, worker, how):
        self.note("run ends", task=task, run=run, worker=worker, how=how)
        self.ends.append((self.now(), task, run, worker, how))
        self.running.get(task, set()).discard((run, worker))
        if how == "done":
            self.done.setdefault(task, (run, False))

    def noted(self, task, run, how):
        self.note("end is taken note of", task=task, run=run, how=how)
        if how == "done" and self.done.get(task, (run, False))[0] == run:
            self.done[task] = (run, True)
            for late, number in self.late_starts:
                if late == task:
                    self.fail("TWICE", f"{task} run {number} started after run {run} had ended done, noted later")

    # Setting up and clearing away.

    async def start(self, nodes, workers, pools=("pool",), bound=None, advice=None):
        """Starts stand-ins and processes. `workers` holds the arguments of each worker."""
        self.store = Store(self.note)
        self.store_server = await serve(self.store)
        self.machine_server = httpd.Server(Machines(self).handle)
        await self.machine_server.start()
        self.configure(pools, bound, advice)
        for arguments in workers:
            worker = Worker(self, **arguments)
            self.workers[worker.name] = worker
            await worker.start()
        for number in range(nodes):
            node = Node(self, number)
            self.nodes.append(node)
        await asyncio.gather(*[node.start_first() for node in self.nodes])
        if not await self.until(self.all_ready, 20):
            raise RuntimeError("the entry instances are not ready")

    def configure(self, pools, bound, advice):
        routes = [
            {"name": f"r-{pool}", "host": HOST, "path_prefix": f"/{pool}/", "kind": "non_idempotent", "timeout_ms": 3000,
             "target_latency_ms": 600, "priority": 1, "service": pool, "max_attempts": 3, "stretch": 1.6,
             "auth_exempt": False} for pool in pools]
        for route in routes if advice else []:
            route["advice"] = advice
        services = [
            {"name": pool, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
             "cold_start_s": 0.0, "cold_per_s": 0.0, "rejects_overload": False, "standby": False} for pool in pools]
        tenant = {"name": "tenant", "api_keys": [KEY], "priority": 1, "weight": 60,
                  "upper_bound": bound or {"cpu": 0, "mem_mb": 0, "gpu": 0}}
        self.store.put("keyed.op", "config", {
            "version": 7, "routes": routes, "services": services, "tenants": [tenant],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}})

    async def all_ready(self):
        return all([await node.is_ready() for node in self.nodes])

    async def until(self, condition, seconds, pause=0.05):
        """Waits for a condition, which may be a coroutine function. False after the time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            met = condition()
            if asyncio.iscoroutine(met):
                met = await met
            if met:
                return True
            await asyncio.sleep(pause)
        return False

    async def stop(self):
        for node in self.nodes:
            await node.kill()
        for worker in self.workers.values():
            worker.beat_task.cancel()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def cut_zone(self, zone):
        """Partitions a zone from the other zones and from the store. Clients still reach it."""
        self.note("zone is cut off", zone=zone)
        for worker in self.workers.values():
            if worker.zone == zone:
                worker.cut()
        for node in self.nodes:
            if node.zone == zone:
                node.link.open.clear()

    def heal_zone(self, zone):
        self.note("zone is back", zone=zone)
        for worker in self.workers.values():
            if worker.zone == zone:
                worker.heal()
        for node in self.nodes:
            if node.zone == zone:
                node.link.open.set()

    # Clients.

    async def call(self, node, method, pool, job="", body=None, deadline_ms=3000):
        headers = {"host": HOST, "authorization": f"Token {KEY}", "x-rattanfall-deadline-ms": str(deadline_ms)}
        status, answer = await httpd.request(
            node.address, method, f"/{pool}/{job}", headers, body, timeout=deadline_ms / 1000)
        self.note("call", node=node.name, method=method, pool=pool, job=job, status=status,
                  answer=answer if method == "GET" else None)
        return status, answer

    async def submit(self, job, body, pool="pool", first=0, attempts=5):
        """Hands a job in, with retries at other nodes as clients do. True once it is accepted."""
        for attempt in range(attempts):
            node = self.nodes[(first + attempt) % len(self.nodes)]
            status, _ = await self.call(node, "POST", pool, job, body)
            if status is not None and 200 <= status < 300:
                self.note("job is accepted", job=job)
                return True
            await asyncio.sleep(0.3)
        return False

    def owner(self):
        """Node that last claimed the jobs, by its log."""
        last = None
        for node in self.nodes:
            for line in node.log_lines():
                if "this instance owns the work" in line:
                    at = json.loads(line).get("time_ms", 0)
                    if last is None or at > last[0]:
                        last = (at, node)
        return last and last[1]


def job_body(milliseconds, count, cpu, estimate_ms=None, **step):
    phase = {"count": count, "cpu": cpu, "mem_mb": 16, "estimate_ms": estimate_ms or milliseconds} | step
    return {"spec": f"ms={milliseconds} ", "phases": [phase]}


def run(case):
    """Runs a case: exits with 1 if a rule was broken, 0 if not, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        fleet = None
        try:
            fleet = await asyncio.wait_for(case(trouble), 115)
            return 1 if fleet.broken else 0
        finally:
            for one in Fleets:
                await one.stop()

    try:
        if not os.path.exists(PROGRAM):
            raise RuntimeError("the program is not built")
        code = asyncio.run(play())
    except Exception as error:  # the case could not run
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    print({0: "held", 1: "RULE BROKEN", 2: "could not run"}[code])
    sys.exit(code)


Fleets = []


def new_fleet(*arguments, **options):
    fleet = Fleet(*arguments, **options)
    Fleets.append(fleet)
    return fleet
