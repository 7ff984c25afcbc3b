"""One client's statement ends the whole balancer. See claim.txt."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from peers import *

OPERATOR = """
[postgres]
listen = "127.0.0.1:%d"

[[postgres_server]]
name = "first"
address = "127.0.0.1:%d"

[[postgres_database]]
name = "records"
servers = ["first"]

[[postgres_user]]
name = "coordinator"
auth = "trust"
"""

TERMS = 130000 if TROUBLE else 100  # 254 KiB or 229 bytes; the pages name bodies of 60 MB


async def main(folder, record):
    listen, discovery_port, node_port, server_port, front = (free_port() for _ in range(5))
    node = Node(record, "node", work=0.005)
    await node.start(node_port)
    server = PgServer(record, 0.002)
    await server.start(server_port)
    hosts = [host("node", node_port)]
    discovery = Discovery(record, hosts)
    await discovery.start(discovery_port)
    balancer = Balancer(folder, record, config(listen, discovery_port, hosts=hosts), OPERATOR % (front, server_port))
    try:
        if not await wait_ready(listen, balancer):
            record.write("the balancer is not ready: " + balancer.log())
            return NOT_RUN
        await asyncio.sleep(1.5)
        # Sound clients: one speaks PostgreSQL, one sends a donor-view over HTTP; both work before the disruption.
        sound_reader, sound_writer = await pg_login(front)
        sound_writer.write(pg_query("SELECT 1"))
        while (await pg_read(sound_reader))[0] != b"Z":
            pass
        reader, writer = await asyncio.open_connection("127.0.0.1", listen)
        writer.write(request("a1", "donor-view", 750))
        status, _, _ = await read_answer(reader)
        record.write(f"client: a1 {status}")
        if status != 200:
            return NOT_RUN
        # The one statement, while another request is at work, one that costs more than usual.
        bad_reader, bad_writer = await pg_login(front)
        node.work = 0.1
        writer.write(request("a2", "donor-view", 750))
        while len(node.came) < 2 and record.now() < 20:
            await asyncio.sleep(0.001)
        text = "WITH x AS (SELECT 1) SELECT 1" + "+1" * TERMS
        record.write(f"client of PostgreSQL: one statement of {len(text)} bytes")
        bad_writer.write(pg_query(text))
        try:
            status, _, _ = await asyncio.wait_for(read_answer(reader), 5)
            record.write(f"client: a2 {status}")
        except (ConnectionError, asyncio.IncompleteReadError):
            record.write("client: a2, which was at work, gets no answer: its connection ended")
        try:
            kind, body = await asyncio.wait_for(pg_read(bad_reader), 10)
            record.write(f"client of PostgreSQL: answer {kind!r}")
        except (ConnectionError, asyncio.IncompleteReadError):
            record.write("client of PostgreSQL: its connection ended")
        for _ in range(20):
            if not balancer.alive():
                break
            await asyncio.sleep(0.1)
        if not balancer.alive():
            record.write(f"the balancer has ended, exit status {balancer.process.returncode} (-11: segmentation fault)")
            return BROKEN
        record.write("the balancer runs on")
        return HELD
    finally:
        balancer.end()


run_case(main)
