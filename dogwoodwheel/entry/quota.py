"""Enforces customers' rates over all entries without a central counter.

Notes
-----
Workload: one customer sends many times its usual rate through all entries
at once; a network partition separates entries while callers still reach
both sides; entries are killed and restarted.

Each entry has a token bucket for each customer.  To charge a request means to
deduct its cost from the bucket.  An entry charges its own requests at once,
and a peer's requests when the peer's next heartbeat arrives.  The rate may
therefore be exceeded by what peers admit between two heartbeats.  A peer that
sends no heartbeats may still admit requests on the other side of a network
partition, so each side uses only its own fraction of the refill.  The
fractions of all sides add up to the rate.
"""

__all__ = ["CustomerQuotas", "TokenBucket", "request_units"]

# Fraction of the burst.  If a bucket's level is below this fraction, the entry
# informs its peers of each charge at once.
LOW_BALANCE_FRACTION = 0.5
# Initial bucket level at a restarted entry, as a fraction of the burst.  The
# entry does not know how many units were charged just before the restart.
RESTART_LEVEL_FRACTION = 0.25


def request_units(customer, request_headers):
    """Return the cost of a request, in units of its customer's rate.

    Parameters
    ----------
    customer : dogwoodwheel.entry.datatypes.Customer
    request_headers : object
        Has ``prompt_tokens`` and ``output_tokens``, numbers of tokens.

    Returns
    -------
    float
    """
    if not customer.rate_in_tokens:
        return 1.0
    return float(
        request_headers.prompt_tokens + request_headers.output_tokens
    ) or (customer.default_request_tokens)


class TokenBucket:
    """The token bucket of one customer at one entry.

    Parameters
    ----------
    rate, burst : float
        Refill rate (units per second) and capacity (units) over all entries.
    level : float
        Initial level, units.
    now : float
        Current time of trio's clock, seconds.
    """

    def __init__(self, rate, burst, level, now):
        self.rate = rate
        self.burst = burst
        self.level = min(level, burst)
        self._refilled_at = now

    def refill(self, now, refill_fraction):
        """Add `refill_fraction` of the units accrued since the last call."""
        units = self.rate * refill_fraction * max(0.0, now - self._refilled_at)
        self.level = min(self.burst, self.level + units)
        self._refilled_at = now

    def reconfigure(self, rate, burst):
        """Apply the rate and burst of a newer configuration."""
        self.level = min(self.level, burst)
        self.rate = rate
        self.burst = burst

    def wait_s(self, units, overdraft):
        """Return the time until the level allows a request, seconds.

        Parameters
        ----------
        units : float
            Units that the request costs.
        overdraft : float
            Units by which the level may fall below zero.
        """
        missing_units = units - self.level - overdraft
        return max(0.0, missing_units / self.rate)


class CustomerQuotas:
    """The token buckets of all customers at one entry.

    Parameters
    ----------
    first_start : bool
        Whether the whole system starts for the first time.
    overdraft : float
        Units by which a bucket's level may fall below zero.  Heartbeats
        arrive late, so without an overdraft an entry would refuse requests
        that are within the rate.

    Attributes
    ----------
    spent : dict of str to float
        Units that this entry has charged since its start, by customer.
    """

    def __init__(self, first_start, overdraft=0.0):
        self.spent = {}
        self._overdraft = overdraft
        self._initial_level_fraction = (
            1.0 if first_start else RESTART_LEVEL_FRACTION
        )
        self._buckets = {}

    def charge(self, customer, units, now, refill_fraction):
        """Charge a request to its customer's bucket if the rate allows.

        Parameters
        ----------
        customer : dogwoodwheel.entry.datatypes.Customer
        units : float
            Units that the request costs.
        now : float
            Current time of trio's clock, seconds.
        refill_fraction : float
            Fraction of the refill that this side of a network partition
            may use, 0 to 1.

        Returns
        -------
        float
            0 if the request was charged; otherwise the time until the rate
            allows the request, seconds.
        """
        if not customer.rate:
            return 0.0
        bucket = self._bucket(customer, now, refill_fraction)
        # A request that costs more than the burst needs a full bucket.
        wait_s = bucket.wait_s(min(units, bucket.burst), self._overdraft)
        if wait_s > 0:
            return wait_s
        bucket.level -= units
        self.spent[customer.name] = self.spent.get(customer.name, 0.0) + units
        return 0.0

    def has_low_balance(self, customer):
        """Return whether peers should be informed of a charge at once.

        Notes
        -----
        Workload: a large fleet, whose heartbeats are infrequent, and a
        customer near its rate.  Until the entries learn of each other's
        charges, each of them admits requests against the same quota, so
        together they can exceed the rate.
        """
        bucket = self._buckets.get(customer.name)
        if bucket is None or not customer.rate:
            return False
        return bucket.level < LOW_BALANCE_FRACTION * bucket.burst

    def refund(self, customer, units):
        """Refund the units of a charged request that did not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None and customer.rate:
            bucket.level = min(bucket.burst, bucket.level + units)
            self.spent[customer.name] -= units

    def record_peer_usage(
        self, previous_totals, new_totals, customers, now, refill_fraction
    ):
        """Deduct the units that a peer charged since its previous heartbeat.

        Parameters
        ----------
        previous_totals : dict of str to float or None
            `new_totals` of the peer's previous heartbeat.  None if this is
            the first heartbeat of the peer's process instance: the units
            that it used earlier are assumed to have been refilled.
        new_totals : dict of str to float
            Units that the peer has charged since its start, by customer.
        customers : dict of str to dogwoodwheel.entry.datatypes.Customer
            All customers of the configuration: usage at peers also counts
            for customers that have sent no requests to this entry.
        now, refill_fraction : float
            As for `charge`.
        """
        if previous_totals is None:
            return
        for customer_name, new_total in new_totals.items():
            units = new_total - previous_totals.get(customer_name, 0.0)
            customer = customers.get(customer_name)
            if customer is not None and customer.rate and units:
                bucket = self._bucket(customer, now, refill_fraction)
                bucket.level = max(bucket.level - units, -bucket.burst)

    def _bucket(self, customer, now, refill_fraction):
        """Return a customer's bucket; create or refill the bucket first."""
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = self._buckets[customer.name] = TokenBucket(
                customer.rate,
                customer.burst,
                customer.burst * self._initial_level_fraction,
                now,
            )
        elif (bucket.rate, bucket.burst) != (customer.rate, customer.burst):
            bucket.reconfigure(customer.rate, customer.burst)
        bucket.refill(now, refill_fraction)
        return bucket
