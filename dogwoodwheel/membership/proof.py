"""Proofs that an entry's process is gone."""

__all__ = ["Heartbeats", "Presence"]


class Heartbeats:
    """Which entries' heartbeats are overdue, by successful scans only.

    Parameters
    ----------
    overdue_s : float
        Time without a new heartbeat.
    scans : int
        Successful scans without a new heartbeat.

    Notes
    -----
    Both bounds must be passed.  Counting scans keeps an outage of the
    platform from making every entry look overdue at its end.
    """

    def __init__(self, overdue_s, scans):
        self.overdue_s = overdue_s
        self.scans = scans
        self._seen = {}

    def saw(self, name, heartbeat, now):
        """Take one entry's heartbeat of a successful scan."""
        last = self._seen.get(name)
        if last is None or last[0] != heartbeat:
            self._seen[name] = (heartbeat, now, 0)
        else:
            self._seen[name] = (heartbeat, last[1], last[2] + 1)

    def forget(self, names):
        """Drop every entry but those named."""
        self._seen = {k: v for k, v in self._seen.items() if k in names}

    def overdue(self, name, now):
        """Tell whether an entry's heartbeat is overdue."""
        last = self._seen.get(name)
        if last is None:
            return False
        _, since, scans = last
        return scans >= self.scans and now - since > self.overdue_s


class Presence:
    """What the platform's list of VMs tells, in spite of its lag.

    Notes
    -----
    A VM counts as gone only when every read over a time longer than the
    list's lag has lacked it; a read that shows it again starts anew.  A
    VM once seen as leaving stays so until the list has shown it live for
    as long, since the list may go back to an older state.
    """

    def __init__(self):
        self._absent = {}
        self._leaving = {}

    def saw(self, vms, me, names, now):
        """Take one successful read of the list.

        Parameters
        ----------
        vms : tuple of dogwoodwheel.stores.vms.Vm
        me : str
            The reader's own VM; a list without it is too old to prove
            that another VM is gone.
        names : iterable of str
            VMs that one wants to know of.
        now : float
            Seconds, monotonic.
        """
        states = {vm.name: vm.state for vm in vms}
        for name in names:
            if name in states or me not in states:
                self._absent.pop(name, None)
            else:
                self._absent.setdefault(name, now)
        for name, state in states.items():
            if state == "leaving":
                self._leaving[name] = None
            elif name in self._leaving and self._leaving[name] is None:
                self._leaving[name] = now

    def gone(self, name, now, lag_s):
        """Tell whether a VM is proved gone."""
        since = self._absent.get(name)
        return since is not None and now - since > lag_s

    def leaving(self, now, lag_s):
        """Return the names of the VMs that leave, a frozenset."""
        return frozenset(
            name
            for name, live_since in self._leaving.items()
            if live_since is None or now - live_since <= lag_s
        )
