"""Enforces customers' rates over all entries, without central counters.

Notes
-----
Workload: one customer sends many times its usual rate through all entries
at once; a network partition separates entries while callers still reach
both sides; entries are killed and restarted.

Each entry charges a customer's token bucket with its own requests at once,
and with those of its peers when their heartbeats arrive.  The rate can be
exceeded by what peers admit between two heartbeats.  A silent peer may
still admit requests on the other side of a network partition, so each side
uses only its own fraction of the refill; the fractions of all sides add up
to the rate.
"""

__all__ = ["CustomerQuotas", "TokenBucket", "request_units"]

# Fraction of the burst below which peers learn of a charge at once.
LOW_FRACTION = 0.5
# Initial level of the buckets of a restarted entry, as a fraction of the
# burst: the entry does not know what was used just before.
RESTART_FRACTION = 0.25


def request_units(customer, request_headers):
    """Return the units that a request uses of its customer's rate.

    Parameters
    ----------
    customer : dogwoodwheel.entry.datatypes.Customer
    request_headers : object
        With ``prompt_tokens`` and ``output_tokens``.

    Returns
    -------
    float
    """
    if not customer.rate_in_tokens:
        return 1.0
    return float(
        request_headers.prompt_tokens + request_headers.output_tokens
    ) or (customer.default_tokens)


class TokenBucket:
    """One customer's token bucket, as one entry sees it.

    Parameters
    ----------
    rate, burst : float
        Refill in units a second, and capacity in units, over all entries.
    level : float
        Initial level, units.
    now : float
        Seconds.
    """

    def __init__(self, rate, burst, level, now):
        self.rate = rate
        self.burst = burst
        self.level = min(level, burst)
        self._refilled_at = now

    def refill(self, now, fraction):
        """Add a fraction of the refill since the last call."""
        units = self.rate * fraction * max(0.0, now - self._refilled_at)
        self.level = min(self.burst, self.level + units)
        self._refilled_at = now

    def reconfigure(self, rate, burst):
        """Set another rate and burst."""
        self.level = min(self.level, burst)
        self.rate = rate
        self.burst = burst

    def wait_s(self, units, overdraft):
        """Return the time until units are available, seconds."""
        missing = units - self.level - overdraft
        return max(0.0, missing / self.rate)


class CustomerQuotas:
    """Token buckets of all customers at one entry.

    Parameters
    ----------
    first_start : bool
        Whether the whole system starts for the first time.
    overdraft : float
        Units by which a bucket's level may fall below zero.  Heartbeats
        arrive late, so a strict bound would refuse requests that are
        within the rate.

    Attributes
    ----------
    spent : dict of str to float
        Units that this entry has charged, by customer.
    """

    def __init__(self, first_start, overdraft=0.0):
        self.spent = {}
        self._overdraft = overdraft
        self._initial_fraction = 1.0 if first_start else RESTART_FRACTION
        self._buckets = {}

    def charge(self, customer, units, now, refill_fraction):
        """Charge a request if its customer's rate allows it.

        Parameters
        ----------
        customer : dogwoodwheel.entry.datatypes.Customer
        units : float
            Units that the request uses.
        now : float
            Seconds.
        refill_fraction : float
            Fraction of the refill that this side of a network partition
            may use, 0 to 1.

        Returns
        -------
        float
            0 if the request was charged, else the seconds until the rate
            allows it.
        """
        if not customer.rate:
            return 0.0
        bucket = self._bucket(customer, now, refill_fraction)
        # A request above the burst is charged to a full bucket.
        wait_s = bucket.wait_s(min(units, bucket.burst), self._overdraft)
        if wait_s > 0:
            return wait_s
        bucket.level -= units
        self.spent[customer.name] = self.spent.get(customer.name, 0.0) + units
        return 0.0

    def is_low(self, customer):
        """Return whether peers should learn of a charge at once.

        Notes
        -----
        Workload: a large fleet, whose heartbeats are infrequent, and a
        customer near its rate.  The requests that peers admit before they
        learn of each other's charges add up.
        """
        bucket = self._buckets.get(customer.name)
        if bucket is None or not customer.rate:
            return False
        return bucket.level < LOW_FRACTION * bucket.burst

    def refund(self, customer, units):
        """Refund the charge of a request that did not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None and customer.rate:
            bucket.level = min(bucket.burst, bucket.level + units)
            self.spent[customer.name] -= units

    def record_peer_usage(
        self, before, spent, customers, now, refill_fraction
    ):
        """Charge the units that a peer has used since its last heartbeat.

        Parameters
        ----------
        before : dict of str to float or None
            Value of `spent` in the peer's previous heartbeat.  None for
            the first heartbeat of a process instance: what it used
            earlier has been refilled by now.
        spent : dict of str to float
            Units that the peer has charged since its start, by customer.
        customers : dict of str to dogwoodwheel.entry.datatypes.Customer
            All customers of the configuration, since usage at peers also
            counts for customers that have sent no request to this entry.
        now, refill_fraction : float
            As for `charge`.
        """
        if before is None:
            return
        for name, total in spent.items():
            units = total - before.get(name, 0.0)
            customer = customers.get(name)
            if customer is not None and customer.rate and units:
                bucket = self._bucket(customer, now, refill_fraction)
                bucket.level = max(bucket.level - units, -bucket.burst)

    def _bucket(self, customer, now, refill_fraction):
        """Return a customer's bucket, created or refilled as of now."""
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = self._buckets[customer.name] = TokenBucket(
                customer.rate,
                customer.burst,
                customer.burst * self._initial_fraction,
                now,
            )
        elif (bucket.rate, bucket.burst) != (customer.rate, customer.burst):
            bucket.reconfigure(customer.rate, customer.burst)
        bucket.refill(now, refill_fraction)
        return bucket
