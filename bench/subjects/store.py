"""The store beside its earlier version and the floor (a log that is appended to and synced, a map under a lock), by
parts: sync rates reads day pause memory start10 start100 start1000. The folder must not lie in memory and takes up to
3 GB. store_bench gives one figure of one engine a run; rounds run all of them."""
import json
import os
import shutil
import subprocess
import sys

from stage import Sheet, Stage, earlier, head, ratios, row, rounds, spread, what_else

BIG = 900_000  # keys, 108 MB


class Engines:
    def __init__(self, options, stage):
        self.options, self.stage = options, stage
        self.sheet = Sheet(options.csv)
        program = stage.program("bench/store_bench")
        self.all = {"store": (program, "store"), "baseline": (program, "baseline")}
        if options.earlier:
            its = earlier(options.build, options.earlier, ["store_bench"])
            self.all["earlier"] = (f"{its}/store_bench", "store")
        self.cores = ",".join(map(str, options.cores))

    def run(self, command, name="store", at="x", fresh=False, **more):
        place = self.stage.path(at)
        if fresh:
            shutil.rmtree(place, ignore_errors=True)
        program, engine = self.all[name]
        words = [program, command, "--folder", place, "--engine", engine]
        for option, value in more.items():
            words += ["--" + option] if value is True else ["--" + option, value]
        out = subprocess.run(self.stage.words(self.cores, *words), capture_output=True, text=True)
        if out.returncode != 0:
            sys.exit(f"{' '.join(map(str, words))}: {out.stderr}")
        figures = json.loads(out.stdout)
        self.sheet.add(part=command, program=name, options=json.dumps(more),
                       **{key: figures.get(key, "") for key in ("rate", "cpu_us", "p50_us", "p99_us", "max_us",
                                                                "amplification", "seconds", "rss", "folder")})
        return figures

    def rounds(self, usual, measure, names=None):
        return rounds(self.options.rounds or usual, list(names or self.all), measure)

    def loaded(self, name, keys):
        at = f"{name}{keys}"
        if not os.path.exists(self.stage.path(at)):
            print("load", name, keys, self.run("load", name, at=at, keys=keys), flush=True)
        return at


def of(its, key, by=1.0):
    return [each[key] * by for each in its]


def sync(e):
    found = e.rounds(20, lambda name: e.run(name, at="raw", bytes=152, seconds=0.25), ["raw-grow", "raw-over"])
    head("append and fdatasync", "a second", "median, us")
    for name, its in found.items():
        row(name, spread(of(its, "rate")), spread(of(its, "p50_us")))


def rates(e):
    writers = [1, 8, 64]
    seconds = e.options.seconds
    found = {w: e.rounds(9, lambda name: e.run("write", name, fresh=True, writers=w, seconds=seconds)) for w in writers}
    raw = e.rounds(9, lambda name: e.run(name, at="raw", bytes=152, seconds=seconds), ["raw-grow", "raw-over"])
    head("durable batches a second", *[f"{w} writers" for w in writers])
    for name in e.all:
        row(name, *[spread(of(found[w][name], "rate")) for w in writers])
    for name, its in raw.items():
        row(name, spread(of(its, "rate")))
    head("us of the processor a batch", *[f"{w} writers" for w in writers])
    for name in e.all:
        row(name, *[spread(of(found[w][name], "cpu_us"), "{:.1f}") for w in writers])
    head("ratio of the rate", *[f"{w} writers" for w in writers])
    for name in list(e.all)[1:]:
        row("store / " + name, *[ratios(of(found[w]["store"], "rate"), of(found[w][name], "rate")) for w in writers])


def reads(e):
    kinds = {"store, through its queue": ("store", {}), "store's engine, on its thread": ("store", {"direct": True}),
             "baseline": ("baseline", {})}
    if "earlier" in e.all:
        kinds["earlier, its engine"] = ("earlier", {"direct": True})

    def measure(kind):
        name, more = kinds[kind]
        return e.run("read", name, at=e.loaded(name, BIG), keys=BIG, seconds=1, **more)

    found = e.rounds(5, measure, kinds)
    ours = of(found["store's engine, on its thread"], "rate")
    head(f"random point reads, {BIG:,} keys, warm", "a second", "us of the processor a read", "store's engine / it")
    for kind, its in found.items():
        row(kind, spread(of(its, "rate")), spread(of(its, "cpu_us"), "{:.2f}"), ratios(ours, of(its, "rate")))


def day(e):
    count = 500_000
    found = e.rounds(3, lambda name: e.run("overwrite", name, fresh=True, writers=8, count=count, keys=1000))
    head(f"{count:,} overwrites of 1,000 keys", "batches a second", "us of the processor a batch",
         "bytes written / bytes of keys and values", "MB in the folder (live: 0.116)", "slowest write, ms")
    for name, its in found.items():
        row(name, spread(of(its, "rate")), spread(of(its, "cpu_us"), "{:.1f}"),
            spread(of(its, "amplification"), "{:.2f}"), spread(of(its, "folder", 1e-6), "{:.1f}"),
            spread(of(its, "max_us", 1e-3), "{:.1f}"))


def pause(e):
    def measure(name):
        shutil.rmtree(e.stage.path("p"), ignore_errors=True)
        shutil.copytree(e.stage.path(e.loaded(name, BIG)), e.stage.path("p"))
        return e.run("write", name, at="p", writers=64, keys=BIG, seconds=6)

    found = e.rounds(3, measure)
    head(f"64 writers, durable, random keys of {BIG:,}", "batches a second", "p50, ms", "p99, ms", "p99.9, ms",
         "longest, ms", "bytes written / bytes of keys and values")
    for name, its in found.items():
        row(name, spread(of(its, "rate")), *[spread(of(its, key, 1e-3), "{:.1f}")
                                             for key in ("p50_us", "p99_us", "p999_us", "max_us")],
            spread(of(its, "amplification"), "{:.1f}"))


def memory(e):
    found = e.rounds(3, lambda name: e.run("read", name, at=e.loaded(name, BIG), keys=BIG, seconds=2))
    head(f"{BIG:,} keys", "MB of memory more than before its opening, after reads")
    for name, its in found.items():
        row(name, spread(of(its, "rss", 1e-6), "{:.1f}"))


def start(e, megabytes):
    keys = megabytes * 9000
    names = list(e.all) if megabytes <= 100 else ["store"]
    for name in names:
        e.loaded(name, keys)
    head(f"start over {megabytes} MB, {keys:,} keys, not in the page cache", "log", "MB in the folder", "ms",
         "ms to the first read")
    for name in names:
        at = e.loaded(name, keys)
        for count in (0, 100_000):
            its = []
            e.run("start", name, at=at)  # what an earlier end left is put away
            for _ in range(e.options.rounds or 5):
                if count:
                    e.run("fill-log", name, at=at, keys=2000, count=count)
                its.append(e.run("start", name, at=at, cold=True))
            row(name, "full" if count else "clean", spread(of(its, "folder", 1e-6)), spread(of(its, "seconds", 1e3)),
                spread(of(its, "first_read", 1e3)))


PARTS = {"sync": sync, "rates": rates, "reads": reads, "day": day, "pause": pause, "memory": memory,
         "start10": lambda e: start(e, 10), "start100": lambda e: start(e, 100), "start1000": lambda e: start(e, 1000)}


def run(options):
    with Stage(options) as stage:
        engines = Engines(options, stage)
        for part in options.parts:
            PARTS[part](engines)
            print(what_else(options.cores), flush=True)
