"""Compares gRPC with HTTP for the hop between two nodes.

Usage: python benchmarks/hop.py. Each server is a separate process that
echoes the body; the client runs 1, 16 and 64 callers in turn.
"""

from concurrent import futures
import pathlib
import subprocess
import sys
import threading
import time

import grpc
from hdrh import histogram

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tests"))

import mesh  # noqa: E402

from arbutusstall._shell import http  # noqa: E402
from arbutusstall._shell import web  # noqa: E402

_BODY = b"x" * 300
_DURATION_S = 3.0
_METHOD = "/bench.Echo/Call"


def serve_http(address):
    """Echo over HTTP until killed."""

    def app(environ, start_response):
        start_response("200 OK", [])
        return [environ["wsgi.input"].read()]

    web.WebServer(address, app).start()
    threading.Event().wait()


def serve_grpc(address):
    """Echo over gRPC until killed."""
    server = grpc.server(futures.ThreadPoolExecutor(max_workers=64))
    handler = grpc.unary_unary_rpc_method_handler(lambda body, _: body)
    server.add_generic_rpc_handlers(
        (
            grpc.method_handlers_generic_handler(
                "bench.Echo", {"Call": handler}
            ),
        )
    )
    server.add_insecure_port(address)
    server.start()
    server.wait_for_termination()


def http_call(address):
    """Return a function that makes one call over HTTP."""
    pool = http.Pool(limit=128, max_idle=128)
    request = http.Request(method="POST", url=f"http://{address}/", body=_BODY)

    def call():
        with pool.connection(address) as connection:
            connection.send(request)

    return call


def grpc_call(address):
    """Return a function that makes one call over gRPC."""
    channel = grpc.insecure_channel(address)
    send = channel.unary_unary(_METHOD)
    return lambda: send(_BODY, timeout=5)


def measure(call, callers):
    """Return a latency histogram in microseconds, and calls per second."""
    latency = histogram.HdrHistogram(1, 60_000_000, 3)
    lock = threading.Lock()
    end_s = time.monotonic() + _DURATION_S

    def loop():
        durations_s = []
        while time.monotonic() < end_s:
            started_s = time.perf_counter()
            call()
            durations_s.append(time.perf_counter() - started_s)
        with lock:
            for duration_s in durations_s:
                latency.record_value(int(duration_s * 1e6))

    threads = [threading.Thread(target=loop) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return latency, latency.get_total_count() / _DURATION_S


def main():
    """Serve if run with a protocol and an address, otherwise measure.

    Prints one line for each protocol and number of callers.
    """
    if len(sys.argv) == 3:
        {"http": serve_http, "grpc": serve_grpc}[sys.argv[1]](sys.argv[2])
        return
    for kind, factory in (("grpc", grpc_call), ("http", http_call)):
        address = mesh.free_addresses(1)[0]
        server = subprocess.Popen([sys.executable, __file__, kind, address])
        time.sleep(1.5)
        call = factory(address)
        for callers in (1, 16, 64):
            latency, rate = measure(call, callers)
            print(
                f"{kind} callers={callers} calls_s={rate:.0f} "
                + " ".join(
                    f"p{share}_ms="
                    f"{latency.get_value_at_percentile(share) / 1000:.3f}"
                    for share in (50, 99, 99.9)
                ),
                flush=True,
            )
        server.kill()
        server.wait()


if __name__ == "__main__":
    main()
