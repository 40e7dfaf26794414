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
    If there is no room, the endpoint whose incomplete replies take the
    most loses the largest of them.  Complete ones are kept, as closing
    their connections frees nothing.  No request waits for room.
    """

    def __init__(self, max_bytes=MAX_BYTES):
        self._max_bytes = max_bytes
        self._sizes = {}
        self._complete = set()
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
        self._complete.discard(conn)
        before = self._sizes.pop(conn, 0)
        if size:
            self._sizes[conn] = size
        self._total_bytes += size - before
        while self._total_bytes > self._max_bytes:
            incomplete = self._sizes.keys() - self._complete
            if not incomplete:
                break
            self._abort_largest(incomplete)

    def complete(self, conn):
        """Note that a reply has been read to its end."""
        if conn in self._sizes:
            self._complete.add(conn)

    def _abort_largest(self, conns):
        sizes_by_address = collections.Counter()
        for conn in conns:
            sizes_by_address[conn.address] += self._sizes[conn]
        ((address, _),) = sizes_by_address.most_common(1)
        largest = max(
            (conn for conn in conns if conn.address == address),
            key=self._sizes.get,
        )
        self._total_bytes -= self._sizes.pop(largest)
        largest.abort(
            f"replies of this process take over {self._max_bytes} bytes, "
            f"and those of this endpoint the most"
        )
