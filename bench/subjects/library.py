"""The library beside a bare Beast client, the daemon as a hop and the RESTinio middleware as a hop, on the same stand-in
nodes, in rounds that alternate (in one program, flaxdoor_library_bench); then one, two and four instances; sizes and
compile times. Parts: ways allocations threads sizes compile."""
import json
import os
import resource
import shutil
import subprocess
import time

from stage import ROOT, Stage, end, head, row, spread, what_else
from subjects.proxies import configuration, nodes_and_roster

FLAGS = ["-std=c++20", "-O3", "-DNDEBUG", "-Wall", "-Wextra", f"-I{ROOT}/include", "-DRESTINIO_USE_BOOST_ASIO"]
CLASS = ('options.settings.classes = {{.name = "look", .aim = std::chrono::milliseconds(100), '
         '.deadline = std::chrono::milliseconds(500), .effect = flaxdoor::Effect::safe}};\n'
         'flaxdoor::CallRequest request{.class_name = "look", .budget = std::chrono::milliseconds(150)};\n')
# Hosts whose sizes and compile times are told: what each has beyond the one before is the price of a part.
HOSTS = {
    "loop": "#include <boost/asio/io_context.hpp>\nint main() { boost::asio::io_context loop(1); loop.run(); }\n",
    "balancer": "#include <flaxdoor/balancer.h>\n#include <boost/asio/io_context.hpp>\n#include <cstdio>\n"
                "int main() { boost::asio::io_context loop(1); flaxdoor::BalancerOptions options;\n" + CLASS +
                "flaxdoor::Balancer balancer(loop.get_executor(), options);\n"
                "balancer.async_call(request, [&](flaxdoor::CallResult result) { std::puts(result.body.c_str()); "
                "loop.stop(); });\nloop.run(); }\n",
    "blocking": "#include <flaxdoor/blocking_balancer.h>\n#include <cstdio>\n"
                "int main() { flaxdoor::BalancerOptions options;\n" + CLASS +
                "flaxdoor::BlockingBalancer balancer(options);\nstd::puts(balancer.call(request).body.c_str()); }\n",
    "restinio": "#include <restinio/http_server.hpp>\n#include <boost/asio/io_context.hpp>\n"
                "int main() { boost::asio::io_context loop(1);\n"
                "restinio::http_server_t<restinio::default_single_thread_traits_t> server(\n"
                "restinio::external_io_context(loop), [](auto& settings) { settings.port(0).request_handler([](const "
                "restinio::request_handle_t& request) { return request->create_response().set_body(\"a page\").done(); "
                "}); });\nserver.open_sync(); loop.run(); }\n",
    "web": open(os.path.join(ROOT, "bench/web_host.cpp")).read(),
}


class Ways:
    def __init__(self, options, stage):
        self.options, self.stage = options, stage
        # Any of these cores: with several instances some of them have two tasks.
        self.nodes, roster = nodes_and_roster(stage, options.cores[2:], 4)
        self.config = stage.path("config.json")
        with open(self.config, "w") as file:
            json.dump(configuration(0, roster, sockets=4096), file)
        self.program = stage.program("bench/flaxdoor_library_bench")

    def play(self, core, *words, env=None):
        subprocess.run(self.stage.words(core, self.program, "--config", self.config, "--nodes", ",".join(self.nodes),
                                        *words), check=True, env=env)

    def beside_hops(self, *words, env=None):
        env = {**os.environ, **(env or {}), "NODE_CONFIG": self.config}
        core, hop = self.options.cores[:2]
        daemon, at = self.stage.listening(hop, self.stage.program("flaxdoor_balancer"), env=env)
        web, web_at = self.stage.listening(hop, self.stage.program("bench/flaxdoor_bench_web_host"), self.config,
                                           at="stdout", env=env)
        time.sleep(0.3)  # for the roster's list
        self.play(core, "--daemon", at[0], "--daemon-pid", daemon.pid, "--web", web_at[0], "--web-pid", web.pid, *words,
                  env=env)
        end(daemon)
        end(web)

    def timing(self):
        return "--rounds", self.options.rounds, "--seconds", self.options.seconds


def ways(each):
    each.beside_hops(*each.timing())


def allocations(each):
    print("\nAllocations (counted in rounds of their own: the counting costs time)", flush=True)
    counts = each.stage.path("counts")
    os.mkdir(counts)
    preload = os.path.join(each.stage.build, "bench/libflaxdoor_count_allocations.so")
    each.beside_hops("--rounds", 3, "--seconds", 0.3, "--slots", 32,
                     env={"LD_PRELOAD": preload, "FLAXDOOR_COUNTS": counts})


def threads(each):
    cores = ",".join(map(str, each.options.cores[:4]))
    each.play(cores, "--cores", cores, *each.timing(), "--slots", 32)


def sources(stage):
    for name, text in HOSTS.items():
        path = stage.path(f"{name}.cpp")
        with open(path, "w") as file:
            file.write(text)
        yield name, path


def sizes(each):
    archive = os.path.join(each.stage.build, "src/library/libflaxdoor_balancer.a")
    stripped = each.stage.path("stripped.a")
    shutil.copy(archive, stripped)
    subprocess.run(["strip", "--strip-debug", stripped], check=True)
    totals = subprocess.run(["size", "-t", archive], check=True, capture_output=True, text=True).stdout
    head("size, bytes", "")
    row("archive", os.path.getsize(archive))
    row("archive, without debug information", os.path.getsize(stripped))
    row("its code and data", totals.splitlines()[-1].split()[3])
    for name, path in sources(each.stage):
        out = each.stage.path(name)
        subprocess.run(["g++", *FLAGS, path, "-o", out, archive, "-lfmt", "-lhttp_parser", "-pthread"], check=True)
        subprocess.run(["strip", out], check=True)
        row(f"stripped host: {name}", os.path.getsize(out))


def compile_times(each):
    head("compile time of one file, s of CPU", "")
    for compiler in ("g++", "clang++"):
        for name, path in sources(each.stage):
            its = []
            for _ in range(3):
                before = resource.getrusage(resource.RUSAGE_CHILDREN)
                subprocess.run([compiler, *FLAGS, "-c", path, "-o", os.devnull], check=True)
                after = resource.getrusage(resource.RUSAGE_CHILDREN)
                its.append(after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime)
            row(f"{compiler}, {name}", spread(its, "{:.2f}"))


PARTS = {"ways": ways, "allocations": allocations, "threads": threads, "sizes": sizes, "compile": compile_times}


def run(options):
    print(what_else(options.cores), flush=True)
    with Stage(options) as stage:
        each = Ways(options, stage)
        for part in options.parts:
            PARTS[part](each)
    print(what_else(options.cores))
