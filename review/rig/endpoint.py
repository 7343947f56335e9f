"""A stand-in of an application endpoint beside a node.

It announces itself by heartbeats, runs a request for ``work_s``, answers
with its signature and echoes the id. It answers 421 to a request for
another instance, 503 with X-Not-Executed when all slots are in use, and
504 at the deadline that it was given.
"""

import json
import socket
import threading
import time
import urllib.request

HEARTBEAT_S = 1.5
IDLE_S = 10


class Endpoint:
    """One start of an endpoint.

    Attributes:
        work_s: How long a request runs.
        body: The answer's body.
    """

    def __init__(self, record, ip, control, service, instance, zone):
        self.record = record
        self.service = service
        self.instance = instance
        self.zone = zone
        self.slots = 12
        self.work_s = 0.05
        self.body = b"done\n"
        self.version = "v1"
        self._control = control
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._running = 0
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self._left = threading.Event()
        self._socket = socket.create_server((ip, 0), backlog=256)
        self.address = f"{ip}:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def stop(self):
        """End without a word, as a machine without power does."""
        self._ended.set()
        self._left.set()
        self._socket.close()

    def leave(self):
        """Say that it is gone, and go on to serve; no heartbeat follows.

        Returns whether the node has acknowledged that within a second.
        """
        self._left.set()
        return self._send("DELETE", None)

    def _beat(self):
        while not self._ended.is_set() and not self._left.is_set():
            self._send_heartbeat()
            self._left.wait(HEARTBEAT_S)

    def _send_heartbeat(self):
        self._sequence += 1
        body = {
            "address": self.address,
            "born": self._born,
            "info": {
                "service": self.service,
                "version": self.version,
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": "ready",
                "sequence": self._sequence,
                "coldRemaining": "0ms",
            },
        }
        self._send("PUT", json.dumps(body).encode())

    def _send(self, method, body):
        request = urllib.request.Request(
            f"http://{self._control}/instances/{self.instance}",
            data=body,
            headers={"Content-Type": "application/json"},
            method=method,
        )
        try:
            with urllib.request.urlopen(request, timeout=1.0) as answer:
                answer.read()
                return True
        except OSError:
            return False

    def _accept(self):
        while not self._ended.is_set():
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        with sock, sock.makefile("rb") as stream:
            sock.settimeout(IDLE_S)
            try:
                while not self._ended.is_set():
                    request = read_request(stream)
                    if request is None:
                        return
                    sock.sendall(self._answer(request))
            except OSError:
                return

    def _answer(self, request):
        method, path, headers, body = request
        request_id = headers.get("x-request-id", "")
        if headers.get("x-target-instance", self.instance) != self.instance:
            return self._encode(421, request_id, b"")
        with self._lock:
            is_full = self._running >= self.slots
            self._running += not is_full
        if is_full:
            extra = (("X-Not-Executed", "1"),)
            return self._encode(503, request_id, b"", extra)
        self.record.write("run", request_id, at=self.instance, path=path)
        left_s = int(headers.get("x-deadline-ms", 1000)) / 1000
        time.sleep(min(self.work_s, left_s))
        with self._lock:
            self._running -= 1
        status = 200 if self.work_s <= left_s else 504
        self.record.write("ran", request_id, at=self.instance, status=status)
        signature = (
            ("X-Response-Signature", f"{self.instance}.{request_id}"),
        )
        body = self.body if status == 200 else b""
        return self._encode(status, request_id, body, signature)

    def _encode(self, status, request_id, body, extra=()):
        lines = [
            f"HTTP/1.1 {status} -",
            f"X-Request-Id: {request_id}",
            f"X-Instance-Id: {self.instance}",
            f"X-Server-Load: {self._running},0,{self.slots}",
            f"Keep-Alive: timeout={IDLE_S}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in extra),
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_request(stream):
    """Return method, path, headers and body; None at the end."""
    line = stream.readline().decode("latin-1").split()
    if len(line) < 2:
        return None
    headers = read_headers(stream)
    body = stream.read(int(headers.get("content-length", 0)))
    return line[0], line[1], headers, body


def read_headers(stream):
    """Return the headers of a message by their names in lower case."""
    headers = {}
    while True:
        line = stream.readline().decode("latin-1").strip()
        if not line:
            return headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
