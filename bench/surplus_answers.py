#!/usr/bin/env python3
"""Counts requests that are served an answer made for another one, and effects that happen twice, where upstreams send
surplus answers: a second copy of an answer, `--late-ms` after the first at most, and only if no request has reached the
upstream on that connection by then.

Starts a fleet of balancer processes before stand-ins of upstreams in several zones, all on loopback; `--one-way-ms` is the
way between two zones. The balancers are restarted `--rounds` times, so that their connection pools are young again.
Prints one line of JSON. Exit status: 0 when no request got a foreign answer and no effect happened twice, 1 otherwise.
`--front gateway` sends the requests to a listener of [gateway] in place of /api's.
Example: bench/surplus_answers.py --balancer build/flaxdoor_balancer --seed 1
"""
import argparse
import asyncio
import dataclasses
import json
import os
import random
import signal
import sys
import tempfile
import time

ZONES = ["portland", "seattle", "spokane"]
KEY_WINDOW_S = 1.5
LONGEST_PAUSE_S = 1.5  # under the time after which a balancer closes an idle connection
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


@dataclasses.dataclass
class CallClass:
    name: str
    method: str
    effect: str  # safe, keyed or unsafe
    budget_ms: int
    work_ms: float
    weight: int


CLASSES = [
    CallClass("slot-search", "GET", "safe", 600, 25.0, 46),
    CallClass("donor-view", "GET", "safe", 750, 9.0, 20),
    CallClass("book", "POST", "keyed", 750, 9.0, 18),
    CallClass("check-in", "POST", "unsafe", 150, 6.0, 16),
]


@dataclasses.dataclass
class Tally:
    """What clients and upstreams saw."""

    answers: dict = dataclasses.field(default_factory=dict)  # by status
    foreign: list = dataclasses.field(default_factory=list)
    twice: list = dataclasses.field(default_factory=list)
    connections: int = 0  # that upstreams accepted
    open_now: int = 0
    open_most: int = 0
    requests: int = 0  # that reached an upstream
    copies: int = 0  # surplus answers that were sent
    not_copied: int = 0  # a request had come by then
    runs: dict = dataclasses.field(default_factory=dict)  # call id or key: [(time, zone)]
    events: list = dataclasses.field(default_factory=list)  # (time, connection, what, call id)

    def note(self, connection, what, name):
        self.events.append((time.monotonic(), connection, what, name))

    def trace_of(self, name):
        """The last events of the connections on which the call was sent."""
        connections = {where for _, where, what, of in self.events if of == name and what == "request"}
        lines = [event for event in self.events if event[1] in connections]
        around = next((index for index, event in enumerate(lines) if event[3] == name), 0)
        return [f"{at:.4f} connection {where}: {what} {of}" for at, where, what, of in lines[max(0, around - 6):around + 4]]


def header_of(head, name):
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip().decode()
    return None


class UpstreamConnection(asyncio.Protocol):
    """One connection of an upstream: one request at a time, in order; every byte takes `way` seconds in each direction."""

    def __init__(self, upstream, tally, options, chance):
        self.upstream, self.tally, self.options, self.chance = upstream, tally, options, chance
        self.loop = asyncio.get_running_loop()
        self.buffer, self.requests, self.busy = b"", [], False

    def connection_made(self, transport):
        self.transport = transport
        self.tally.connections += 1
        self.number = self.tally.connections
        self.tally.open_now += 1
        self.tally.open_most = max(self.tally.open_most, self.tally.open_now)

    def connection_lost(self, error):
        self.tally.open_now -= 1

    def way(self):
        return self.options.one_way_ms / 1000 if self.upstream.far else 0.0

    def data_received(self, data):
        self.loop.call_later(self.way(), self.arrive, data)

    def send(self, data):
        self.loop.call_later(self.way(), self.transport.write, data)

    def arrive(self, data):
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            length = int(header_of(head, b"content-length") or 0)
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self.requests.append(head)
        self.work()

    def work(self):
        if self.busy or not self.requests:
            return
        head = self.requests.pop(0)
        self.busy = True
        self.tally.requests += 1
        name = header_of(head, b"x-call-id")
        self.tally.note(self.number, "request", name)
        if self.chance.random() < self.options.rejected:
            body = b"rejected"
            answer = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            return self.loop.call_later(0.0005, self.finish, name, answer)
        call_class = next(each for each in CLASSES if each.name == header_of(head, b"x-call-class"))
        self.run(name, header_of(head, b"idempotency-key"), call_class)
        body = b"answer to " + name.encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        work_s = call_class.work_ms / 1000 * self.chance.uniform(0.5, 1.5)
        return self.loop.call_later(work_s, self.finish, name, answer)

    def run(self, name, key, call_class):
        if call_class.effect == "safe":
            return
        now, zone = time.monotonic(), self.upstream.zone
        runs = self.tally.runs.setdefault(key or name, [])
        dropped = [at for at, where in runs if call_class.effect == "keyed" and where == zone and now - at < KEY_WINDOW_S]
        if runs and not dropped:
            self.tally.twice.append((call_class.name, name))
        runs.append((now, zone))

    def finish(self, name, answer):
        self.send(answer)
        self.tally.note(self.number, f"answer {answer[9:12].decode()}", name)
        self.busy = False
        if self.chance.random() < self.options.copied:
            late_s = self.chance.uniform(0, self.options.late_ms) / 1000
            self.loop.call_later(late_s, self.copy, name, answer)
        self.work()

    def copy(self, name, answer):
        if self.busy or self.requests or self.buffer:
            self.tally.not_copied += 1
            return
        self.tally.copies += 1
        self.tally.note(self.number, f"second answer {answer[9:12].decode()}", name)
        self.send(answer)


class Upstream:
    """A booking node as one balancer sees it: an address each, since the way to it differs by the balancer's zone."""

    def __init__(self, number, zone, far):
        self.number, self.zone, self.far = number, zone, far

    async def listen(self, tally, options, chance):
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: UpstreamConnection(self, tally, options, chance), "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def entry(self):
        return {"host": f"s-{self.number}", "dial": self.address, "site": self.zone, "class": "full-node", "block": 0,
                "health": "active", "share": 1.0, "born_ms": 0}


async def start_discovery(upstreams):
    line = json.dumps({"seq": 40, "whole": True, "hosts": [each.entry() for each in upstreams]}).encode() + b"\n"

    async def serve(reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"stream=1" not in head.split(b"\r\n")[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            part = line
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(part), part))
                await writer.drain()
                await asyncio.sleep(2)
                part = b"\n"
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


class Balancer:
    def __init__(self, number, options, folder):
        self.number, self.options, self.folder = number, options, folder

    async def prepare(self, tally, chance):
        zone = ZONES[self.number % len(ZONES)]
        self.upstreams = []
        for number in range(self.options.upstreams):
            at = ZONES[number % len(ZONES)]
            upstream = Upstream(number, at, at != zone)
            await upstream.listen(tally, self.options, chance)
            self.upstreams.append(upstream)
        discovery = await start_discovery(self.upstreams)
        with open(os.path.join(ROOT, "deploy", "examples", "config.json")) as file:
            config = json.load(file)
        config.update({"name": f"n{self.number}", "listen": "127.0.0.1:0", "discovery": discovery})
        config["known"] = {"seq": 40, "whole": True, "hosts": [each.entry() for each in self.upstreams]}
        config["settings"].update({"zones": ZONES, "zone": self.number % len(ZONES), "rank": self.number,
                                   "siblings": self.options.balancers})
        self.config = os.path.join(self.folder, f"n{self.number}.json")
        with open(self.config, "w") as file:
            json.dump(config, file)
        self.command = [self.options.balancer]
        self.listening = "listening on "
        if self.options.front == "gateway":
            self.command += ["--operator", self.write_gateway()]
            self.listening = "gateway: listening on "

    def write_gateway(self):
        servers = ", ".join(f'"{each.address}"' for each in self.upstreams)
        path = os.path.join(self.folder, f"n{self.number}.toml")
        with open(path, "w") as file:
            file.write(f'[gateway]\nlisten = "127.0.0.1:0"\ncluster = "none"\n'
                       f'[[route_pool]]\nname = "booking"\nservers = [{servers}]\n'
                       f'[[route]]\nname = "all"\npath = "/api"\npools = ["booking"]\neffect = "by_method"\n')
        return path

    async def start(self):
        environment = dict(os.environ, NODE_CONFIG=self.config)
        self.process = await asyncio.create_subprocess_exec(
            *self.command, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE)
        while True:
            line = (await self.process.stderr.readline()).decode()
            if not line:
                raise SystemExit("the balancer did not start")
            if line.startswith(self.listening):
                self.port = int(line[len(self.listening):].split()[0].rsplit(":", 1)[1])
                break
        self.log = asyncio.create_task(self.process.stderr.read())

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.log.cancel()


async def call(reader, writer, name, call_class, key, tally):
    head = f"{call_class.method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {name}\r\n" \
           f"X-Call-Class: {call_class.name}\r\nX-Budget-Ms: {call_class.budget_ms}\r\n"
    if call_class.effect == "keyed":
        head += f"Idempotency-Key: {key}\r\n"
    if call_class.method == "POST":
        head += "Content-Length: 0\r\n"
    writer.write(head.encode() + b"\r\n")
    answer = await reader.readuntil(b"\r\n\r\n")
    body = await reader.readexactly(int(header_of(answer[:-4], b"content-length") or 0))
    status = int(answer.split()[1])
    tally.answers[status] = tally.answers.get(status, 0) + 1
    if status == 200 and body != b"answer to " + name.encode():
        tally.foreign.append((call_class.name, name, body.decode(errors="replace")))


async def client(port, number, options, chance, tally, until):
    """Asks one request after another on one connection, with exponential pauses."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    count = 0
    try:
        while time.monotonic() < until:
            await asyncio.sleep(min(chance.expovariate(options.rate / options.clients), LONGEST_PAUSE_S))
            call_class = chance.choices(CLASSES, [each.weight for each in CLASSES])[0]
            count += 1
            await call(reader, writer, f"{number}-{count}", call_class, f"key-{number}-{count}", tally)
    except (ConnectionError, asyncio.IncompleteReadError):
        tally.answers["broken"] = tally.answers.get("broken", 0) + 1
    finally:
        writer.close()


async def play(options):
    chance = random.Random(options.seed)
    tally = Tally()
    with tempfile.TemporaryDirectory() as folder:
        balancers = [Balancer(number, options, folder) for number in range(options.balancers)]
        for balancer in balancers:
            await balancer.prepare(tally, chance)
        for round_number in range(options.rounds):
            await asyncio.gather(*(balancer.start() for balancer in balancers))
            until = time.monotonic() + options.seconds
            await asyncio.gather(*(client(balancer.port, f"r{round_number}n{balancer.number}c{number}", options, chance, tally, until)
                                   for balancer in balancers for number in range(options.clients)))
            await asyncio.gather(*(balancer.kill() for balancer in balancers))
    return tally


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--balancer", required=True, help="path of the balancer program")
    parser.add_argument("--front", choices=["api", "gateway"], default="api")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--balancers", type=int, default=3)
    parser.add_argument("--upstreams", type=int, default=6)
    parser.add_argument("--clients", type=int, default=30, help="for each balancer")
    parser.add_argument("--rate", type=float, default=150.0, help="requests a second for each balancer")
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=0.7, help="length of a round")
    parser.add_argument("--one-way-ms", type=float, default=3.0)
    parser.add_argument("--late-ms", type=float, default=8.0)
    parser.add_argument("--copied", type=float, default=0.05, help="share of the answers that are sent twice")
    parser.add_argument("--rejected", type=float, default=0.1, help="share of the requests that are turned away")
    options = parser.parse_args()
    tally = asyncio.run(play(options))
    print(json.dumps({
        "foreign": len(tally.foreign), "twice": len(tally.twice), "answers": tally.answers, "copies": tally.copies,
        "not_copied": tally.not_copied, "upstream_requests": tally.requests, "connections": tally.connections,
        "connections_open_most": tally.open_most, "examples": tally.foreign[:3] + tally.twice[:3]}))
    for _, name, *_ in tally.foreign[:1] + tally.twice[:1]:
        print("\n".join(tally.trace_of(name)))
    return 1 if tally.foreign or tally.twice else 0


if __name__ == "__main__":
    sys.exit(main())
