"""What the cases share: processes, the record, free ports and a stand-in of discovery. Standard library only."""
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BALANCER = os.path.join(ROOT, "build", "flaxdoor_balancer")
TOOL = os.path.join(ROOT, "build", "flaxdoor")


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Case:
    """One play: a temporary folder, the record, and the processes, which all end with it."""

    def __init__(self, folder, limit=100):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.work = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.processes = []
        self.began = time.monotonic()
        self.note("play", "with the disruption" if self.trouble else "without the disruption (TROUBLE=0)")
        watchdog = threading.Timer(limit, self.overdue)
        watchdog.daemon = True
        watchdog.start()

    def now(self):
        return time.monotonic() - self.began

    def note(self, who, what):
        with self.lock:
            self.record.write(f"{self.now():8.3f}  {who:<14} {what}\n")
            self.record.flush()

    def stopped(self):
        self.end()
        os._exit(2)

    def overdue(self):
        self.note("play", "took too long")
        self.end()
        os._exit(2)

    def path(self, name):
        return os.path.join(self.work, name)

    def write(self, name, text):
        temporary = self.path(name + ".new")
        with open(temporary, "w") as out:
            out.write(text)
        os.replace(temporary, self.path(name))
        return self.path(name)

    def start(self, name, command, **variables):
        """Starts a program by /bin/sh -c from the root, as the deploy file's `run` is started."""
        log = open(self.path(name + ".log"), "wb")
        environment = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
        environment.update(variables)
        process = subprocess.Popen(["/bin/sh", "-c", "exec " + command], cwd=ROOT, env=environment,
                                   stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.processes.append(process)
        self.note(name, f"started, process {process.pid}")
        return process

    def log_of(self, name):
        with open(self.path(name + ".log"), errors="replace") as log:
            return log.read()

    def wait_for_log(self, name, pattern, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = re.search(pattern, self.log_of(name), re.M)
            if found:
                return found
            time.sleep(0.01)
        raise CannotRun(f"{name} did not log {pattern}; its log:\n{self.log_of(name)}")

    def signal(self, name, process, number):
        self.note(name, f"gets {signal.Signals(number).name}")
        process.send_signal(number)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        for name in sorted(os.listdir(self.work)):
            if name.endswith(".log"):
                for line in self.log_of(name[:-4]).splitlines():
                    self.note("log of " + name[:-4], line)
        shutil.rmtree(self.work, ignore_errors=True)


def play(folder, run, limit=100):
    """Runs a case. `run` returns the text of the break, or None if the rule held."""
    case = Case(folder, limit)
    status = 2
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: case.stopped())
    try:
        broken = run(case)
        case.note("verdict", "BROKEN: " + broken if broken else "the rule held")
        print("BROKEN: " + broken if broken else "held")
        status = 1 if broken else 0
    except CannotRun as why:
        case.note("verdict", f"could not run: {why}")
        print(f"could not run: {why}", file=sys.stderr)
    except Exception as why:  # a fault of the case, not of the product
        case.note("verdict", f"could not run: {why!r}")
        print(f"could not run: {why!r}", file=sys.stderr)
    finally:
        case.end()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


class Discovery:
    """Discovery as the protocol page has it: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, hosts=()):
        self.body = json.dumps({"seq": 1, "whole": True, "hosts": list(hosts)})
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                got = connection.recv(4096)
                if not got:
                    return
                head += got
            if b"stream=1" not in head.split(b"\r\n")[0]:
                body = self.body.encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = self.body.encode() + b"\n"
            while True:
                connection.sendall(b"%x\r\n%s\r\n" % (len(line), line))
                time.sleep(2)
                line = b"\n"
        except OSError:
            pass
        finally:
            connection.close()


def platform_config(case, name, discovery, file=None):
    """The platform's configuration, with the example's settings, on a free port."""
    with open(os.path.join(ROOT, "deploy", "examples", "config.json")) as example:
        config = json.load(example)
    config.update({"name": name, "listen": "127.0.0.1:0", "discovery": discovery})
    config["known"] = {"seq": 0, "whole": True, "hosts": []}
    return case.write(file or name + ".json", json.dumps(config))
