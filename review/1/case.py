"""An upstream in another data centre that sends one answer twice, the second copy 2 ms behind: what the clients are served."""
import json
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import rig
from node import FarLine, Node

ONE_WAY = 0.003  # between the data centres
SECOND_AFTER = 0.002  # the second copy, behind the first
TWICE = 200  # the number of the one answer that is sent twice, of all 600
CLIENTS, REQUESTS = 2, 300


def run(case):
    node = Node(case.note, TWICE if case.trouble else None, SECOND_AFTER)
    line = FarLine(node.address, ONE_WAY)
    discovery = rig.Discovery([{"host": "s-1", "dial": line.address, "site": "seattle", "class": "full-node", "block": 0,
                                "health": "active", "share": 1.0, "born_ms": 0}])
    config = rig.platform_config(case, "n1", discovery.address)
    with open(config) as file:
        known = json.load(file)
    known["settings"]["zones"] = ["portland", "seattle", "spokane"]
    case.write("n1.json", json.dumps(known))
    case.start("balancer", "build/flaxdoor_balancer", NODE_CONFIG=config)
    port = int(case.wait_for_log("balancer", r"^listening on 127.0.0.1:(\d+)").group(1))
    time.sleep(1)
    foreign, statuses = [], {}
    lock = threading.Lock()

    def client(number):
        connection = socket.create_connection(("127.0.0.1", port), timeout=5)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for count in range(REQUESTS):
            name = f"c{number}-{count}"
            connection.sendall(f"GET /api?donor={number} HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {name}\r\n"
                               f"X-Call-Class: donor-view\r\nX-Budget-Ms: 750\r\n\r\n".encode())
            data = b""
            while b"\r\n\r\n" not in data:
                got = connection.recv(65536)
                if not got:
                    return
                data += got
            head, _, body = data.partition(b"\r\n\r\n")
            length = int([each for each in head.split(b"\r\n") if each.lower().startswith(b"content-length")][0].split(b":")[1])
            while len(body) < length:
                body += connection.recv(65536)
            status = int(head.split()[1])
            with lock:
                statuses[status] = statuses.get(status, 0) + 1
            if status == 200 and body != b"view of call " + name.encode():
                with lock:
                    foreign.append((name, body.decode()))
                case.note("client", f"asked by {name} and was served 200 \"{body.decode()}\"")

    clients = [threading.Thread(target=client, args=(number,), daemon=True) for number in range(CLIENTS)]
    for each in clients:
        each.start()
    for each in clients:
        each.join(25)
    case.note("clients", f"answers by status: {statuses}; foreign: {len(foreign)}; second copies sent: {node.copies}")
    if foreign:
        return f"{len(foreign)} request(s) served with the answer to another: {foreign[:2]}"
    if case.trouble and not node.copies:
        raise rig.CannotRun("no second copy was sent")
    return None


rig.play(FOLDER, run, 40)
