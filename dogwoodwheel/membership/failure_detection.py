"""Detects entries whose heartbeat is overdue and VMs that are gone."""

__all__ = ["HeartbeatMonitor", "Presence"]


class HeartbeatMonitor:
    """Detects overdue heartbeats from successful scans of ``entries``.

    Parameters
    ----------
    overdue_s : float
        Time without a new heartbeat after which an entry is overdue,
        seconds.
    min_scans : int
        Number of successful scans without a new heartbeat after which an
        entry is overdue.

    Notes
    -----
    An entry is overdue when both limits are reached.  During an outage of
    the platform no scan succeeds; without ``min_scans`` every entry
    would be overdue when the outage ends.
    """

    def __init__(self, overdue_s, min_scans):
        self.overdue_s = overdue_s
        self.min_scans = min_scans
        self._heartbeats = {}

    def record(self, name, heartbeat, now):
        """Record an entry's heartbeat counter, read by a successful scan."""
        previous = self._heartbeats.get(name)
        if previous is None or previous[0] != heartbeat:
            self._heartbeats[name] = (heartbeat, now, 0)
        else:
            self._heartbeats[name] = (heartbeat, previous[1], previous[2] + 1)

    def retain(self, names):
        """Forget all entries whose name is not in ``names``."""
        self._heartbeats = {
            k: v for k, v in self._heartbeats.items() if k in names
        }

    def overdue(self, name, now):
        """Return whether an entry's heartbeat is overdue."""
        previous = self._heartbeats.get(name)
        if previous is None:
            return False
        _, changed_at, scans = previous
        return scans >= self.min_scans and now - changed_at > self.overdue_s


class Presence:
    """Tracks absent and leaving VMs by the platform's list of VMs.

    Notes
    -----
    The list lags, and a read may show an older state than the last.  A
    VM is therefore gone only when every read over a period longer than
    the list's lag has lacked it; a read that shows the VM restarts the
    period.  A VM that was once shown as leaving counts as leaving until
    the list has shown it live for longer than the lag.
    """

    def __init__(self):
        self._absent_since = {}
        self._live_since = {}

    def record_list(self, vms, me, names, now):
        """Record one successful read of the platform's list of VMs.

        Parameters
        ----------
        vms : tuple of dogwoodwheel.stores.vms.Vm
        me : str
            Name of the reader's own VM.  A list without this VM is too
            old to prove that another VM is gone.
        names : iterable of str
            Names of the VMs whose absence is tracked.
        now : float
            Time of the read, seconds on a monotonic clock.
        """
        states = {vm.name: vm.state for vm in vms}
        for name in names:
            if name in states or me not in states:
                self._absent_since.pop(name, None)
            else:
                self._absent_since.setdefault(name, now)
        for name, state in states.items():
            if state == "leaving":
                self._live_since[name] = None
            elif name in self._live_since and self._live_since[name] is None:
                self._live_since[name] = now

    def gone(self, name, now, lag_s):
        """Return whether a VM was absent for longer than the list's lag."""
        absent_since = self._absent_since.get(name)
        return absent_since is not None and now - absent_since > lag_s

    def leaving(self, now, lag_s):
        """Return a frozenset of the names of the leaving VMs."""
        return frozenset(
            name
            for name, live_since in self._live_since.items()
            if live_since is None or now - live_since <= lag_s
        )
