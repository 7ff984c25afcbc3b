"""What every measurement here shares: programs that are started, pinned and ended; an earlier version of ours, built
from this repository's own history; rounds in which each program is first in turn; medians, spreads, ratios, CSV."""
import csv
import os
import re
import resource
import select
import shutil
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
READY_WITHIN = 20  # seconds until a program must say that it listens


class Stage:
    """Programs on their cores, in a folder of their own; all of it ends with the block."""

    def __init__(self, options):
        self.build = os.path.abspath(options.build)
        self.cores = options.cores
        self.nice = options.nice
        self.folder = tempfile.mkdtemp(prefix="flaxdoor-bench-", dir=options.folder)
        self.started = []
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.started:
            end(process)
        shutil.rmtree(self.folder, ignore_errors=True)

    def path(self, name):
        return os.path.join(self.folder, name)

    def program(self, *names):
        """The first of these that is built."""
        for name in names:
            path = name if os.path.isabs(name) else os.path.join(self.build, name)
            if os.access(path, os.X_OK):
                return path
        sys.exit(f"Missing: {names[0]}. cmake -B {self.build} -DFLAXDOOR_BENCH=ON && cmake --build {self.build}")

    def words(self, core, *command):
        """The command on its core; with precedence, as far as this user may."""
        nice = ["nice", "-n", str(self.nice)] if self.nice >= 0 or os.geteuid() == 0 else []
        return ["taskset", "-c", str(core), *nice, *map(str, command)]

    def start(self, core, *command, **more):
        process = subprocess.Popen(self.words(core, *command), **more)
        self.started.append(process)
        return process

    def listening(self, core, *command, count=1, at="stderr", env=None, pattern=r"listening on (\S+)"):
        """Starts a program and waits until it says where it listens; gives the process and the addresses."""
        log = self.path(f"log{len(self.started)}")
        with open(log, "wb") as file:
            process = self.start(core, *command, stdin=subprocess.DEVNULL if at == "stderr" else subprocess.PIPE,
                                 stdout=file if at == "stdout" else subprocess.DEVNULL,
                                 stderr=file if at == "stderr" else None, env=env)
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until:
            with open(log, errors="replace") as file:
                found = re.findall(pattern, file.read())
            if len(found) >= count:
                return process, found
            if process.poll() is not None:
                break
            time.sleep(0.01)
        with open(log, errors="replace") as file:
            sys.exit(f"It does not start: {' '.join(map(str, command))}\n{file.read()}")


def end(process):
    if process.poll() is None:
        process.send_signal(signal.SIGKILL)
    process.wait()
    if process.stdin:
        process.stdin.close()


def free_port():
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


def wait_for(port):
    until = time.monotonic() + READY_WITHIN
    while time.monotonic() < until:
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            time.sleep(0.02)
    sys.exit(f"nobody listens on port {port}")


def read_line(process, seconds):
    """A line of the program's output; nothing when none comes in time."""
    ready, _, _ = select.select([process.stdout], [], [], seconds)
    return process.stdout.readline() if ready else ""


def cpu_us(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1e6 / os.sysconf("SC_CLK_TCK")


def memory_kib(pid):
    """Pages that the process has written: those of its file are shared with whoever runs it, too."""
    with open(f"/proc/{pid}/smaps_rollup") as file:
        return sum(int(n) for n in re.findall(r"Private_Dirty:\s+(\d+)", file.read()))


def core_busy_us(core):
    with open("/proc/stat") as file:
        for line in file:
            if line.startswith(f"cpu{core} "):
                f = [int(n) for n in line.split()[1:]]
                return (f[0] + f[1] + f[2] + f[5] + f[6] + f[7]) * 1e6 / os.sysconf("SC_CLK_TCK")
    return 0.0


def what_else(cores):
    """The machine and what else runs on it, for the page."""
    load = " ".join(f"{n:.1f}" for n in os.getloadavg())
    with open("/proc/meminfo") as file:
        memory = int(file.readline().split()[1]) / 2**20
    return f"{os.cpu_count()} cores, {memory:.0f} GiB; programs on cores {','.join(map(str, cores))}; load average {load}"


# ------------------------------------------------------------------------------------------------ earlier versions


def earlier(build, commit, targets):
    """A commit of this repository's own history, built once under BUILD/earlier; gives the folder of its programs.
    What measures is today's for both: store_bench is added to the earlier project's targets."""
    name = subprocess.run(["git", "-C", ROOT, "rev-parse", "--short", commit], check=True, capture_output=True,
                          text=True).stdout.strip()
    home = os.path.join(os.path.abspath(build), "earlier", name)
    tree, its = os.path.join(home, "tree"), os.path.join(home, "build")
    if not os.path.isdir(tree):
        os.makedirs(tree)
        archive = subprocess.run(["git", "-C", ROOT, "archive", name], check=True, capture_output=True)
        subprocess.run(["tar", "x", "-C", tree], input=archive.stdout, check=True)
    if not all(os.access(os.path.join(its, target), os.X_OK) for target in targets):
        with open(os.path.join(home, "today.cmake"), "w") as file:
            file.write("function(today)\n"
                       f'  add_executable(store_bench "{ROOT}/bench/store_bench.cpp")\n'
                       "  target_link_libraries(store_bench PRIVATE flaxdoor::store CLI11::CLI11)\n"
                       "endfunction()\ncmake_language(DEFER CALL today)\n")
        log = os.path.join(home, "log")
        with open(log, "w") as file:
            for command in (["cmake", "-S", tree, "-B", its, "-DCMAKE_BUILD_TYPE=Release",
                             f"-DCMAKE_PROJECT_flaxdoor_INCLUDE={home}/today.cmake"],
                            ["cmake", "--build", its, "-j2", "--target", *targets]):
                if subprocess.run(["nice", *command], stdout=file, stderr=subprocess.STDOUT).returncode != 0:
                    sys.exit(f"{name} can't be built: {log}")
    return its


# ------------------------------------------------------------------------------------------------- rounds and tables


def rounds(count, names, measure):
    """Each name measured once a round, each first in turn: {name: [figures of each round]}."""
    found = {name: [] for name in names}
    for number in range(count):
        first = number % len(names)
        for name in names[first:] + names[:first]:
            found[name].append(measure(name))
    return found


def spread(values, form="{:,.0f}"):
    """Median (least..most)."""
    return f"{form} ({form}..{form})".format(statistics.median(values), min(values), max(values))


def ratios(ours, theirs, form="{:.2f}"):
    """Round by round; a round in which the other did nothing says nothing."""
    return spread([a / b for a, b in zip(ours, theirs) if b] or [0], form)


def row(*cells):
    print("| " + " | ".join(map(str, cells)) + " |", flush=True)


def head(*cells):
    print()
    row(*cells)
    row(*["---"] * len(cells))


class Sheet:
    """Each round's figures, as CSV beside the tables; none without a path."""

    def __init__(self, path):
        self.file = open(path, "w", newline="") if path else None
        self.writer = None

    def add(self, **figures):
        if not self.file:
            return
        if not self.writer:
            self.writer = csv.DictWriter(self.file, list(figures), extrasaction="ignore", restval="")
            self.writer.writeheader()
        self.writer.writerow(figures)
        self.file.flush()
