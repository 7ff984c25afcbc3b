#!/usr/bin/env python3
"""The measurements: ours as it is, ours as an earlier commit had it, and this repository's own baselines, in one run,
in rounds that alternate, each program first in turn. Prints tables (median, least and most; ratios round by round) and
writes each round's figures as CSV. Binds 127.0.0.1 only; leaves nothing but BUILD/earlier.

    cmake -B build -DCMAKE_BUILD_TYPE=Release -DFLAXDOOR_BENCH=ON && cmake --build build -j4
    bench/run.py daemon --earlier COMMIT --csv daemon.csv

As root it takes precedence over what else runs; what else runs is said in the tables."""
import argparse
import os
import signal
import sys

sys.dont_write_bytecode = True  # nothing is left in the tree
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from subjects import library, proxies, restart, store  # noqa: E402


def numbers(text):
    return [int(each) for each in text.split(",")]


def in_own_session(options):
    """A session of its own: where the kernel shares a core out by session first, precedence counts within one only."""
    child = os.fork()
    if child:
        for which in (signal.SIGINT, signal.SIGTERM):
            signal.signal(which, lambda *_: os.kill(child, signal.SIGTERM))
        sys.exit(os.waitstatus_to_exitcode(os.waitpid(child, 0)[1]))
    os.setsid()

    def ended(*_):
        signal.signal(signal.SIGTERM, signal.SIG_IGN)  # a second one would cut off the putting away
        sys.exit(1)

    signal.signal(signal.SIGTERM, ended)
    try:
        with open("/proc/self/autogroup", "w") as file:
            file.write(str(options.nice))
    except OSError:
        pass  # there is none, or it is not for this user


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("--build", default="build", help="a build folder with -DFLAXDOOR_BENCH=ON (build)")
    common.add_argument("--cores", type=numbers, default=[1, 2, 3, 4, 5],
                        help="what is measured, its load, the rest: stand-ins (1,2,3,4,5)")
    common.add_argument("--nice", type=int, default=-5, help="precedence, as root (-5)")
    common.add_argument("--folder", help="where files are made (the system's place for such)")
    common.add_argument("--csv", help="each round's figures go to this file")
    subjects = parser.add_subparsers(dest="subject", required=True, metavar="SUBJECT")

    def subject(name, what, work, rounds, seconds):
        one = subjects.add_parser(name, parents=[common], help=what)
        one.set_defaults(work=work)
        one.add_argument("--rounds", type=int, default=rounds, help=f"({rounds or 'by the part'})")
        one.add_argument("--seconds", type=float, default=seconds, help=f"of a round ({seconds})")
        return one

    def with_earlier(one):
        one.add_argument("--earlier", metavar="COMMIT", help="ours as this commit had it, built from the history")
        return one

    for name, what, clients in (("daemon", "the platform's HTTP", [16, 64]), ("gateway", "routes", [1, 16, 64, 256]),
                                ("postgres", "PostgreSQL's protocol", [1, 16, 256])):
        one = with_earlier(subject(name, f"{what}: beside a relay of bytes and its like", proxies.run, 7, 1.0))
        one.add_argument("--clients", type=numbers, default=clients, help=f"({','.join(map(str, clients))})")
        one.add_argument("--idle", type=int, default=900, help="idle clients held for their memory; 0: none (900)")
        one.add_argument("--calls", action="store_true", help="count system calls with perf, as root")
    for name, what, module, rounds in (("store", "beside a log and a map", store, 0),
                                       ("library", "beside a bare client and hops", library, 11)):
        one = subject(name, what, module.run, rounds, 0.5)
        one.add_argument("parts", nargs="+", choices=list(module.PARTS))
        if module is store:
            with_earlier(one)
    subject("restart", "half of twelve balancers start anew, with and without a store", restart.run, 5, 0)
    options = parser.parse_args()
    if len(options.cores) < 3:
        parser.error("--cores: at least three")
    in_own_session(options)
    options.work(options)


if __name__ == "__main__":
    main()
