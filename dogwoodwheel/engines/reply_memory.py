"""Bounds the memory that the replies of endpoints take in a process.

Notes
-----
Workload: a faulty endpoint whose answers end just below the bound of one
answer, or never, while many callers ask for them at once.
"""

import collections

__all__ = ["MAX_BYTES", "ReplyMemory"]

# Replies of less than this size are not counted.  Most answers are smaller.
MIN_COUNTED_BYTES = 64 * 1024
# Bound on the counted replies of a process, unless a setting tells more.
MAX_BYTES = 64 * 1024 * 1024


class ReplyMemory:
    """Bounds the size of all replies that a process holds.

    Parameters
    ----------
    max_bytes : int
        Maximum size of all replies together.

    Notes
    -----
    If there is no room, the endpoint whose replies take the most loses
    the largest of them.  Other endpoints keep theirs, and no request
    waits for room.
    """

    def __init__(self, max_bytes=MAX_BYTES):
        self._max_bytes = max_bytes
        self._sizes = {}
        self._total_bytes = 0

    def resize(self, conn, size):
        """Set the size of the reply that a connection carries.

        Parameters
        ----------
        conn : dogwoodwheel.engines.connections.Connection
            ``conn.abort(cause)`` is called if its reply has to go.
        size : int
            Bytes; 0 once the reply is no longer held.
        """
        if size < MIN_COUNTED_BYTES:
            size = 0
        before = self._sizes.pop(conn, 0)
        if size:
            self._sizes[conn] = size
        self._total_bytes += size - before
        while self._total_bytes > self._max_bytes:
            self._abort_largest()

    def _abort_largest(self):
        sizes_by_address = collections.Counter()
        for conn, size in self._sizes.items():
            sizes_by_address[conn.address] += size
        ((address, _),) = sizes_by_address.most_common(1)
        conns = [conn for conn in self._sizes if conn.address == address]
        largest = max(conns, key=self._sizes.get)
        self._total_bytes -= self._sizes.pop(largest)
        largest.abort(
            f"replies of this process take over {self._max_bytes} bytes, "
            f"and those of this endpoint the most"
        )
