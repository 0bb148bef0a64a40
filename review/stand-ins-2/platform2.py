"""Stand-ins of the platform for the scripts in review/6 to review/10: the
store, model replicas, plain replicas, and a runner for the project's node.
Only the standard library of Python 3 is used."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def now_ms():
    return int(time.time() * 1000)


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write("%9.3f s  %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


def free_ports(ip, count):
    """Returns ports of an address that are free now, for TCP and UDP, outside the
    range from which the kernel takes those of outgoing connections."""
    held, ports = [], []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            tcp.bind((ip, port))
            udp.bind((ip, port))
        except OSError:
            tcp.close()
            udp.close()
            continue
        held += [tcp, udp]
        ports.append(port)
    for sock in held:
        sock.close()
    return ports


async def read_message(reader):
    """Reads a request or response head and a body with a length or chunks.
    Returns (first line, headers by lower-case name, body) or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    return lines[0], headers, body


def encode_response(status, body, extra=()):
    head = ["HTTP/1.1 %d X" % status, "Content-Type: application/json",
            "Content-Length: %d" % len(body)] + list(extra)
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def reset(writer):
    """Closes a channel with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: keys, leases, watches, transactions."""

    def __init__(self):
        self.items = {}
        self.changes = []
        self.revision = 1
        self.leases = {}
        self.next_lease = 100
        self.era = 1
        self.changed = asyncio.Event()
        self.writers = set()
        self.away = False

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 23)
        self.ticker = asyncio.ensure_future(self.tick())

    def copy(self):
        """Keeps a copy of the store, to which restore() goes back."""
        self.kept = (dict(self.items), list(self.changes), self.revision,
                     {i: list(l) for i, l in self.leases.items()}, self.next_lease)

    def go_away(self):
        """Calls get no answer until restore() or come_back()."""
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back(self):
        self.away = False

    def restore(self):
        """Comes back from the copy: what was written since is lost, and its
        revisions are given out again."""
        self.items, self.changes, self.revision, self.leases, self.next_lease = self.kept
        for lease in self.leases.values():
            lease[0] = time.monotonic() + lease[1] / 1000
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()
        self.away = False

    async def tick(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.away:
                continue
            for lease in [i for i, l in self.leases.items() if l[0] <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            self.remove(key)

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {"key": key, "value": value, "revision": self.revision,
                           "created": old["created"] if old else self.revision,
                           "lease": lease}
        self.note(key)
        return self.revision

    def put_json(self, key, value, lease=0):
        return self.put(key, base64.b64encode(json.dumps(value).encode()).decode(), lease)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.changes.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.set()
            self.changed = asyncio.Event()

    def note(self, key):
        self.changes.append(dict(self.items[key]))
        self.changed.set()
        self.changed = asyncio.Event()

    def transact(self, body):
        rows = body.get("precondition", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items[r["key"]] for r in rows if r["key"] in self.items]
                return 412, {"items": found}
        for row in body.get("write", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("write", []):
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, query):
        prefix = query.get("prefix", [""])[0]
        after = int(query.get("after", ["0"])[0])
        end = time.monotonic() + int(query.get("waitMs", ["0"])[0]) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            changed = self.changed
            events = [c for c in self.changes
                      if c["revision"] > after and c["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = urllib.parse.parse_qs(url.query, keep_blank_values=True)
        if url.path == "/kv-key":
            item = self.items.get(query["key"][0])
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if url.path == "/kv-range":
            prefix = query.get("prefix", [""])[0]
            after = query.get("after", [""])[0]
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "hasMore": len(keys) > 500, "at": self.revision}
        if url.path == "/kv-watch":
            return await self.watch(query)
        if url.path == "/kv-txn":
            return self.transact(json.loads(body))
        if url.path == "/kv-lease":
            ttl = max(1000, json.loads(body)["ttlMs"])
            self.next_lease += 1
            self.leases[self.next_lease] = [time.monotonic() + ttl / 1000, ttl]
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        if url.path.startswith("/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][0] = time.monotonic() + self.leases[lease][1] / 1000
            return 200, {"ttlMs": self.leases[lease][1]}
        if url.path.startswith("/kv-lease-end/"):
            self.end_lease(int(url.path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.away:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                await asyncio.sleep(0.004)
                if self.away:
                    break
                status, body = await self.call(method, target, message[2])
                writer.write(encode_response(status, json.dumps(body).encode(),
                                             ["Store-Era: %d" % self.era]))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Replica:
    """What model and plain replicas have in common: an entry in the store."""

    def __init__(self, store, record, name, service, zone, slots):
        self.store, self.record = store, record
        self.id, self.service, self.zone, self.slots = name, service, zone, slots
        self.born = now_ms()
        self.sequence = 0
        self.state = "ready"
        self.runs = {}
        self.kind = None
        self.layers = None
        self.heartbeat_s = 1.2

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 23)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.publish()
        self.beat = asyncio.ensure_future(self.beats())

    async def beats(self):
        while True:
            await asyncio.sleep(self.heartbeat_s)
            self.publish()

    def entry(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state,
                 "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born}
        if self.kind:
            entry.update(kind=self.kind, layers=self.layers, stage="combined",
                         models=[{"name": "m0", "version": 1, "adapters": []}])
        return entry

    def publish(self):
        self.store.put_json("servers/" + self.id, self.entry())

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(encode_response(421, b"{}", ["Not-Executed: 1"]))
                    continue
                if not await self.answer(method, target, headers, body, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def stamp(self, headers):
        return ["Attempt-Id: " + headers.get("attempt-id", ""),
                "Server-Stamp: s." + self.id]


class Plain(Replica):
    """A replica of a plain service: works for a while, then answers."""

    def __init__(self, *args, work_s=0.03):
        super().__init__(*args)
        self.work_s = work_s

    async def answer(self, method, target, headers, body, reader, writer):
        request = headers.get("attempt-id", "")
        if target == "/healthz":
            writer.write(encode_response(200, b"{}", ["Instance-Id: " + self.id]))
            return True
        self.runs[request] = self.runs.get(request, 0) + 1
        await asyncio.sleep(self.work_s)
        writer.write(encode_response(200, b'{"done":"%s"}' % request.encode(),
                                     self.stamp(headers) + ["Keep-Alive: timeout=5"]))
        return True


class Engine(Replica):
    """A model replica that holds a range of layers and streams events."""

    def __init__(self, *args, kind="a100", layers_total=8, load_s=0.2,
                 events=12, event_s=0.05, first_s=0.05):
        super().__init__(*args)
        self.kind, self.layers_total, self.load_s = kind, layers_total, load_s
        self.events, self.event_s, self.first_s = events, event_s, first_s
        self.orders = 0
        self.busy = False
        self.running = 0
        self.held = None

    def report(self):
        return {"stage": "combined", "models": [{"name": "m0", "version": 1, "adapters": []}],
                "busy": self.busy, "sequence": self.orders, "waiting": 0,
                "running": self.running, "kvUsed": 0, "kvTotal": 90000, "kvHandles": 0,
                "pace": 1, "born": self.born, "layers": self.layers, "kind": self.kind,
                "stalledServers": []}

    async def load(self, layers):
        await asyncio.sleep(self.load_s)
        self.layers = layers
        self.busy = False
        self.publish()

    async def answer(self, method, target, headers, body, reader, writer):
        if target == "/report":
            writer.write(encode_response(200, json.dumps(self.report()).encode()))
            return True
        if target == "/order":
            order = json.loads(body)
            self.record.line("order to %s: %s" % (self.id, body.decode()))
            if order["operation"] != "place":
                writer.write(encode_response(404, b"{}"))
            elif order.get("precondition", self.orders) != self.orders or self.busy:
                writer.write(encode_response(409, b"{}"))
            else:
                self.orders += 1
                self.busy = True
                asyncio.ensure_future(self.load(
                    {"source": order["source"], "target": order["target"], "version": 1}))
                writer.write(encode_response(202, b"{}"))
            return True
        return await self.generate(headers, writer)

    async def generate(self, headers, writer):
        request = headers.get("attempt-id", "")
        self.runs[request] = self.runs.get(request, 0) + 1
        self.running += 1
        try:
            await asyncio.sleep(self.first_s)
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                    "Transfer-Encoding: chunked"] + self.stamp(headers)
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            after = int(headers.get("last-event-id", "0") or 0)
            for number in range(after + 1, self.events + 1):
                if not await self.event(headers, writer, number):
                    return False
                await asyncio.sleep(self.event_s)
            writer.write(b"0\r\n\r\n")
            return True
        finally:
            self.running -= 1

    async def event(self, headers, writer, number):
        data = b"id: %d\ndata: %d\n\n" % (number, number)
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()
        return True


def config(version, tenants, services, routes, limits=None):
    return {"version": version,
            "tenants": [{"name": n, "apiKeys": keys} for n, keys in tenants.items()],
            "services": services, "routes": routes,
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                                 "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def engine_service(name, zones, slots=192, layers=8):
    """A service of model replicas with the figures of the murillo-cambio sheet,
    but fewer layers, so that a few replicas hold them all."""
    return {"name": name, "healthPath": "/healthz", "maxConnections": 978,
            "engine": {"layers": layers, "layerMb": 1750, "kvTokenBytes": 590000,
                       "activationBytes": 29500, "linkMbps": 400000, "interZoneMbps": 16000,
                       "slots": slots, "stride": 4, "step_ms": 1.02, "per_seq_ms": 0.00459,
                       "context_per_k": 0.00615, "read_per_s": 164000, "pairs_per_m": 0.199,
                       "chunk": 512, "loads_at_once": 4, "report_lag_ms": 200,
                       "usual": {"prompt": 40, "answer": 48},
                       "kinds": [{"name": "a100", "sizeMb": 72000, "pace": 2.4,
                                  "readFactor": 3.2}],
                       "models": [{"name": "m0", "loadS": 1}], "delays": []}}


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 110}


def route(name, host, prefix, service, kind, timeout_ms, target_ms, **more):
    entry = {"name": name, "host": host, "prefix": prefix, "service": service, "kind": kind,
             "maxAttempts": 2, "timeoutMs": timeout_ms, "targetLatencyMs": target_ms,
             "priority": 1}
    entry.update(more)
    return entry


class Node:
    """One process of the project, started as in deploy/system.toml."""

    def __init__(self, folder, store_address, ip="127.0.0.1", name="edge-1", zone="heredia",
                 memory_mb=260, max_fds=4100):
        self.folder, self.name, self.ip = folder, name, ip
        front, ready, lookup, mesh, metrics = free_ports(ip, 5)
        self.front, self.ready, self.lookup, self.metrics = front, ready, lookup, metrics
        self.memory_mb = memory_mb
        # As platform/node.json.in renders the settings of murillo-cambio.
        self.settings = {
            "revoke_ms": 5000, "config_apply_ms": 2000, "leave_ms": 2000, "grace_s": 8,
            "retry_slack": 200, "retry_ratio": 0.2, "retry_window_s": 10,
            "address_validity_max_s": 5, "memory_mb": memory_mb, "descriptors": max_fds,
            "front": "%s:%d" % (ip, front), "ready": "%s:%d" % (ip, ready),
            "lookup": "%s:%d" % (ip, lookup), "node": name, "place": zone,
            "region": "valle-central", "ip": ip, "mesh_port": mesh, "store": store_address}
        self.path = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        self.process = None

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        self.output = open(self.log, "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "chestnuthoist-node"),
             "--metrics-port", str(self.metrics)],
            cwd=ROOT, stdout=self.output, stderr=self.output, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                 "CHESTNUTHOIST_NODE_FILE": self.path})

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    def stop(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def resident_mb(self):
        """The resident memory of the process in MB of 10^6 bytes."""
        try:
            with open("/proc/%d/statm" % self.process.pid, encoding="ascii") as file:
                pages = int(file.read().split()[1])
        except (OSError, ValueError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def wait_ready(self, timeout_s=20):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            answer = await request(self.ip, self.ready, "GET", "/readiness", {}, timeout_s=1)
            if answer and answer["status"] == 200:
                return True
            await asyncio.sleep(0.1)
        return False


async def request(ip, port, method, target, headers, body=b"", timeout_s=5, channel=None):
    """Sends a request and reads the whole answer. Returns its parts, or None if
    there is no complete answer. channel: a (reader, writer) that is kept."""
    reader, writer = channel or (None, None)
    try:
        if channel is None:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), timeout_s)
        lines = ["%s %s HTTP/1.1" % (method, target)]
        lines += ["%s: %s" % item for item in headers.items()]
        if "host" not in {name.lower() for name in headers}:
            lines.append("Host: %s:%d" % (ip, port))
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        message = await asyncio.wait_for(read_message(reader), timeout_s)
        if message is None:
            return None
        return {"status": int(message[0].split(" ")[1]), "headers": message[1],
                "body": message[2]}
    except (asyncio.TimeoutError, ConnectionError, OSError, ValueError):
        return None
    finally:
        if channel is None and writer is not None:
            writer.close()


async def stream(ip, port, target, headers, timeout_s=8):
    """Sends a request for a stream. Returns its status (None: there was none) and
    whether the first event of the answer came."""
    reader = writer = status = None
    body = b""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), timeout_s)
        lines = ["POST %s HTTP/1.1" % target] + ["%s: %s" % item for item in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\nContent-Length: 2\r\n\r\nhi").encode())
        end = time.monotonic() + timeout_s
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout_s)
        status = int(head.split(b" ")[1])
        while status == 200 and time.monotonic() < end and not body.endswith(b"\r\n0\r\n\r\n"):
            more = await asyncio.wait_for(reader.read(65536), end - time.monotonic())
            if not more:
                break
            body += more
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError,
            ValueError, IndexError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return status, status == 200 and b"\ndata:" in body


def run(main, folder):
    """Runs main(record, temporary folder, nodes) and exits with its result: 1 if
    the rule was broken, 0 if it held, 2 if the case could not run. Ends all nodes."""
    record = Record(os.path.join(folder, "record.txt"))
    temporary = tempfile.mkdtemp(prefix="review-")
    nodes = []

    def end(code):
        for node in nodes:
            node.stop()
        shutil.rmtree(temporary, ignore_errors=True)
        record.line("exit %d" % code)
        os._exit(code)

    async def whole():
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, end, 2)
        try:
            code = await main(record, temporary, nodes)
        except Exception as error:  # the case could not run
            record.line("could not run: %r" % error)
            code = 2
        end(code)

    asyncio.run(whole())
