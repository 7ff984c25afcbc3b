"""A booking that was refused, "trying again is harmless", has run; tried again, it runs twice. See claim.txt."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from peers import *

BUDGET = 700   # ms; the class's deadline is 750
WINDOW = 500.0  # ms
HANG = 3.0     # s


async def main(folder, record):
    listen, discovery_port, first, second = (free_port() for _ in range(4))
    keys = KeyMemory(WINDOW / 1000)  # one memory: group "all"
    nodes = [Node(record, "first", keys=keys), Node(record, "second", keys=keys)]
    await nodes[0].start(first)
    await nodes[1].start(second)
    hosts = [host("first", first), host("second", second)]
    discovery = Discovery(record, hosts)
    await discovery.start(discovery_port)
    services = config(listen, discovery_port)["settings"]["services"]
    for each in services:
        if each["name"] == "book":
            each.update(group="all", window=WINDOW)
    balancer = Balancer(folder, record, config(listen, discovery_port, hosts=hosts, services=services))
    calls = 0

    async def book(key):
        nonlocal calls
        calls += 1
        call = f"c{calls}"
        began = record.now()
        writer.write(request(call, "book", BUDGET, key=key))
        status, _, head = await asyncio.wait_for(read_answer(reader), 5)
        advice = [line for line in head.split("\r\n") if line.lower().startswith("retry-after")]
        record.write(f"client: {call}, key {key}: {status} {' '.join(advice)} after {record.now() - began:.3f} s")
        return status

    try:
        if not await wait_ready(listen, balancer):
            record.write("the balancer is not ready: " + balancer.log())
            return NOT_RUN
        await asyncio.sleep(1.5)
        reader, writer = await asyncio.open_connection("127.0.0.1", listen)
        for i in range(20):
            if await book(f"w{i}") != 200:
                return NOT_RUN
            await asyncio.sleep(0.02)
        if TROUBLE:
            nodes[0].hangs = True
            record.write("first: hangs in the middle of its work")
            asyncio.get_event_loop().call_later(HANG, setattr, nodes[0], "hangs", False)
        began = record.now()
        booking = 0
        while record.now() < began + 10:
            booking += 1
            key = f"k{booking}"
            # A client retries by itself at most once, after a refusal, after a short wait.
            if await book(key) in (429, 503):
                await asyncio.sleep(0.05)
                await book(key)
            await asyncio.sleep(0.02)
        runs = {}
        for node in nodes:
            for key, times in node.effects.items():
                runs.setdefault(key, []).extend((round(when, 3), node.name) for when in times)
        twice = {key: sorted(when) for key, when in runs.items() if len(when) > 1}
        record.write(f"{booking} bookings, run twice: {twice}")
        return BROKEN if twice else HELD
    finally:
        balancer.end()


run_case(main)
