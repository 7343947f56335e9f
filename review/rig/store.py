"""A stand-in of the platform's store: topics, some of them keyed.

It follows the page on the store as far as the nodes use it: conditional
appends, reads that wait, the newest record of each key, and records that
expire after ``keep_s``. The newest record of each key never expires.
"""

import base64
import http.server
import json
import struct
import threading
import time
import urllib.parse

LENGTH = struct.Struct(">I")
READ_HEAD = struct.Struct(">QQ")
POLL_S = 0.01


class Topic:
    """The only partition of a topic."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}

    @property
    def end(self):
        """Return the offset of the next record."""
        return self.first + len(self.records)


class Store:
    """Keeps topics; safe to use from any thread."""

    def __init__(self, keep_s):
        self.keep_s = keep_s
        self.lock = threading.Lock()
        self.topics = {}
        self.is_down = False

    def append(self, name, values, at=None):
        """Return the first offset and the end; no offset if ``at`` differs."""
        with self.lock:
            topic = self._topic(name)
            if at is not None and at != topic.end:
                return None, topic.end
            offset = topic.end
            for value in values:
                self._add(name, topic, value)
            return offset, topic.end

    def put(self, key, value):
        """Write a record as the operator does."""
        data = key.encode()
        body = json.dumps(value).encode()
        self.append("keyed.op", [bytes([len(data)]) + data + body])

    def read(self, name, start, wait_s):
        """Return end, first kept offset and records; None if expired."""
        until_s = time.monotonic() + wait_s
        while True:
            with self.lock:
                topic = self._topic(name)
                if start < topic.first:
                    return topic.end, topic.first, None
                found = topic.records[start - topic.first :]
                is_over = time.monotonic() >= until_s
                if found or is_over or self.is_down:
                    values = [value for _, value in found]
                    return topic.end, topic.first, values
            time.sleep(POLL_S)

    def read_newest(self, name):
        """Return the newest records by key, and the end."""
        with self.lock:
            topic = self._topic(name)
            return dict(topic.newest), topic.end

    def _topic(self, name):
        topic = self.topics.setdefault(name, Topic())
        oldest_s = time.monotonic() - self.keep_s
        while topic.records and topic.records[0][0] < oldest_s:
            topic.records.pop(0)
            topic.first += 1
        return topic

    def _add(self, name, topic, value):
        if name.startswith("keyed."):
            size = value[0]
            key = value[1 : 1 + size].decode()
            if len(value) > 1 + size:
                topic.newest[key] = (topic.end, value[1 + size :])
            else:
                topic.newest.pop(key, None)
        topic.records.append((time.monotonic(), value))


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves the calls of the nodes."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self):
        """Append records."""
        size = int(self.headers.get("Content-Length", 0))
        data = self.rfile.read(size)
        if self.server.store.is_down:
            self._answer(503, b"")
            return
        query = self._query()
        values = []
        start = 0
        while start < len(data):
            (length,) = LENGTH.unpack_from(data, start)
            start += LENGTH.size
            values.append(data[start : start + length])
            start += length
        at = int(query["at"]) if "at" in query else None
        offset, end = self.server.store.append(query["topic"], values, at)
        if offset is None:
            self._answer(412, json.dumps({"endOffset": end}).encode())
            return
        body = {"offset": offset, "endOffset": end}
        self._answer(200, json.dumps(body).encode())

    def do_GET(self):
        """Read records, or the newest record of each key."""
        query = self._query()
        store = self.server.store
        if store.is_down:
            self._answer(503, b"")
            return
        if self.path.startswith("/log-newest"):
            newest, end = store.read_newest(query["topic"])
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in newest.items()
            ]
            body = {"items": items, "more": False, "endOffset": end}
            self._answer(200, json.dumps(body).encode())
            return
        wait_s = int(query.get("waitMs", 0)) / 1000
        end, first, values = store.read(
            query["topic"], int(query["from"]), wait_s
        )
        if store.is_down:
            self._answer(503, b"")
            return
        if values is None:
            self._answer(410, json.dumps({"firstOffset": first}).encode())
            return
        parts = [READ_HEAD.pack(end, first)]
        parts += [LENGTH.pack(len(value)) + value for value in values]
        self._answer(200, b"".join(parts))

    def log_message(self, *_):
        """Write no access log."""

    def _query(self):
        text = urllib.parse.urlsplit(self.path).query
        return dict(urllib.parse.parse_qsl(text))

    def _answer(self, status, body):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Server(http.server.ThreadingHTTPServer):
    """Serves a store on a free port of a loopback address."""

    daemon_threads = True

    def __init__(self, ip, keep_s):
        super().__init__((ip, 0), Handler)
        self.store = Store(keep_s)
        self.address = f"{ip}:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, *_):
        """Ignore connections that a killed node has left."""
