"""What the cases with a part of prompts that crashes replicas have in common:
replicas that crash on it, sound and deadly requests, and the check of LOST."""

import asyncio
import time

import platform2 as p

IP = "127.0.0.1"
CONTACT_S = 3.0
# A replica that has crashed is back after this time, empty.
BACK_S = 3.0
DEADLY_PART = "dead"


class Crashing(p.Engine):
    """Crashes when it begins to write an answer on the deadly part."""

    crashes = []

    async def start(self, ip):
        self.writers = set()
        self.down = False
        await super().start(ip)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def generate(self, headers, writer):
        parts = [e.split(":")[0] for e in headers.get("prefix-hash", "").split(",")]
        if DEADLY_PART not in parts:
            return await super().generate(headers, writer)
        request = headers.get("attempt-id", "")
        self.runs[request] = self.runs.get(request, 0) + 1
        await asyncio.sleep(self.first_s)
        if not self.down:
            self.down = True
            asyncio.ensure_future(self.crash(request))
        return False

    async def crash(self, request):
        self.crashes.append(time.monotonic())
        self.record.line("replica %s crashes on request %s" % (self.id, request))
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            p.reset(writer)
        await asyncio.sleep(BACK_S)
        # A new process: it knows and holds nothing.
        ip, port = self.address.split(":")
        while self.down:
            try:
                self.server = await asyncio.start_server(
                    self.serve, ip, int(port), limit=1 << 23)
                self.down = False
            except OSError:
                await asyncio.sleep(0.05)
        self.born = p.now_ms()
        self.sequence = self.orders = self.running = 0
        self.busy, self.layers = False, None
        self.publish()
        self.beat = asyncio.ensure_future(self.beats())

    async def load(self, layers):
        born = self.born
        await asyncio.sleep(self.load_s)
        if self.born == born and not self.down:
            self.layers = layers
            self.busy = False
            self.publish()


class Scene:
    """A store, replicas, three nodes and callers with one key."""

    def __init__(self, record, folder, nodes, token_usage, replicas):
        self.record, self.folder, self.nodes = record, folder, nodes
        self.token_usage, self.replicas = token_usage, replicas
        self.count = 0
        # (sent, status, begun) of each sound request.
        self.sound = []

    async def start(self):
        self.store = p.Store()
        port = p.free_ports(IP, 1)[0]
        await self.store.start(IP, port)
        replicas = [Crashing(self.store, self.record, "i-%d" % i, "writer", "heredia", 192,
                             load_s=1.0) for i in range(self.replicas)]
        self.store.put_json("op/config", p.config(
            1, {"t1": ["k1"]}, [p.engine_service("writer", [])],
            [p.route("draft", "h.example", "/draft/", "writer", "streaming", 20000, 500,
                     resumable=True, targetGapMs=250, sticky=True)]))
        for replica in replicas:
            await replica.start(IP)
        for i in range(3):
            node = p.Node(self.folder, "%s:%d" % (IP, port), name="edge-%d" % i)
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            if not await node.wait_ready():
                return False
        await asyncio.sleep(6)
        return True

    async def send(self, parts, label):
        """Sends a request with these parts and one of its own behind them."""
        self.count += 1
        name = "%016x" % self.count
        node = self.nodes[self.count % len(self.nodes)]
        sent = time.monotonic()
        status, begun = await p.stream(
            node.ip, node.front, "/draft/x",
            {"Host": "h.example", "Attempt-Id": name, "Deadline-Ms": "20000",
             "Authorization": "Token k1", "Model": "m0", "Token-Usage": self.token_usage,
             "Prefix-Hash": ",".join("%s:20" % part for part in parts
                                     + ["%x" % (0xffff0000 + self.count)])})
        self.record.line("%s request %s to %s: answer %s, %s" % (
            label, name, node.name, status, "begun" if begun else "not begun"))
        return sent, status, begun

    async def send_sound(self, parts):
        self.sound.append(await self.send(parts, "sound"))

    def result(self, trouble, end):
        """Compares the sound requests before the trouble with those from
        2 x contactMs after the fifth crash to its end."""
        crashes = Crashing.crashes
        since = (crashes[min(len(crashes), 5) - 1] if crashes else trouble) + 2 * CONTACT_S
        before = [begun for sent, _, begun in self.sound if sent < trouble]
        during = [begun for sent, _, begun in self.sound if since <= sent < end]
        denied = sum(status == 400 for _, status, _ in self.sound)
        self.record.line(
            "%d crashes; sound requests that began: %d of %d before, %d of %d from %.0f s "
            "after the fifth crash; %d sound ones got 400" % (
                len(crashes), sum(before), len(before), sum(during), len(during),
                2 * CONTACT_S, denied))
        if len(before) < 20 or len(during) < 20 or sum(before) < len(before) / 2:
            return 2
        return 1 if sum(during) / len(during) < 0.5 * sum(before) / len(before) else 0
