"""Runners leave without reporting that they drain: their entries are removed. Just before, the
store cuts the watches that wait."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (BOUNDS, TROUBLE, CannotRun, Client, Cloud, Node, Runner, Store, config, free_ips,  # noqa: E402
                      play, route)

LEAVING = 2
STAYING = 1


async def case(record, nodes):
    store, cloud = Store(record), Cloud(record)
    asyncio.create_task(store.run_leases())
    await cloud.start()
    await store.put("op/config", config(3, [route("order", "non_idempotent", "ledger", attempts=1)], ["ledger"]))
    runners = [Runner(record, store, f"i-{i}", "ledger", "b" if i < LEAVING else "a")
               for i in range(LEAVING + STAYING)]
    for runner in runners:
        await runner.start()
    ips = free_ips(2)
    doors = [await store.open_door() for _ in ips]
    for i, ip in enumerate(ips):
        nodes.append(Node(record, f"edge-{'ab'[i]}-{i}", ip, "ab"[i], ips, doors[i].address, cloud.address))
        await nodes[-1].start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(4)

    stop = asyncio.Event()

    async def send_orders(node):
        i = 0
        while not stop.is_set():
            attempt = f"{node.name}-{i:04}"
            asyncio.create_task(Client.once(record, node, attempt, f"/order/{attempt}", method="POST", body=b"ring"))
            i += 1
            await asyncio.sleep(0.03)

    tasks = [asyncio.create_task(send_orders(node)) for node in nodes]
    await asyncio.sleep(1.5)
    if not record.find("run"):
        raise CannotRun("nothing is served before the disruption")
    # The moment is the same in each run: a node has listed the runners, and all nodes watch them.
    before = store.listings
    while store.listings == before or [prefix for prefix, _ in store.watches].count("servers/") < len(nodes):
        await asyncio.sleep(0.01)
    if TROUBLE:
        record.add("watches_cut", prefixes=store.cut_watches())
    await asyncio.sleep(0.15)
    for runner in runners[:LEAVING]:
        await runner.unlist()
        record.add("gone", runner=runner.name)
    gone = record.now()
    await asyncio.sleep(6)
    stop.set()
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    names = {runner.name for runner in runners[:LEAVING]}
    late = [line for line in record.find("run")
            if line["runner"] in names and line["t"] > gone + BOUNDS["drain_ms"] / 1000]
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached a runner later than {BOUNDS['drain_ms']} ms after the store had "
            f"acknowledged that it is gone, the last {max(line['t'] for line in late) - gone:.2f} s after"]


play(Path(__file__).parent / "record.txt", case)
