"""Bad clients with long heads keep a sound client's check-ins without an answer. See claim.txt."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from peers import *

BAD_CLIENTS = 240  # "by hundreds"; a third of the descriptors would be 341
BUDGET = 0.15      # check-in
LOST_AFTER = BUDGET + 0.5 + 0.05  # half a second after its time, and the 50 ms of slack of rules on sockets
HEAD = 15000


def bad_request(call):
    """A request of some 15 KB. With the disruption its head is nothing but options of Connection and short fields."""
    if TROUBLE:
        extra = "Connection: " + ",".join("b" * 4000) + "\r\n" + "a:\r\n" * 1700
    else:
        extra = "X-Pad: " + "b" * HEAD + "\r\n"
    return request(call, "slot-search", 600, extra=extra)


async def main(folder, record):
    listen, discovery_port, first, second = (free_port() for _ in range(4))
    nodes = [Node(record, "first"), Node(record, "second")]
    await nodes[0].start(first)
    await nodes[1].start(second)
    hosts = [host("first", first), host("second", second)]
    discovery = Discovery(record, hosts)
    await discovery.start(discovery_port)
    balancer = Balancer(folder, record, config(listen, discovery_port, hosts=hosts))
    waits = []

    async def check_in(call):
        """One check-in on a connection of its own; how long its final answer takes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", listen)
        began = record.now()
        writer.write(request(call, "check-in", int(BUDGET * 1000)))
        try:
            status, _, _ = await asyncio.wait_for(read_answer(reader), 20)
        except asyncio.TimeoutError:
            status = "no answer in 20 s"
        except (ConnectionError, asyncio.IncompleteReadError):
            status = "closed with no answer"
        took = record.now() - began
        waits.append((call, status, took))
        record.write(f"client: {call}: {status} after {took:.3f} s" + (", LOST" if took > LOST_AFTER else ""))
        writer.close()

    try:
        if not await wait_ready(listen, balancer):
            record.write("the balancer is not ready: " + balancer.log())
            return NOT_RUN
        await asyncio.sleep(1.5)
        for i in range(20):
            await check_in(f"w{i}")
            await asyncio.sleep(0.02)
        if any(status != 200 for _, status, _ in waits):
            return NOT_RUN
        bad = [await asyncio.open_connection("127.0.0.1", listen) for _ in range(BAD_CLIENTS)]
        size = len(bad_request("b0"))
        record.write(f"{BAD_CLIENTS} further clients send one request each, of {size} bytes")
        for i, (_, writer) in enumerate(bad):
            writer.write(bad_request(f"b{i}"))
        tasks = []
        for i in range(100):
            tasks.append(asyncio.ensure_future(check_in(f"c{i}")))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        if not balancer.alive():
            record.write("the balancer has ended")
            return BROKEN
        lost = [wait for wait in waits if wait[2] > LOST_AFTER]
        record.write(f"{len(waits)} check-ins, {len(lost)} lost, the longest wait {max(w[2] for w in waits):.3f} s")
        return BROKEN if lost else HELD
    finally:
        balancer.end()


run_case(main)
