"""Bad clients by hundreds take the balancer over the memory that its configuration allows. See claim.txt."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from peers import *

MEMORY_MB, DESCRIPTORS = 32, 1024  # "32 to 192 MB by language and day, and 256 to 1,024 descriptors"
BAD_CLIENTS = 480                  # "by hundreds", "hundreds of requests at once"
SECONDS = 8


def memory_kb(balancer):
    """What the process holds now, and the most that it has held, in KB, as the platform's system tells it."""
    now = most = 0
    try:
        with open(f"/proc/{balancer.process.pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    now = int(line.split()[1])
                elif line.startswith("VmHWM:"):
                    most = int(line.split()[1])
    except FileNotFoundError:
        pass
    return now, most


async def main(folder, record):
    listen, discovery_port, first, second = (free_port() for _ in range(4))
    nodes = [Node(record, "first"), Node(record, "second")]
    await nodes[0].start(first)
    await nodes[1].start(second)
    hosts = [host("first", first), host("second", second)]
    discovery = Discovery(record, hosts)
    await discovery.start(discovery_port)
    settings = config(listen, discovery_port, hosts=hosts)
    settings["limits"].update(memory_mb=MEMORY_MB, sockets=DESCRIPTORS)
    balancer = Balancer(folder, record, settings)
    killed = []

    async def platform(until):
        """Does what the deployment page says of the platform: over `memory_mb` the balancer is killed."""
        while record.now() < until and balancer.alive():
            now, _ = memory_kb(balancer)
            if now > MEMORY_MB * 1024:
                killed.append(now)
                record.write(f"platform: the balancer holds {now} KB of {MEMORY_MB * 1024} KB and is killed")
                balancer.signal(signal.SIGKILL)
            await asyncio.sleep(0.01)

    async def sound(number, until):
        reader, writer = await asyncio.open_connection("127.0.0.1", listen)
        count = 0
        while record.now() < until:
            count += 1
            try:
                writer.write(request(f"c{number}-{count}", "check-in", 150))
                status, _, _ = await asyncio.wait_for(read_answer(reader), 10)
                if count % 20 == 1:
                    record.write(f"client: c{number}-{count}: {status}")
            except (ConnectionError, asyncio.IncompleteReadError):
                if not balancer.alive():
                    record.write(f"client: c{number}-{count} gets no answer")
                    return
                reader, writer = await asyncio.open_connection("127.0.0.1", listen)
            await asyncio.sleep(0.1)

    async def bad(number):
        """Begins a POST whose body comes in the smallest pieces that the protocol has, and stops before its end."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", listen)
            head = (f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: b{number}\r\nX-Call-Class: check-in\r\n"
                    "X-Budget-Ms: 150\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(head.encode() + b"1\r\nz\r\n" * 65000)
            await asyncio.wait_for(reader.read(), 10)
            writer.close()
        except (ConnectionError, asyncio.TimeoutError):
            pass

    try:
        if not await wait_ready(listen, balancer):
            record.write("the balancer is not ready: " + balancer.log())
            return NOT_RUN
        await asyncio.sleep(1.5)
        until = record.now() + SECONDS
        tasks = [asyncio.ensure_future(sound(number, until)) for number in range(5)]
        tasks.append(asyncio.ensure_future(platform(until)))
        await asyncio.sleep(1)
        record.write(f"the balancer holds {memory_kb(balancer)[0]} KB; its limit is {MEMORY_MB * 1024} KB")
        if TROUBLE:
            record.write(f"{BAD_CLIENTS} further clients begin a request with a body of 64 KB at most, once")
            tasks += [asyncio.ensure_future(bad(number)) for number in range(BAD_CLIENTS)]
        most = 0
        while record.now() < until and balancer.alive():
            await asyncio.sleep(0.1)
            most = max(most, memory_kb(balancer)[1])
        await asyncio.wait(tasks, timeout=10)
        if killed:
            record.write(f"the balancer was killed at {killed[0]} KB of {MEMORY_MB * 1024} KB")
            return BROKEN
        if not balancer.alive():
            record.write("the balancer has ended")
            return BROKEN
        record.write(f"the most that the balancer has held: {most} KB of {MEMORY_MB * 1024} KB")
        return HELD
    finally:
        balancer.end()


run_case(main)
