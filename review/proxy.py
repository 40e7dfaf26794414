"""Proxy before a worker, whose VM goes off as the worker's process ends.

Notes
-----
Passes bytes on in both directions.  Once the worker closes its connections
because its process has ended, the VM answers no new connection any more: they
hang, as those to a machine without power.  Connections that were open end as
the process closes them.
"""

import argparse
import socket
import threading
import time

BACKLOG = 128
CHUNK_BYTES = 65536
# More than enough connections to fill the queue of the listener.
FILLERS = 8
FILL_TIMEOUT_S = 0.05


class Proxy:
    """A listener before one worker.

    Parameters
    ----------
    address, target : tuple of (str, int)
    """

    def __init__(self, address, target):
        self.target = target
        self.address = address
        self.is_off = False
        self.is_silent = threading.Event()
        self.lock = threading.Lock()
        self.fillers = []
        self.listener = socket.create_server(address, backlog=BACKLOG)

    def serve(self):
        """Accept connections until the VM is off."""
        while not self.is_off:
            conn, _ = self.listener.accept()
            threading.Thread(
                target=self.relay, args=(conn,), daemon=True
            ).start()
        # The queue of the listener becomes as short as possible, and full.
        self.listener.listen(0)
        for _ in range(FILLERS):
            self.connect_to_self()
        self.is_silent.set()
        while True:
            time.sleep(1.0)

    def relay(self, conn):
        """Pass on the bytes of one connection."""
        try:
            upstream = socket.create_connection(self.target)
        except OSError:
            conn.close()
            return
        there = threading.Thread(
            target=copy, args=(conn, upstream), daemon=True
        )
        there.start()
        copy(upstream, conn, self.check_worker)
        there.join()
        conn.close()
        upstream.close()

    def check_worker(self):
        """Switch the VM off if the worker's process has ended."""
        try:
            socket.create_connection(self.target).close()
        except OSError:
            self.switch_off()

    def switch_off(self):
        """Let new connections hang."""
        with self.lock:
            if not self.is_off:
                self.is_off = True
                # `serve` waits for one more connection.
                self.connect_to_self()
        self.is_silent.wait()

    def connect_to_self(self):
        """Open a connection that nobody uses."""
        sock = socket.socket()
        sock.settimeout(FILL_TIMEOUT_S)
        self.fillers.append(sock)
        try:
            sock.connect(self.address)
        except OSError:
            pass


def copy(source, sink, before_end=lambda: None):
    """Pass on bytes until the source ends."""
    try:
        while data := source.recv(CHUNK_BYTES):
            sink.sendall(data)
        before_end()
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        # The other side has gone.
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def parse_address(text):
    """Return the host and the port of ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def main(args):
    """Serve until the process ends."""
    proxy = Proxy(parse_address(args.address), parse_address(args.target))
    proxy.serve()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--target", required=True)
    main(parser.parse_args())
