"""Entries of another writer, whose service is not named, take sound replicas
out of use; see claim.txt."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-ins-2"))
import platform2 as p  # noqa: E402

IP = "127.0.0.1"
# From the entries on, requests are counted after this time.
SETTLE_S = 3.0
COUNTED_S = 30.0


def configuration(version, routes):
    return p.config(version, {"t1": ["k1"]},
                    [p.plain_service("desk"), p.plain_service("ledger")], routes)


async def main(record, folder, nodes):
    store = p.Store()
    port = p.free_ports(IP, 1)[0]
    await store.start(IP, port)
    replicas = [p.Plain(store, record, "i-%s-%d" % (service, i), service, "heredia", 6,
                        work_s=0.01)
                for service in ("desk", "ledger") for i in range(3)]
    first = p.route("first", "h.example", "/first/", "desk", "idempotent", 1500, 150)
    added = p.route("added", "h.example", "/added/", "ledger", "idempotent", 1500, 150)
    store.put_json("op/config", configuration(1, [first]))
    for replica in replicas:
        await replica.start(IP)
    for i in range(3):
        node = p.Node(folder, "%s:%d" % (IP, port), name="edge-%d" % i)
        nodes.append(node)
        node.start()
    for node in nodes:
        if not await node.wait_ready():
            return 2
    await asyncio.sleep(3)
    store.put_json("op/config", configuration(2, [first, added]))
    record.line("version 2, with the route 'added', is confirmed")
    await asyncio.sleep(4)

    count = [0]
    rows = {}
    counted_from = [None]

    async def client(node, route, end):
        while time.monotonic() < end[0]:
            await asyncio.sleep(0.3)
            count[0] += 1
            name = "%016x" % count[0]
            sent = time.monotonic()
            answer = await p.request(
                node.ip, node.front, "GET", "/%s/x" % route,
                {"Host": "h.example", "Attempt-Id": name, "Deadline-Ms": "1500",
                 "Authorization": "Token k1"}, timeout_s=1.5)
            status = answer["status"] if answer else None
            record.line("request %s on route '%s' to %s: answer %s" % (
                name, route, node.name, status))
            counted = counted_from[0] is not None and sent >= counted_from[0]
            key = ("counted" if counted else "before", route, status)
            rows[key] = rows.get(key, 0) + 1

    async def writer(end):
        await asyncio.sleep(5)
        if p.TROUBLE:
            for number, replica in enumerate(r for r in replicas if r.service == "ledger"):
                entry = replica.entry()
                entry.update(service="host-agent", born=p.now_ms())
                store.put_json("servers/agent-%d" % number, entry)
                record.line("another writer writes servers/agent-%d: %r" % (number, entry))
        await asyncio.sleep(SETTLE_S)
        counted_from[0] = time.monotonic()
        end[0] = counted_from[0] + COUNTED_S

    end = [time.monotonic() + 3600]
    await asyncio.gather(writer(end), *(client(n, r, end) for n in nodes
                                        for r in ("first", "added")))

    def share(phase, route):
        sent = sum(n for key, n in rows.items() if key[:2] == (phase, route))
        return rows.get((phase, route, 200), 0), sent

    for phase in ("before", "counted"):
        record.line("%s: route 'first' served %d of %d, route 'added' %d of %d" % (
            (phase,) + share(phase, "first") + share(phase, "added")))
    served, sent = share("counted", "added")
    served_first, sent_first = share("counted", "first")
    if share("before", "added")[0] == 0 or sent < 20 or served_first < sent_first / 2:
        return 2
    return 1 if served / sent < 0.25 * served_first / sent_first else 0


p.run(main, HERE)
