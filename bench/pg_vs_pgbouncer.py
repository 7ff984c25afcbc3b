#!/usr/bin/env python3
"""The balancer beside pgbouncer before one PostgreSQL 15, one core each, in one run: pgbench -S, simple in transaction mode
and prepared in session mode; then the memory of idle clients. Prints rates, latencies, CPU a transaction, and ratios.

usage: pg_vs_pgbouncer.py BUILD [SECONDS] [IDLE]     as root: the server runs as the user postgres"""
import os, re, resource, shutil, socket, struct, subprocess, sys, tempfile, time

BIN = "/usr/lib/postgresql/15/bin/"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
build = sys.argv[1]
seconds = int(sys.argv[2]) if len(sys.argv) > 2 else 5
idle = int(sys.argv[3]) if len(sys.argv) > 3 else 10000
limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
idle = min(idle, limit - 1000)
folder = tempfile.mkdtemp(prefix="flaxdoor-bench-")
os.chmod(folder, 0o777)
started = []


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def owner(command, **more):
    return subprocess.run(["su", "-s", "/bin/sh", "postgres", "-c", command], check=True, stdout=subprocess.DEVNULL, **more)


def wait_for(port):
    for _ in range(200):
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except OSError:
            time.sleep(0.05)
    raise SystemExit("nobody listens on %d" % port)


def cpu(pid):
    fields = open("/proc/%d/stat" % pid).read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory(pid):  # its own, KiB
    return sum(int(n) for n in re.findall(r"Private_\w+:\s+(\d+)", open("/proc/%d/smaps_rollup" % pid).read()))


def start_bouncer(server, mode):
    port = free_port()
    ini = folder + "/%s.ini" % mode
    open(folder + "/users", "w").write('"app" ""\n')
    open(ini, "w").write(f"""[databases]
postgres = host=127.0.0.1 port={server}
[pgbouncer]
listen_addr = 127.0.0.1
listen_port = {port}
auth_type = trust
auth_file = {folder}/users
pool_mode = {mode}
default_pool_size = {20 if mode == 'transaction' else 300}
max_client_conn = 20000
unix_socket_dir =
ignore_startup_parameters = extra_float_digits
""")
    os.chmod(ini, 0o644)
    os.chmod(folder + "/users", 0o644)
    process = subprocess.Popen(["setpriv", "--reuid=postgres", "--clear-groups", "taskset", "-c", "1", "pgbouncer", "-q", ini],
                               stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL)
    started.append(process)
    wait_for(port)
    return process.pid, port


def start_ours(server, mode):
    port, http = free_port(), free_port()
    config = open(ROOT + "/deploy/examples/config.json").read()
    config = config.replace("127.0.0.1:5000", "127.0.0.1:%d" % http).replace('"sockets": 1024', '"sockets": 60000')
    open(folder + "/config.json", "w").write(config)
    operator = folder + "/%s.toml" % mode
    open(operator, "w").write(f"""[postgres]
listen = "127.0.0.1:{port}"
max_clients = 20000
max_strangers = 20000
[[postgres_server]]
name = "a"
address = "127.0.0.1:{server}"
[[postgres_database]]
name = "postgres"
servers = ["a"]
mode = "{mode}"
pool_size = {20 if mode == 'transaction' else 300}
[[postgres_user]]
name = "app"
auth = "trust"
""")
    log = open(folder + "/%s.log" % mode, "w")
    process = subprocess.Popen(["taskset", "-c", "1", build + "/flaxdoor_balancer", "--operator", operator], stderr=log,
                               env=dict(os.environ, NODE_CONFIG=folder + "/config.json"))
    started.append(process)
    wait_for(port)
    return process.pid, port


def play(pid, port, clients, protocol):
    log = folder + "/lat"
    before = cpu(pid)
    command = ["taskset", "-c", "4-7", "pgbench", "-h", "127.0.0.1", "-p", str(port), "-U", "app", "-S", "-n", "-M", protocol,
               "-c", str(clients), "-j", str(min(clients, 4)), "-T", str(seconds), "-l", "--log-prefix=" + log,
               "--sampling-rate=0.05", "postgres"]
    out = subprocess.run(command, capture_output=True, text=True)
    used = cpu(pid) - before
    count = int(re.search(r"actually processed: (\d+)", out.stdout).group(1))
    rate = float(re.search(r"tps = ([\d.]+)", out.stdout).group(1))
    times = []
    for name in os.listdir(folder):
        if name.startswith("lat."):
            times += [int(line.split()[2]) for line in open(folder + "/" + name)]
            os.remove(folder + "/" + name)
    times.sort()
    errors = len(re.findall(r"ERROR|FATAL", out.stderr))
    return rate, times[len(times) // 2], times[len(times) * 99 // 100], used * 1e6 / max(count, 1), count, errors


def log_in(port):
    s = socket.create_connection(("127.0.0.1", port))
    body = struct.pack(">I", 3 << 16) + b"user\0app\0database\0postgres\0\0"
    s.sendall(struct.pack(">I", len(body) + 4) + body)
    got = b""
    while not got.endswith(b"Z\0\0\0\5I"):
        more = s.recv(4096)
        if not more:
            raise SystemExit("a login was refused: %r" % got)
        got += more
    return s


try:
    server = free_port()
    owner(f"{BIN}initdb -D {folder}/data -U app -A trust --no-sync --no-locale -E UTF8")
    owner(f"{BIN}pg_ctl -D {folder}/data -w -l {folder}/log -o '-p {server} -k {folder} -h 127.0.0.1 -c fsync=off "
          "-c max_connections=700 -c shared_buffers=256MB' start")
    subprocess.run(["pgbench", "-h", "127.0.0.1", "-p", str(server), "-U", "app", "-i", "-s", "10", "-q", "postgres"],
                   check=True, capture_output=True)
    print("| mode | clients | | tps | p50 us | p99 us | CPU us | errors |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for mode, protocol in (("transaction", "simple"), ("session", "prepared")):
        both = {"pgbouncer": start_bouncer(server, mode), "ours": start_ours(server, mode)}
        units = 0
        for clients in (1, 16, 256):
            rows = {}
            for name, (pid, port) in both.items():
                rows[name] = play(pid, port, clients, protocol)
                rate, p50, p99, us, count, errors = rows[name]
                if name == "ours":
                    units += count
                print("| %s, %s | %d | %s | %.0f | %d | %d | %.1f | %d |" % (mode, protocol, clients, name, rate, p50, p99, us, errors))
            a, b = rows["ours"], rows["pgbouncer"]
            print("| | | ratio | %.2f | %.2f | %.2f | %.2f | |" % tuple(a[i] / max(b[i], 1e-9) for i in range(4)), flush=True)
        if mode == "transaction":
            for name, (pid, port) in both.items():
                before = memory(pid)
                held = [log_in(port) for _ in range(idle)]
                print("%s: %.2f KiB for each of %d idle clients" % (name, (memory(pid) - before) / idle, idle), flush=True)
                for s in held:
                    s.close()
        subprocess.run(["kill", "-TERM", str(both["ours"][0])])
        for process in started:
            if process.pid == both["ours"][0]:
                process.wait(60)  # its drain waits for the longest deadline at most
        told = [line for line in open(folder + "/%s.log" % mode) if "units" in line]
        print("transactions of pgbench's through ours: %d; %s" % (units, "".join(told).strip()))
finally:
    for process in started:
        process.kill()
    subprocess.run(["su", "-s", "/bin/sh", "postgres", "-c", f"{BIN}pg_ctl -D {folder}/data -m immediate stop"],
                   stdout=subprocess.DEVNULL)
    shutil.rmtree(folder, ignore_errors=True)
