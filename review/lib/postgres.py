"""Stand-ins of a PostgreSQL server and of its clients, as far as the cases need them: protocol 3.0, trust, simple queries,
prepared statements, transactions over one table of numbers, cancels. Written from the manual's chapter "Frontend/Backend Protocol"."""
import re
import socket
import struct
import threading
import time


def message(kind, body=b""):
    return kind + struct.pack("!i", len(body) + 4) + body


def error(code, text, severity=b"ERROR"):
    return message(b"E", b"S" + severity + b"\0V" + severity + b"\0C" + code + b"\0M" + text + b"\0\0")


class Connection:
    def __init__(self, sock):
        self.sock = sock
        self.data = b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def take(self, count):
        while len(self.data) < count:
            got = self.sock.recv(65536)
            if not got:
                raise EOFError
            self.data += got
        out, self.data = self.data[:count], self.data[count:]
        return out

    def read(self):
        kind = self.take(1)
        return kind, self.take(struct.unpack("!i", self.take(4))[0] - 4)

    def send(self, data):
        self.sock.sendall(data)


class Server:
    """A server whose COMMIT takes `commit_takes` seconds, as on a slow disk: once it has begun it can't be cancelled, and
    goes on when the client's connection breaks. Other statements take no time. What is open when a connection ends is rolled
    back. `rows` is what was committed."""

    def __init__(self, note, name="server", commit_takes=0.0, rows=None):
        self.note, self.name, self.commit_takes = note, name, commit_takes
        self.lock = threading.Lock()
        self.rows = [] if rows is None else rows  # committed, in their order; two servers may show one database
        self.open = set()  # sessions in a transaction
        self.schemas = {"public": []}  # of the table donors: the names in it; search_path names the one that a session sees
        self.parse_takes = 0.0
        self.sessions = {}
        self.last = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(Connection(sock),), daemon=True).start()

    def serve(self, connection):
        session = None
        try:
            while True:
                body = connection.take(struct.unpack("!i", connection.take(4))[0] - 4)
                code = struct.unpack("!i", body[:4])[0]
                if code in (80877103, 80877104):  # TLS, GSSAPI: declined
                    connection.send(b"N")
                    continue
                break
            if code == 80877102:
                self.cancel(struct.unpack("!ii", body[4:12]))
                return
            with self.lock:
                self.last += 1
                session = Session(self, connection, self.last)
                self.sessions[self.last] = session
            session.run()
        except (EOFError, OSError):
            pass
        finally:
            if session:
                session.leave()
            connection.sock.close()

    def cancel(self, key):
        session = self.sessions.get(key[0])
        self.note(self.name, f"cancel request for session {key[0]}")
        if session and key[1] == session.secret:
            session.cancelled.set()

    def begin(self, session):
        with self.lock:
            self.open.add(session)
            count = len(self.open)
        self.note(self.name, f"session {session.number}: transaction begun; {count} open")

    def reset_connections(self):
        """Every connection is reset, also where something is under way."""
        for session in list(self.sessions.values()):
            try:
                session.reset.set()
                session.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                session.connection.sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def end(self, session):
        with self.lock:
            self.open.discard(session)


class Session:
    def __init__(self, server, connection, number):
        self.server, self.connection, self.number = server, connection, number
        self.secret = number * 7919
        self.status = b"I"
        self.rows = []
        self.cancelled = threading.Event()
        self.prepared, self.portals, self.skipping = {}, {}, False
        self.search_path = "public"
        self.reset = threading.Event()

    def run(self):
        send = self.connection.send
        parameters = {"server_version": "15.0", "server_encoding": "UTF8", "client_encoding": "UTF8", "DateStyle": "ISO, MDY",
                      "TimeZone": "UTC", "IntervalStyle": "postgres", "integer_datetimes": "on", "application_name": "",
                      "standard_conforming_strings": "on", "is_superuser": "off", "in_hot_standby": "off"}
        out = message(b"R", struct.pack("!i", 0))
        for name, value in parameters.items():
            out += message(b"S", name.encode() + b"\0" + value.encode() + b"\0")
        out += message(b"K", struct.pack("!ii", self.number, self.secret)) + message(b"Z", b"I")
        send(out)
        while True:
            kind, body = self.connection.read()
            if kind == b"X":
                return
            if kind == b"Q":
                send(self.query(body[:-1].decode()) + message(b"Z", self.status))
            elif kind == b"S":
                self.skipping = False
                if self.status == b"I" and self.rows:
                    self.commit()
                send(message(b"Z", self.status))
            elif not self.skipping:
                send(self.extended(kind, body))

    def extended(self, kind, body):
        """One message of the extended protocol, Sync aside."""
        names = body.split(b"\0")
        if kind == b"P":
            self.server.note(self.server.name, f"session {self.number}: Parse {names[0].decode()}: {names[1].decode()}")
            if self.reset.wait(self.server.parse_takes):
                raise EOFError
            self.prepared[names[0]] = names[1].decode()
            return message(b"1")
        if kind == b"B":
            if names[1] not in self.prepared:
                return self.fail(b"26000", b"prepared statement does not exist")
            text = self.prepared[names[1]]
            if self.status == b"E" and text.upper() not in ("ROLLBACK", "COMMIT"):
                return self.fail(b"25P02", b"current transaction is aborted")
            self.portals[names[0]] = text
            return message(b"2")
        if kind == b"E":
            inserted = re.fullmatch(r"INSERT INTO t VALUES \((\d+)\)", self.portals[names[0]], re.I)
            if not inserted:
                return self.query(self.portals[names[0]])
            self.server.note(self.server.name, f"session {self.number}: runs {self.portals[names[0]]}")
            self.rows.append(int(inserted.group(1)))
            return message(b"C", b"INSERT 0 1\0")
        if kind == b"C":
            (self.prepared if body[:1] == b"S" else self.portals).pop(body[1:-1], None)
            return message(b"3")
        if kind == b"H":
            return b""
        return self.fail(b"0A000", b"not understood here")

    def fail(self, code, text):
        self.skipping = True
        self.rows = [] if self.status == b"I" else self.rows
        self.status = b"I" if self.status == b"I" else b"E"
        self.server.note(self.server.name, f"session {self.number}: ERROR {code.decode()}: {text.decode()}")
        return error(code, text)

    def query(self, text):
        self.cancelled.clear()
        word = text.strip().rstrip(";").strip()
        upper = word.upper()
        note = self.server.note
        if not word:
            return message(b"I")
        if self.status == b"E" and upper not in ("ROLLBACK", "COMMIT"):
            return error(b"25P02", b"current transaction is aborted")
        if upper == "BEGIN":
            self.status = b"T"
            self.server.begin(self)
            return message(b"C", b"BEGIN\0")
        if upper == "ROLLBACK" or (upper == "COMMIT" and self.status == b"E"):
            self.roll_back("ROLLBACK")
            return message(b"C", b"ROLLBACK\0")
        if upper == "COMMIT":
            self.commit()
            return message(b"C", b"COMMIT\0")
        inserted = re.fullmatch(r"INSERT INTO t VALUES \((\d+)\)", word, re.I)
        if inserted:
            note(self.server.name, f"session {self.number}: runs {word}")
            self.rows.append(int(inserted.group(1)))
            if self.status == b"I":
                self.commit()
            return message(b"C", b"INSERT 0 1\0")
        chosen = re.fullmatch(r"SET search_path TO (\w+)", word, re.I)
        if chosen:
            self.search_path = chosen.group(1)
            note(self.server.name, f"session {self.number}: {word}")
            return message(b"C", b"SET\0")
        if upper == "SELECT NAME FROM DONORS":
            names = self.server.schemas.get(self.search_path, [])
            note(self.server.name, f"session {self.number}: reads {self.search_path}.donors: {names}")
            out = b"".join(message(b"D", struct.pack("!hi", 1, len(n)) + n.encode()) for n in names)
            return out + message(b"C", b"SELECT %d\0" % len(names))
        if upper == "DISCARD ALL":
            self.search_path = "public"
            self.prepared.clear()
            return message(b"C", b"DISCARD ALL\0")
        if upper.startswith("SELECT"):
            column = message(b"T", struct.pack("!h", 1) + b"x\0" + struct.pack("!ihihih", 0, 0, 25, -1, -1, 0))
            return column + message(b"D", struct.pack("!hi", 1, 1) + b"1") + message(b"C", b"SELECT 1\0")
        if self.status == b"T":
            self.status = b"E"
        return error(b"42601", b"syntax error")

    def commit(self):
        rows, self.rows = self.rows, []
        if rows:
            self.server.note(self.server.name, f"session {self.number}: commit of {rows} begins")
            time.sleep(self.server.commit_takes)
        with self.server.lock:
            self.server.rows += rows
        self.server.note(self.server.name, f"session {self.number}: committed {rows}")
        self.status = b"I"
        self.server.end(self)

    def roll_back(self, why):
        if self.status != b"I" or self.rows:
            self.server.note(self.server.name, f"session {self.number}: rolled back {self.rows} ({why})")
        self.rows = []
        self.status = b"I"
        self.server.end(self)

    def leave(self):
        self.roll_back("its connection has ended")


class ConnectionRefused(Exception):
    def __init__(self, code, text):
        super().__init__(f"login refused: {code}: {text}")
        self.code = code


class Client:
    """A client of one session."""

    def __init__(self, address, note, name="client", user="coordinator", database="records", timeout=60):
        host, port = address.rsplit(":", 1)
        self.note, self.name = note, name
        self.connection = Connection(socket.create_connection((host, int(port)), timeout=timeout))
        body = struct.pack("!i", 196608) + b"user\0" + user.encode() + b"\0database\0" + database.encode() + b"\0\0"
        self.connection.send(struct.pack("!i", len(body) + 4) + body)
        while True:
            kind, body = self.connection.read()
            if kind == b"E":
                fields = {f[:1]: f[1:].decode() for f in body.split(b"\0") if f}
                self.note(self.name, f"is not let in: {fields[b'C']}: {fields[b'M']}")
                self.connection.sock.close()
                raise ConnectionRefused(fields[b"C"], fields[b"M"])
            if kind == b"Z":
                return

    def ask(self, sql):
        """The answer of one simple query."""
        return self.exchange(sql, message(b"Q", sql.encode() + b"\0"))

    def prepare(self, name, sql):
        return self.exchange(f"Parse {name}: {sql}, Sync", message(b"P", name.encode() + b"\0" + sql.encode() + b"\0\0\0") +
                             message(b"S"))

    def execute(self, name):
        bind = b"\0" + name.encode() + b"\0" + struct.pack("!hhh", 0, 0, 0)
        return self.exchange(f"Bind {name}, Execute, Sync", message(b"B", bind) + message(b"E", b"\0" + struct.pack("!i", 0)) +
                             message(b"S"))

    def exchange(self, what, data):
        """Up to ReadyForQuery: a tag, or a code with its text. Code "gone": the connection ended without one."""
        self.note(self.name, "sends " + what)
        answer = {"kinds": "", "rows": [], "tag": None, "code": None, "text": "", "detail": "", "severity": "", "status": None}
        try:
            self.connection.send(data)
            while True:
                kind, body = self.connection.read()
                answer["kinds"] += kind.decode()
                if kind == b"C":
                    answer["tag"] = body[:-1].decode()
                elif kind == b"D":
                    answer["rows"].append(body[6:].decode())
                elif kind == b"E":
                    fields = {f[:1]: f[1:].decode() for f in body.split(b"\0") if f}
                    answer["code"], answer["text"] = fields[b"C"], fields[b"M"]
                    answer["detail"], answer["severity"] = fields.get(b"D", ""), fields[b"S"]
                    if answer["severity"] == "FATAL":
                        break
                elif kind == b"Z":
                    answer["status"] = body.decode()
                    break
        except (EOFError, OSError):
            if answer["code"] is None:
                answer["code"] = "gone"
        told = str(answer["tag"]) if answer["code"] is None else " ".join(
            each for each in (answer["severity"], answer["code"] + ":", answer["text"], answer["detail"]) if each)
        told += f" {answer['rows']}" if answer["rows"] else ""
        told += f" (messages {answer['kinds']}, status {answer['status']})"
        self.note(self.name, "is told " + told)
        return answer

    def close(self):
        self.connection.sock.close()
