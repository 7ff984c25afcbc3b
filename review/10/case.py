"""A client sends much at once and goes; its next request is still sent to a server. See claim.txt."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from peers import *

WORK = 0.3        # s: "mean work 100 to 180 ms" for a core of speed 1, on a server of speed 0.85 that also queues
REQUESTS = 900   # "hundreds of requests at once", of 930 bytes each
ROUNDS, CLIENTS = 5, 2
SLACK = 0.15      # 0.1 s after the close, and the 50 ms of slack of rules on sockets

# The classes of the operators' other customer (gateway-norte.toml).
SERVICES = [
    {"name": "reading-sync", "aim": 1120.0, "hard_limit": 2800.0, "effect": "idempotent", "group": "all", "window": 5000.0,
     "worth": 2.0, "late_worth": 0.3, "stream": False},
    {"name": "alarm-raise", "aim": 1120.0, "hard_limit": 2800.0, "effect": "at_most_once", "group": "all",
     "window": 5000.0, "worth": 5.0, "late_worth": 0.5, "stream": False},
    {"name": "delivery-log", "aim": 740.0, "hard_limit": 1850.0, "effect": "deduplicated", "group": "cell",
     "window": 10000.0, "worth": 8.0, "late_worth": 0.5, "stream": False}]


def send_much(port, name):
    """A client that sends all its requests at once, as far as its machine takes them."""
    client = socket.create_connection(("127.0.0.1", port))
    client.setblocking(False)
    data = b"".join(request(f"{name}-{i}", "alarm-raise", 2800, method="POST", extra="X-Pad: " + "b" * 800 + "\r\n")
                    for i in range(REQUESTS))
    sent = 0
    try:
        while sent < len(data):
            sent += client.send(data[sent:])
    except BlockingIOError:
        pass
    return client, sent


async def main(folder, record):
    listen, discovery_port, first, second = (free_port() for _ in range(4))
    nodes = [Node(record, "first", work=WORK), Node(record, "second", work=WORK)]
    await nodes[0].start(first)
    await nodes[1].start(second)
    hosts = [host("first", first), host("second", second)]
    discovery = Discovery(record, hosts)
    await discovery.start(discovery_port)
    balancer = Balancer(folder, record, config(
        listen, discovery_port, hosts=hosts, services=SERVICES, tick=5.0,
        limits={"parallel_tries": False, "max_attempts": 3, "connect_timeout": 250.0, "idle_close": 5000.0}))
    closed = {}
    try:
        if not await wait_ready(listen, balancer):
            record.write("the balancer is not ready: " + balancer.log())
            return NOT_RUN
        await asyncio.sleep(1.5)
        reader, writer = await asyncio.open_connection("127.0.0.1", listen)
        for i in range(4):
            writer.write(request(f"w{i}", "reading-sync", 2800))
            status, _, _ = await read_answer(reader)
            if status != 200:
                return NOT_RUN
        for number in range(ROUNDS):
            clients = {}
            for i in range(CLIENTS):
                name = f"r{number}c{i}"
                clients[name], sent = send_much(listen, name)
                record.write(f"{name}: sent {sent} bytes at once")
            await asyncio.sleep(0.05)
            if TROUBLE:
                for name, client in clients.items():
                    client.close()
                    closed[name] = record.now()
                    record.write(f"{name}: closed its connection")
                await asyncio.sleep(2)
            else:
                await asyncio.sleep(2)
                for name, client in clients.items():  # they stay as long as the case runs
                    record.write(f"{name}: {len(client.recv(1 << 20))} bytes of answers")
        late = []
        for node in nodes:
            for when, call in node.came:
                gone = closed.get(call.split("-")[0])
                if gone is not None and when > gone + SLACK:
                    late.append((round(when - gone, 3), call, node.name))
        record.write(f"{len(closed)} clients have gone; requests of theirs that came to a server later than {SLACK} s after "
                     f"that: {sorted(late)}")
        return BROKEN if late else HELD
    finally:
        balancer.end()


run_case(main)
