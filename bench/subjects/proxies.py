"""The daemon, its gateway and its PostgreSQL front, one core each, beside an earlier version of ours and beside the
baselines, before the same stand-ins: served a second, CPU of the proxy for each, p50 and p99, in rounds of a closed
loop; then idle connections and memory."""
import json
import os
import subprocess
import time

from stage import (Sheet, Stage, core_busy_us, cpu_us, earlier, end, free_port, head, memory_kib, ratios, read_line,
                   rounds, row, spread, wait_for, what_else)

SERVICE = {"name": "browse", "aim": 30.0, "hard_limit": 2000.0, "effect": "idempotent", "worth": 1.0,
           "late_worth": 0.3, "stream": False}


def configuration(port, roster, sockets=60000):
    return {
        "name": "bench", "listen": f"127.0.0.1:{port}", "discovery": roster, "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": sockets},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": {
            "rank": 0, "siblings": 1, "zone": 0, "zones": ["a"], "flavors": ["m"], "tick": 1.0,
            "registry_mode": "push", "services": [SERVICE], "tenants": [],
            "limits": {"cancel": True, "parallel_tries": True, "max_attempts": 5, "connect_timeout": 250.0,
                       "idle_close": 60000.0, "retry_after": True, "max_retry_after": 500.0},
            "invariants": {"ask_within": 10000.0, "drain_grace": 2000.0, "answer_slack": 5.0, "cold_from": 0.33,
                           "ramp_time": 8600.0, "fall_multiple": 4.0, "fall": 1000.0}}}


def nodes_and_roster(stage, cores, on_each):
    """Booking nodes, a process on each of these cores, and a roster that names them all."""
    nodes = []
    for core in cores:
        listen = [word for _ in range(on_each) for word in ("--listen", "127.0.0.1:0")]
        nodes += stage.listening(core, stage.program("standins/flaxdoor_standin_node"), *listen, "--workers", 100000,
                                 count=on_each, at="stdout")[1]
    entries = stage.path("entries")
    with open(entries, "w") as file:
        for i, node in enumerate(nodes):
            file.write(json.dumps({"host": f"node-{i}", "dial": node, "site": "a", "class": "m", "block": 0,
                                   "health": "active", "share": 1.0, "born_ms": 0}) + "\n")
    roster = stage.listening(cores[-1], stage.program("standins/flaxdoor_standin_roster"), "--entries", entries,
                             at="stdout")[1][0]
    return nodes, roster


class Subject:
    """One front: its servers, our operator's file, the load's words, and which baselines stand beside it."""
    idles = True  # may have many idle clients
    baselines = {"relay": "bench/flaxdoor_relay", "HTTP forwarder": "bench/flaxdoor_http_forward"}

    def __init__(self, stage):
        self.stage = stage
        _, _, *self.server_cores = stage.cores
        self.servers, self.roster = [], "127.0.0.1:1"

    def balancer(self, core, program):
        port, front = free_port(), free_port()
        tag = f"{os.path.basename(os.path.dirname(program))}{port}"
        config, operator = self.stage.path(f"{tag}.json"), self.stage.path(f"{tag}.toml")
        with open(config, "w") as file:
            json.dump(configuration(port, self.roster), file)
        with open(operator, "w") as file:
            file.write(self.operator(front))
        process, _ = self.stage.listening(core, program, "--operator", operator,
                                          env={**os.environ, "NODE_CONFIG": config})
        wait_for(self.port(port, front))
        return process, f"127.0.0.1:{self.port(port, front)}"

    def port(self, _, front):
        return front


class Daemon(Subject):
    load = ["--class", "browse"]

    def __init__(self, stage):
        super().__init__(stage)
        self.servers, self.roster = nodes_and_roster(stage, self.server_cores, 5)

    def operator(self, _):
        return '[http]\nidle_timeout_crowded = "5m"\nclient_share = 0.5\nkeepalive_share = 0.45\n'

    def port(self, port, _):
        return port


class Gateway(Subject):
    load = ["--host", "book.example", "--path", "/api/x", "--class", "browse"]

    def __init__(self, stage):
        super().__init__(stage)
        # Relays' servers know nothing of routes: a forwarder without the module does what a route here asks for.
        self.servers = []
        for core in self.server_cores:
            listen = ["--listen", "127.0.0.1:0"] * 2
            self.servers += stage.listening(core, stage.program("standins/flaxdoor_standin_node"), *listen, "--workers",
                                            100000, count=2, at="stdout")[1]

    def operator(self, front):
        servers = ", ".join(f'"{each}"' for each in self.servers)
        return (f'[gateway]\nlisten = "127.0.0.1:{front}"\n[[route_pool]]\nname = "p"\nservers = [{servers}]\n'
                '[[route]]\nname = "r"\nhosts = ["book.example"]\npath = "/api"\npools = ["p"]\neffect = "by_method"\n')


class Postgres(Subject):
    baselines = {"relay": "bench/flaxdoor_relay"}
    mode, load = "transaction", ["--postgres"]

    def __init__(self, stage):
        super().__init__(stage)
        self.servers = stage.listening(self.server_cores[0], stage.program("standins/flaxdoor_standin_pg_server"),
                                       at="stdout")[1]

    def operator(self, front):
        # A client keeps its server in session mode: there must be one for each.
        size = 20 if self.mode == "transaction" else 300
        return (f'[postgres]\nlisten = "127.0.0.1:{front}"\nmax_clients = 20000\nmax_strangers = 20000\n'
                f'[[postgres_server]]\nname = "a"\naddress = "{self.servers[0]}"\n'
                f'[[postgres_database]]\nname = "postgres"\nservers = ["a"]\nmode = "{self.mode}"\npool_size = {size}\n'
                '[[postgres_user]]\nname = "app"\nauth = "trust"\n')


class PostgresSessions(Postgres):
    mode, load = "session", ["--postgres", "--prepared"]
    idles = False  # each client keeps a server: there are not that many


SUBJECTS = {"daemon": [("", Daemon)], "gateway": [("", Gateway)],
            "postgres": [("transaction, simple", Postgres), ("session, prepared", PostgresSessions)]}


def run(options):
    sheet = Sheet(options.csv)
    print(f"{options.subject}: {options.rounds} rounds of {options.seconds} s each; {what_else(options.cores)}")
    for title, kind in SUBJECTS[options.subject]:
        with Stage(options) as stage:
            one(options, stage, kind(stage), title, sheet)
    print(f"\nAt the end: {what_else(options.cores)}")


def one(options, stage, subject, title, sheet):
    core, load_core, *_ = options.cores
    programs = {"ours": stage.program("flaxdoor_balancer")}
    if options.earlier:
        its = earlier(options.build, options.earlier, ["flaxdoor_balancer"])
        programs["earlier"] = os.path.join(its, "flaxdoor_balancer")
    proxies = {name: subject.balancer(core, program) for name, program in programs.items()}
    servers = [word for each in subject.servers for word in ("--server", each)]
    for name, program in subject.baselines.items():
        process, addresses = stage.listening(core, stage.program(program), *servers, at="stdout")
        proxies[name] = process, addresses[0]
    time.sleep(0.5)  # for lists and first connections
    memory = {name: memory_kib(process.pid) for name, (process, _) in proxies.items()}

    def load(name, clients, seconds):
        command = stage.words(load_core, stage.program("bench/flaxdoor_closed_loop"), "--target", proxies[name][1],
                              "--connections", clients, "--duration-ms", int(seconds * 1000), *subject.load)
        return json.loads(subprocess.run(command, check=True, capture_output=True, text=True).stdout)

    def measure(name, clients):
        pid = proxies[name][0].pid
        cpu, busy = cpu_us(pid), core_busy_us(core)
        its = load(name, clients, options.seconds)
        cpu, busy = cpu_us(pid) - cpu, core_busy_us(core) - busy
        served = max(its["served"], 1)
        figures = {"rate": its["served"] / its["seconds"], "cpu": cpu / served, "p50": its["p50_us"],
                   "p99": its["p99_us"], "other": its["other"], "broken": its["broken"],
                   "foreign": max(0.0, 100 * (busy - cpu) / (its["seconds"] * 1e6))}
        sheet.add(part=title, clients=clients, program=name, **figures)
        return figures

    names = list(proxies)
    found = {}
    for clients in options.clients:
        for name in names:
            load(name, clients, 0.3)  # warm
        found[clients] = rounds(options.rounds, names, lambda name: measure(name, clients))
    if title:
        print(f"\n{title}")
    head("clients", "", "served a second", "CPU us each", "p50 us", "p99 us", "not served", "broken",
         "others on its core, %")
    for clients, by_name in found.items():
        for name, its in by_name.items():
            of = lambda key: [each[key] for each in its]
            row(clients, name, spread(of("rate")), spread(of("cpu"), "{:.1f}"), spread(of("p50")), spread(of("p99")),
                sum(of("other")), sum(of("broken")), spread(of("foreign")))
    head("clients", "ratio, round by round", "served a second", "CPU each", "p50", "p99")
    for clients, by_name in found.items():
        for other in names[1:]:
            row(clients, f"ours / {other}", *[ratios([a[key] for a in by_name["ours"]], [b[key] for b in by_name[other]])
                                              for key in ("rate", "cpu", "p50", "p99")])
    if options.calls:
        head("", "system calls for each request served, 64 clients")
        for name, (process, _) in proxies.items():
            its = system_calls(stage, process.pid, lambda: load(name, 64, 1.0))
            row(name, ", ".join(f"{call} {count}" for call, count in its.items()))
    if options.idle and subject.idles:
        head("", "KiB of its own after the start", "KiB for each idle client that has asked once")
        for name in names:
            row(name, memory[name], idle(stage, subject, proxies[name], options.idle, load_core))


CALLS = "epoll_wait epoll_ctl recvfrom recvmsg sendto sendmsg read write poll timerfd_settime".split()


def system_calls(stage, pid, load):
    """Of a proxy, for each request served, as perf counts them within a round of a second."""
    events = ",".join(["raw_syscalls:sys_enter", *[f"syscalls:sys_enter_{call}" for call in CALLS]])
    counting = stage.start("0-" + str(os.cpu_count() - 1), "perf", "stat", "-x,", "-e", events, "-p", pid, "--", "sleep", 3,
                           stderr=subprocess.PIPE, text=True)
    time.sleep(0.5)  # until it counts
    served = max(load()["served"], 1)
    found = {}
    for line in counting.communicate()[1].splitlines():
        count, _, event, *_ = line.split(",") + ["", ""]
        if count.isdigit() and int(count) / served >= 0.005:
            found[event.partition("sys_enter_")[2] or "all"] = f"{int(count) / served:.2f}"
    return found


def idle(stage, subject, proxy, count, core):
    process, address = proxy
    before = memory_kib(process.pid)
    holder = stage.start(core, stage.program("bench/flaxdoor_closed_loop"), "--target", address, "--connections", count,
                         "--hold", *subject.load, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    said = read_line(holder, 60)
    after = memory_kib(process.pid)
    end(holder)
    its = json.loads(said) if said else {"served": 0, "other": 0}
    held = its["served"] + its["other"]
    return f"{(after - before) / max(held, 1):.2f} ({held} held)"
