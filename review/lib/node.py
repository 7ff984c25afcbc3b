"""Stand-ins of a booking node in another data centre: the node, and the line to it, on which every byte takes its time."""
import select
import socket
import threading
import time


class FarLine:
    """The way to another data centre: every byte arrives `one_way` seconds after it was sent, in order."""

    def __init__(self, target, one_way):
        self.target, self.one_way = target, one_way
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            host, port = self.target.rsplit(":", 1)
            far = socket.create_connection((host, int(port)))
            for each in (near, far):
                each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for source, sink in ((near, far), (far, near)):
                way = []
                ready = threading.Condition()
                threading.Thread(target=self.take, args=(source, way, ready), daemon=True).start()
                threading.Thread(target=self.give, args=(sink, way, ready), daemon=True).start()

    def take(self, source, way, ready):
        data = b"x"
        while data:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            with ready:
                way.append((time.monotonic() + self.one_way, data))
                ready.notify()

    def give(self, sink, way, ready):
        while True:
            with ready:
                while not way:
                    ready.wait()
                at, data = way.pop(0)
            time.sleep(max(0.0, at - time.monotonic()))
            try:
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                return


class Node:
    """A booking node that answers each request in 4 ms, one at a time on a connection, with a body made for its call id. One
    answer is sent a second time, `second_after` seconds behind the first: the first from number `twice` on behind which nothing
    else waits on the connection by then. `twice` None: none is."""

    def __init__(self, note, twice, second_after):
        self.note, self.twice, self.second_after = note, twice, second_after
        self.lock = threading.Lock()
        self.count = self.copies = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    got = connection.recv(65536)
                    if not got:
                        return
                    data += got
                head, _, data = data.partition(b"\r\n\r\n")
                name = [line.split(b":", 1)[1].strip() for line in head.split(b"\r\n") if line.lower().startswith(b"x-call-id:")][0]
                body = b"view of call " + name
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                time.sleep(0.004)
                with self.lock:
                    self.count += 1
                    number = self.count
                connection.sendall(answer)
                if self.twice is not None and number >= self.twice and self.copies == 0:
                    time.sleep(self.second_after)
                    with self.lock:
                        if self.copies > 0:
                            continue
                        if data or select.select([connection], [], [], 0)[0]:
                            self.note("node", f"answer {number}: something waits by now, no second copy")
                            continue
                        self.copies += 1
                    connection.sendall(answer)
                    self.note("node", f"sends the answer to {name.decode()} a second time; nothing else waits on the connection")
        except OSError:
            pass
        finally:
            connection.close()
