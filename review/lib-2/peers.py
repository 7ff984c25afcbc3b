"""Stand-ins and helpers that the cases of the second review share. Standard library only; loopback only."""
import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        self.file.close()


class Balancer:
    """The balancer as the deploy file runs it: `exec build/flaxdoor_balancer`, from the root of the repository."""

    def __init__(self, folder, record, config, operator=None, name="balancer"):
        self.record = record
        self.name = name
        self.config_path = os.path.join(folder, name + ".json")
        self.log_path = os.path.join(folder, name + ".log")
        self.write_config(config)
        command = "exec build/flaxdoor_balancer"
        if operator is not None:
            self.operator_path = os.path.join(folder, name + ".toml")
            with open(self.operator_path, "w") as file:
                file.write(operator)
            command += " --operator " + self.operator_path
        environment = dict(os.environ, NODE_CONFIG=self.config_path, NODE_NAME=config["name"],
                           NODE_LISTEN=config["listen"], NODE_DISCOVERY=config["discovery"], TMPDIR=folder)
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=subprocess.DEVNULL, stderr=open(self.log_path, "ab"))
        record.write(f"{name}: started")

    def write_config(self, config):
        with open(self.config_path + ".new", "w") as file:
            json.dump(config, file)
        os.replace(self.config_path + ".new", self.config_path)

    def signal(self, number):
        if self.process.poll() is None:
            self.record.write(f"{self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    def alive(self):
        return self.process.poll() is None

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def log(self):
        with open(self.log_path, errors="replace") as file:
            return file.read()


def config(listen, discovery, name="n0", hosts=(), **settings):
    """A small deployment: the classes of the site, one zone unless more are given."""
    base = {
        "rank": 0, "siblings": 1, "zone": 0, "zones": ["portland"], "flavors": ["full-node"], "tick": 1.0,
        "registry_mode": "ask",
        "services": [
            {"name": "slot-search", "aim": 150.0, "hard_limit": 600.0, "effect": "idempotent", "group": "all",
             "window": 5000.0, "worth": 1.0, "late_worth": 0.3, "stream": False},
            {"name": "donor-view", "aim": 150.0, "hard_limit": 750.0, "effect": "idempotent", "group": "all",
             "window": 5000.0, "worth": 1.0, "late_worth": 0.5, "stream": False},
            {"name": "book", "aim": 150.0, "hard_limit": 750.0, "effect": "deduplicated", "group": "zone",
             "window": 1500.0, "worth": 8.0, "late_worth": 0.2, "stream": False},
            {"name": "check-in", "aim": 75.0, "hard_limit": 150.0, "effect": "at_most_once", "group": "all",
             "window": 5000.0, "worth": 10.0, "late_worth": 0.5, "stream": False}],
        "tenants": [],
        "limits": {"cancel": True, "parallel_tries": True, "max_attempts": 5, "connect_timeout": 50.0,
                   "idle_close": 60000.0, "retry_after": True, "max_retry_after": 400.0, "may_probe": False},
        "load_report": {"how": "inline", "fields": ["active", "avg_ms", "err_rps"]},
        "invariants": {"ask_within": 10000.0, "drain_grace": 2000.0, "answer_slack": 5.0, "cold_from": 0.33,
                       "ramp_time": 8600.0, "fall_multiple": 4.0, "fall": 1000.0},
    }
    for key, value in settings.items():
        if isinstance(value, dict):
            base[key] = dict(base[key], **value)
        else:
            base[key] = value
    return {"name": name, "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery}",
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"seq": 1, "whole": True, "hosts": list(hosts)}, "settings": base}


def host(name, port, health="active", site="portland", born_ms=0, block=0):
    return {"host": name, "dial": f"127.0.0.1:{port}", "site": site, "class": "full-node", "block": block,
            "health": health, "share": 1.0, "born_ms": born_ms}


class Discovery:
    """The roster: one list, watches with an empty line every 2 s."""

    def __init__(self, record, hosts):
        self.record = record
        self.seq = 1
        self.hosts = {each["host"]: each for each in hosts}
        self.log = [(1, dict(each)) for each in hosts]
        self.watchers = set()
        self.server = None

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    def change(self, *entries):
        self.seq += 1
        for each in entries:
            if each["health"] == "left":
                self.hosts.pop(each["host"], None)
            else:
                self.hosts[each["host"]] = each
            self.log.append((self.seq, dict(each)))
        for queue in self.watchers:
            queue.put_nowait((self.seq, list(entries)))

    def line(self, seq, whole, entries):
        return json.dumps({"seq": seq, "whole": whole, "hosts": entries})

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            if "stream=1" not in target:
                body = self.line(self.seq, True, list(self.hosts.values())).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                return
            queue = asyncio.Queue()
            self.watchers.add(queue)
            try:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.chunk(writer, self.line(self.seq, True, list(self.hosts.values())))
                while True:
                    await writer.drain()
                    try:
                        seq, entries = await asyncio.wait_for(queue.get(), 2)
                        self.chunk(writer, self.line(seq, False, entries))
                        self.record.write(f"discovery: told {seq}")
                    except asyncio.TimeoutError:
                        self.chunk(writer, "")
            finally:
                self.watchers.discard(queue)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    @staticmethod
    def chunk(writer, line):
        data = (line + "\n").encode()
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


async def wait_ready(port, balancer, limit=20):
    end = time.monotonic() + limit
    while time.monotonic() < end and balancer.alive():
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
            data = await asyncio.wait_for(reader.read(), 2)
            writer.close()
            if b" 200 " in data.split(b"\r\n", 1)[0]:
                return True
        except (ConnectionError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.05)
    return False


def run_case(main, seconds=110):
    """Runs `main(folder, record)` in a temporary folder; its result is the exit code."""
    case = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(case)
    folder = tempfile.mkdtemp()
    code = NOT_RUN
    try:
        code = asyncio.run(asyncio.wait_for(main(folder, record), seconds))
    except Exception as error:  # the case could not run
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = NOT_RUN
    finally:
        record.write(f"exit {code}")
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)  # connections that are still open need no farewell


# --- PostgreSQL's protocol ---

def pg_message(kind, body=b""):
    return kind + struct.pack("!i", len(body) + 4) + body


def pg_error(severity, code, text):
    fields = b"S" + severity + b"\0V" + severity + b"\0C" + code + b"\0M" + text + b"\0\0"
    return pg_message(b"E", fields)


class PgServer:
    """A sound PostgreSQL server, as far as simple queries need one: each statement takes `work` seconds, then it has run."""

    def __init__(self, record, work):
        self.record = record
        self.work = work
        self.begun = []  # (time, text) of each statement that came
        self.server = None

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def serve(self, reader, writer):
        try:
            while True:
                size = struct.unpack("!i", await reader.readexactly(4))[0]
                code = struct.unpack("!i", (await reader.readexactly(size - 4))[:4])[0]
                if code in (80877103, 80877104):
                    writer.write(b"N")
                    continue
                if code == 80877102:
                    return
                break
            writer.write(pg_message(b"R", struct.pack("!i", 0)))
            for name, value in (("server_version", "15.0"), ("client_encoding", "UTF8"), ("DateStyle", "ISO, MDY"),
                                ("TimeZone", "UTC"), ("standard_conforming_strings", "on"), ("in_hot_standby", "off"),
                                ("IntervalStyle", "postgres"), ("application_name", ""), ("integer_datetimes", "on")):
                writer.write(pg_message(b"S", name.encode() + b"\0" + value.encode() + b"\0"))
            writer.write(pg_message(b"K", struct.pack("!ii", 7, 7)) + pg_message(b"Z", b"I"))
            while True:
                kind = await reader.readexactly(1)
                size = struct.unpack("!i", await reader.readexactly(4))[0]
                body = await reader.readexactly(size - 4)
                if kind == b"X":
                    return
                if kind != b"Q":
                    writer.write(pg_error(b"ERROR", b"0A000", b"simple queries only") + pg_message(b"Z", b"I"))
                    continue
                text = body[:-1].decode()
                if text.startswith("INSERT"):
                    self.begun.append((self.record.now(), text))
                    self.record.write(f"server: begins {text}")
                await asyncio.sleep(self.work)
                tag = b"INSERT 0 1" if text.startswith("INSERT") else b"SELECT 0"
                writer.write(pg_message(b"C", tag + b"\0") + pg_message(b"Z", b"I"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def pg_login(port, user="coordinator", database="records"):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    body = struct.pack("!i", 196608) + b"user\0" + user.encode() + b"\0database\0" + database.encode() + b"\0\0"
    writer.write(struct.pack("!i", len(body) + 4) + body)
    while True:
        kind, body = await pg_read(reader)
        if kind == b"E":
            raise RuntimeError(f"login: {body!r}")
        if kind == b"Z":
            return reader, writer


async def pg_read(reader):
    kind = await reader.readexactly(1)
    size = struct.unpack("!i", await reader.readexactly(4))[0]
    return kind, await reader.readexactly(size - 4)


def pg_query(text):
    return pg_message(b"Q", text.encode() + b"\0")


# --- Upstreams and clients over HTTP ---

class KeyMemory:
    """The keys that a group of upstreams has seen: a repeat within the window is dropped and gets the first's answer."""

    def __init__(self, window):
        self.window = window
        self.first = {}

    def known(self, key, now):
        seen = self.first.get(key)
        if seen is not None and now < seen + self.window:
            return True
        self.first[key] = now
        return False


class Node:
    """A sound booking node. `hangs` stops it in the middle of its work: what it has taken up has run, and gets no answer."""

    def __init__(self, record, name, work=0.005, keys=None):
        self.record = record
        self.name = name
        self.work = work
        self.keys = keys
        self.hangs = False
        self.effects = {}  # by key, or call id where there is no key: times of each run
        self.came = []  # (time, call id)
        self.server = None

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = {}
                for line in head.decode("latin1").split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    fields[name.strip().lower()] = value.strip()
                await reader.readexactly(int(fields.get("content-length", "0")))
                now = self.record.now()
                call = fields.get("x-call-id", "")
                key = fields.get("idempotency-key")
                self.came.append((now, call))
                if key and self.keys and self.keys.known(key, now):
                    self.record.write(f"{self.name}: {call} repeats key {key}, dropped")
                else:
                    self.effects.setdefault(key or call, []).append(now)
                    self.record.write(f"{self.name}: runs {call}" + (f", key {key}" if key else ""))
                await asyncio.sleep(self.work)
                while self.hangs:
                    await asyncio.sleep(0.01)
                body = call.encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Load-Report: active=1,avg_ms=5,err_rps=0\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


def request(call, kind, budget, key=None, method=None, extra=""):
    method = method or ("POST" if key or kind == "check-in" else "GET")
    head = (f"{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {call}\r\nX-Call-Class: {kind}\r\n"
            f"X-Budget-Ms: {budget}\r\n")
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    if method == "POST":
        head += "Content-Length: 0\r\n"
    return (head + extra + "\r\n").encode()


async def read_answer(reader):
    """The status and the body of the next final answer; raises when the connection ends before it."""
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        status = int(head.split(" ")[1])
        length = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        body = await reader.readexactly(length)
        if status >= 200:
            return status, body, head
