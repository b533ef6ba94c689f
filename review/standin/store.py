"""Stand-in for the platform's store: a log with keyed topics, groups, and fenced producers (PROTOCOL.md)."""

import asyncio
import base64
import json
import time

from httpd import Drop, Server

KEYED_SYSTEM = ("keyed.op", "keyed.servers", "keyed.status")


class Topic:
    def __init__(self):
        self.records = []  # (key, value) by offset
        self.first = 0  # first offset that is retained
        self.newest = {}  # key -> (offset, value)
        self.changed = asyncio.Event()
        self.producers = {}  # producer -> [epoch, last sequence, {sequence: answer}]

    @property
    def end(self):
        return len(self.records)

    def add(self, key, value):
        offset = len(self.records)
        self.records.append((key, value))
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        return offset

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Group:
    """Members of a group and the partitions that they hold."""

    def __init__(self):
        self.generation = 1
        self.members = {}  # name -> time at which it expires
        self.ttl = {}
        self.owner = {}  # (topic, part) -> member

    def expire(self):
        now = time.monotonic()
        for name in [name for name, at in self.members.items() if at < now]:
            self.remove(name)

    def remove(self, name):
        if self.members.pop(name, None) is None:
            return
        self.generation += 1
        for part in [part for part, owner in self.owner.items() if owner == name]:
            del self.owner[part]
        self.deal()

    def target(self):
        names = sorted(self.members)
        return {part: names[index % len(names)] for index, part in enumerate(self.parts)} if names else {}

    def deal(self):
        for part, name in self.target().items():
            self.owner.setdefault(part, name)

    def join(self, name, topics, ttl_ms, generation, parts):
        self.expire()
        self.parts = [(topic, part) for topic in topics for part in range(parts)]
        self.members_changed = name not in self.members
        self.members[name] = time.monotonic() + ttl_ms / 1000
        if self.members_changed:
            self.generation += 1
        elif generation >= self.generation:
            moved = [part for part, wanted in self.target().items() if self.owner.get(part) == name and wanted != name]
            for part in moved:
                self.owner[part] = self.target()[part]
            self.generation += bool(moved)
        self.deal()
        return self.generation


class Store:
    """The store. `latency` is the time of an answer in seconds."""

    def __init__(self, log, record_bytes=262144, call_bytes=2097152, parts=12, latency=0.004):
        self.topics = {}
        self.groups = {}
        self.log = log
        self.record_bytes = record_bytes
        self.call_bytes = call_bytes
        self.parts = parts
        self.latency = latency
        self.refused_large = 0
        self.silent = False  # readers hear nothing at the moment
        # Called as hook(path, query, body) before a call is carried out; may wait or raise httpd.Drop.
        self.hook = None

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def forget_history(self):
        """Readers hear nothing for a second; then all records are deleted but the newest of each key, and reads are cut."""
        self.silent = True
        await asyncio.sleep(1)
        for topic in self.topics.values():
            topic.first = topic.end
            topic.wake()
        self.silent = False

    def put(self, topic, key, value):
        """Writes a record for the operator or a worker."""
        topic = self.topic(topic)
        topic.add(key, b"" if value is None else json.dumps(value).encode())
        topic.wake()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.latency)
        if self.hook:
            await self.hook(path, query, body)
        name = path.rsplit("/", 1)[-1]
        if name == "log-append":
            return self.append(query, body)
        if name == "log-read":
            return await self.read(query)
        if name == "log-newest":
            return self.page(query)
        if name == "log-join":
            call = json.loads(body)
            group = self.groups.setdefault(call["group"], Group())
            generation = group.join(call["member"], call["topics"], call["ttl_ms"], call["generation"], self.parts)
            mine = [[t, p, 0] for (t, p), owner in group.owner.items() if owner == call["member"]]
            return 200, {"generation": generation, "ttl_ms": call["ttl_ms"], "parts": mine}
        if name == "log-leave":
            call = json.loads(body)
            self.groups.setdefault(call["group"], Group()).remove(call["member"])
            return 200, {}
        if name == "log-owners":
            group = self.groups.setdefault(query["group"], Group())
            group.expire()
            return 200, {"parts": [[t, p, owner, 0] for (t, p), owner in sorted(group.owner.items())]}
        if name in ("log-commit", "log-trim"):
            return 200, {}
        return 404, {}

    def append(self, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        topic = self.topic(query["topic"])
        records, rest = [], body
        if len(body) > self.call_bytes:
            return 400, {"reason": "call_bytes"}
        while rest:
            size = int.from_bytes(rest[:4], "big")
            record, rest = rest[4 : 4 + size], rest[4 + size :]
            if size > self.record_bytes:
                self.refused_large += 1
                return 400, {"reason": "record_bytes"}
            records.append((record[1 : 1 + record[0]].decode(), record[1 + record[0] :]))
        if "at" in query and int(query["at"]) != topic.end:
            return 412, {"end": topic.end}
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = topic.producers.get(query["producer"])
            if state and epoch < state[0]:
                return 409, {"reason": "fenced"}
            if state and epoch == state[0]:
                if sequence in state[2]:
                    return 200, state[2][sequence]
                if sequence != state[1] + 1:
                    return 409, {"reason": "seq", "sequence": state[1] + 1}
            else:
                state = topic.producers[query["producer"]] = [epoch, sequence, {}]
        offset = topic.end
        for key, value in records:
            topic.add(key, value)
        answer = {"offset": offset, "end": topic.end}
        if "producer" in query:
            state[1] = sequence
            state[2][sequence] = answer
            for old in [number for number in state[2] if number <= sequence - 5]:
                del state[2][old]
        topic.wake()
        return 200, answer

    async def read(self, query):
        topic = self.topic(query["topic"])
        start, limit = int(query["from"]), int(query.get("max_kb", 1024)) * 1024
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while topic.end <= start and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        if self.silent:
            while self.silent:
                await asyncio.sleep(0.02)
            raise Drop
        if start < topic.first:
            return 410, {"first": topic.first}
        answer = topic.end.to_bytes(8, "big") + topic.first.to_bytes(8, "big")
        parts, size = [], 0
        for key, value in topic.records[start:]:
            key = key.encode()
            record = bytes([len(key)]) + key + value
            size += 4 + len(record)
            if size > limit:
                break
            parts.append(len(record).to_bytes(4, "big") + record)
        return 200, answer + b"".join(parts)

    def page(self, query):
        topic = self.topic(query["topic"])
        after = query.get("after")
        if after is not None:
            after = after.replace("%2F", "/")
        items, size, more = [], 0, False
        for key in sorted(topic.newest):
            if after is not None and key <= after:
                continue
            offset, value = topic.newest[key]
            if len(items) == 500 or size + len(value) > 1 << 20:
                more = True
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has_more": more, "end": topic.end}


async def serve(store):
    server = Server(store.handle)
    await server.start()
    return server
