"""A stand-in of an upstream that speaks HTTP/1.1: one request at a time on a connection, each answered 200 with a body made
for it after a given time."""
import re
import socket
import threading
import time


class Upstream:
    def __init__(self, note, name="upstream", takes=0.0):
        self.note, self.name, self.takes = note, name, takes
        self.ran = []
        self.listener = socket.create_server(("127.0.0.1", 0))
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
                length = re.search(rb"^content-length: *(\d+)", head, re.I | re.M)
                wanted = int(length.group(1)) if length else 0
                while len(data) < wanted:
                    got = connection.recv(65536)
                    if not got:
                        return
                    data += got
                data = data[wanted:]
                line = head.split(b"\r\n")[0].decode()
                self.note(self.name, f"has the whole of {line}, and runs it")
                self.ran.append(line)
                time.sleep(self.takes)
                body = f"done: {line}\n".encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                self.note(self.name, f"has answered {line}")
        except OSError as why:
            self.note(self.name, f"its connection broke: {why}")
        finally:
            connection.close()
