"""Service in the first ten seconds after half of twelve balancers restart while discovery is down, with and without a
store, in rounds that alternate.

36 stand-in nodes. The configuration's list names the first 24. Since it was made, 12 of these have been replaced by
others (their machines are gone: connections never come up) and 2 are told to drain. All twelve balancers have heard so
from the roster. After six seconds of load the roster goes down, six balancers are killed and started again."""
import json
import os
import socket
import subprocess
import sys
import time

from stage import Stage, end, free_port, row, head, rounds, spread, what_else

BALANCERS, KNOWN, REPLACED, DRAINED = 12, 24, 12, 2
RATE = 2400  # calls a second, all clients together
CLASSES = ["browse:safe:6:600", "hold:keyed:2:750:100", "pay:unsafe:2:400:200"]


class Round:
    def __init__(self, stage, with_store, seed):
        self.stage, self.folder, self.with_store, self.seed = stage, stage.folder, with_store, seed
        self.cores = ",".join(map(str, stage.cores))

    def start(self, *command, **options):
        return self.stage.start(self.cores, *command, **options)

    def program(self, name, *words):
        return self.start(self.stage.program(f"standins/flaxdoor_standin_{name}"), *words, stdin=subprocess.PIPE,
                          stdout=subprocess.PIPE, text=True)

    @staticmethod
    def tell(process, line):
        process.stdin.write(line + "\n")
        process.stdin.flush()
        return json.loads(process.stdout.readline())

    def nodes(self, count):
        listen = [word for _ in range(count) for word in ("--listen", "127.0.0.1:0")]
        process = self.program("node", *listen, "--workers", "4", "--work", "*=5:exp", "--seed", str(self.seed))
        return process, [process.stdout.readline().split()[-1] for _ in range(count)]

    @staticmethod
    def host(name, dial, health="active"):
        return {"host": name, "dial": dial, "site": "a", "class": "m", "block": 0, "health": health,
                "share": 1.0, "born_ms": 0}

    def config(self, rank, port, roster, known):
        service = {"aim": 150.0, "hard_limit": 750.0, "worth": 1.0, "late_worth": 0.3, "stream": False}
        path = f"{self.folder}/config{rank}.json"
        with open(path, "w") as file:
            json.dump({
                "name": f"n{rank}", "listen": f"127.0.0.1:{port}", "discovery": roster,
                "seed": f"{self.seed * 100 + rank:x}", "limits": {"sockets": 1024},
                "known": {"seq": 1, "whole": True, "hosts": known},
                "settings": {
                    "rank": rank, "siblings": BALANCERS, "zone": 0, "zones": ["a"], "flavors": ["m"], "tick": 1.0,
                    "registry_mode": "push",
                    "services": [dict(service, name="browse", effect="idempotent"),
                                 dict(service, name="hold", effect="deduplicated", group="zone", window=1500.0),
                                 dict(service, name="pay", effect="at_most_once", hard_limit=400.0)],
                    "tenants": [],
                    "limits": {"cancel": True, "parallel_tries": True, "max_attempts": 5,
                               "connect_timeout": 250.0, "idle_close": 15000.0, "retry_after": True,
                               "max_retry_after": 500.0},
                    "invariants": {"ask_within": 10000.0, "drain_grace": 2000.0, "answer_slack": 5.0,
                                   "cold_from": 0.33, "ramp_time": 8600.0, "fall_multiple": 4.0,
                                   "fall": 1000.0}}}, file)
        operators = f"{self.folder}/operators{rank}.toml"
        with open(operators, "w") as file:
            file.write("# of this measurement\n")
            if self.with_store:
                file.write(f'[store]\nfolder = "{self.folder}/store{rank}"\nremember_every = "2s"\n')
        return path, operators

    def balancer(self, rank):
        config, operators = self.configs[rank]
        with open(f"{self.folder}/log{rank}", "a") as log:
            return self.start(self.stage.program("flaxdoor_balancer"), "--operator", operators, stderr=log,
                              env={**os.environ, "NODE_CONFIG": config})

    def await_ready(self, port):
        for _ in range(1000):
            try:
                with socket.create_connection(("127.0.0.1", port), 1) as connection:
                    connection.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if connection.recv(100).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                pass
            time.sleep(0.005)
        for rank in range(BALANCERS):
            with open(f"{self.folder}/log{rank}") as log:
                sys.stderr.write(log.read())
        sys.exit(f"no balancer answers at port {port}")

    def load(self, ports, rate, seconds, seed):
        words = [word for port in ports for word in ("--target", f"127.0.0.1:{port}")]
        words += [word for each in CLASSES for word in ("--class", each)]
        return self.start(self.stage.program("standins/flaxdoor_standin_client"), *words, "--rate", str(rate),
                          "--connections", "200", "--duration-ms", str(int(seconds * 1000)), "--seed", str(seed),
                          "--json", stdout=subprocess.PIPE, text=True)

    def run(self):
        old, addresses = self.nodes(KNOWN)
        new, further = self.nodes(REPLACED)
        known = [self.host(f"s-{i}", dial) for i, dial in enumerate(addresses)]
        entries = f"{self.folder}/entries"
        with open(entries, "w") as file:
            file.writelines(json.dumps(host) + "\n" for host in known)
        roster = self.program("roster", "--entries", entries)
        roster_address = roster.stdout.readline().split()[-1]
        for i in range(REPLACED):
            self.tell(old, f"@{i + 1} vanish")
            self.tell(roster, f"remove s-{i}")
            self.tell(roster, "set " + json.dumps(self.host(f"t-{i}", further[i])))
        for i in range(REPLACED, REPLACED + DRAINED):
            self.tell(roster, f"drain s-{i}")
        ports = [free_port() for _ in range(BALANCERS)]
        self.configs = [self.config(rank, port, roster_address, known) for rank, port in enumerate(ports)]
        balancers = [self.balancer(rank) for rank in range(BALANCERS)]
        for port in ports:
            self.await_ready(port)
        self.load(ports, RATE, 6, self.seed).wait()

        half = BALANCERS // 2
        self.tell(roster, "down refuse")
        for process in balancers[:half]:
            end(process)
        began = time.monotonic()
        for rank in range(half):
            self.balancer(rank)
        for port in ports[:half]:
            self.await_ready(port)
        ready = time.monotonic() - began
        drained = [self.tell(old, f"@{i + 1} counts") for i in range(REPLACED, REPLACED + DRAINED)]
        others = self.load(ports[half:], RATE / 2, 10, self.seed + 1)
        told = []
        for seconds, seed in ((1, 2), (9, 3)):
            client = self.load(ports[:half], RATE / 2, seconds, self.seed + seed)
            told.append(json.loads(client.communicate()[0].splitlines()[-1]))
        others.wait()
        after = [self.tell(old, f"@{i + 1} counts") for i in range(REPLACED, REPLACED + DRAINED)]
        return {"ready_ms": ready * 1000, "first": told[0], "rest": told[1],
                "drained": sum(b["started"] - a["started"] for a, b in zip(drained, after))}


def run(options):
    kinds = {"with the store": True, "without": False}
    seeds = iter(range(1000, 10**9, 10))

    def measure(kind):
        with Stage(options) as stage:
            return Round(stage, kinds[kind], next(seeds)).run()

    found = rounds(options.rounds, list(kinds), measure)

    def line(name, pick, form="{:.1f}"):
        row(name, *[spread([pick(each) for each in its], form) for its in found.values()])

    def share(report, *outcomes):
        return 100 * sum(report["all"][o] for o in outcomes) / max(1, report["all"]["calls"])

    head("median (least..most)", *kinds)
    for when, title in (("first", "first second"), ("rest", "the next nine")):
        line(f"{title}: served, %", lambda r: share(r[when], "served"), "{:.2f}")
        line(f"{title}: refused, %", lambda r: share(r[when], "refused"), "{:.2f}")
        line(f"{title}: failed, late or unanswered, %",
             lambda r: share(r[when], "failed", "late", "unanswered", "broken", "foreign"), "{:.2f}")
        line(f"{title}: p99 of what was served, ms", lambda r: r[when]["all"]["served_us"]["p99"] / 1000)
    line("requests to nodes that drain", lambda r: r["drained"], "{:.0f}")
    line("from the start of six to all ready, ms", lambda r: r["ready_ms"], "{:.0f}")
    print(what_else(options.cores))
