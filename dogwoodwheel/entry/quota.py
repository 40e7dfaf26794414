"""Customers' rates and bursts over all entries, decided at each alone.

Notes
-----
Load patterns: one customer sends many times its usual through all
entries at once; entries are cut off from each other while callers still
reach both sides; entries are killed and start again.

Each entry charges every customer's bucket with its own requests at once
and with those of its peers as their beats tell.  What is spent twice is
what peers admit between two beats.  While a peer is silent it may be
spending on the other side of a cut, so its part of the refill is left
to it: the parts of all sides add up to the rate.
"""

__all__ = ["Bucket", "CustomerQuotas", "request_units"]

# Part of the burst below which peers hear of a charge at once.
LOW_PART = 0.5
# Part of the burst that a restarted entry begins with, since it does not
# know what was spent just before.
RESTARTED_PART = 0.25


def request_units(customer, asked):
    """Return what a request counts against its customer's rate.

    Parameters
    ----------
    customer : dogwoodwheel.entry.datatypes.Customer
    asked : object
        With ``prompt_tokens`` and ``output_tokens``.

    Returns
    -------
    float
    """
    if not customer.rate_in_tokens:
        return 1.0
    return float(asked.prompt_tokens + asked.output_tokens) or (
        customer.default_tokens
    )


class Bucket:
    """One customer's bucket, as one entry sees it.

    Parameters
    ----------
    rate, burst : float
        Units a second, and at once, over all entries.
    level : float
    now : float
        Seconds.
    """

    def __init__(self, rate, burst, level, now):
        self.rate = rate
        self.burst = burst
        self.level = min(level, burst)
        self._now = now

    def refill(self, now, part):
        """Add what the rate earned, times this side's part of it."""
        earned = self.rate * part * max(0.0, now - self._now)
        self.level = min(self.burst, self.level + earned)
        self._now = now

    def change(self, rate, burst):
        """Take another rate and burst."""
        self.level = min(self.level, burst)
        self.rate = rate
        self.burst = burst

    def wait_s(self, need, overdraft):
        """Return the time until so much is there, seconds."""
        lacks = need - self.level - overdraft
        return max(0.0, lacks / self.rate)


class CustomerQuotas:
    """Buckets of all customers at one entry.

    Parameters
    ----------
    first_start : bool
        Whether the whole system starts for the first time.
    overdraft : float
        Units below zero that a bucket may reach.  Beats come late, so an
        exact bound would refuse what is within the rate.

    Attributes
    ----------
    spent : dict of str to float
        Units that this entry charged to each customer.
    """

    def __init__(self, first_start, overdraft=0.0):
        self.spent = {}
        self._overdraft = overdraft
        self._start = 1.0 if first_start else RESTARTED_PART
        self._buckets = {}

    def charge(self, customer, need, now, part):
        """Charge a request; return 0, or seconds until it fits.

        Parameters
        ----------
        customer : dogwoodwheel.entry.datatypes.Customer
        need : float
            Units.
        now : float
            Seconds.
        part : float
            Part of the refill that is this side's, 0 to 1.
        """
        if not customer.rate:
            return 0.0
        bucket = self._bucket(customer, now, part)
        # A request above the whole burst fits into a full bucket.
        wait_s = bucket.wait_s(min(need, bucket.burst), self._overdraft)
        if wait_s > 0:
            return wait_s
        bucket.level -= need
        self.spent[customer.name] = self.spent.get(customer.name, 0.0) + need
        return 0.0

    def is_low(self, customer):
        """Tell whether peers should hear of a charge before the next beat.

        Notes
        -----
        Load pattern: a large fleet, whose beats are far apart, and a
        customer near its rate: what peers admit unheard adds up.
        """
        bucket = self._buckets.get(customer.name)
        if bucket is None or not customer.rate:
            return False
        return bucket.level < LOW_PART * bucket.burst

    def refund(self, customer, need):
        """Take back the charge of a request that did not run."""
        bucket = self._buckets.get(customer.name)
        if bucket is not None and customer.rate:
            bucket.level = min(bucket.burst, bucket.level + need)
            self.spent[customer.name] -= need

    def record_peer_usage(self, before, spent, customers, now, part):
        """Charge what a peer spent since its beat before.

        Parameters
        ----------
        before : dict of str to float or None
            None for the first beat of an incarnation that is heard;
            what it spent earlier is gone from the bucket by now.
        spent : dict of str to float
        customers : dict of str to Customer
            Those of the configuration; an entry that a customer has not
            called yet counts what its peers admit of it all the same.
        now, part : float
            As for `charge`.
        """
        if before is None:
            return
        for name, total in spent.items():
            gained = total - before.get(name, 0.0)
            customer = customers.get(name)
            if customer is not None and customer.rate and gained:
                bucket = self._bucket(customer, now, part)
                bucket.level = max(bucket.level - gained, -bucket.burst)

    def _bucket(self, customer, now, part):
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = self._buckets[customer.name] = Bucket(
                customer.rate,
                customer.burst,
                customer.burst * self._start,
                now,
            )
        elif (bucket.rate, bucket.burst) != (customer.rate, customer.burst):
            bucket.change(customer.rate, customer.burst)
        bucket.refill(now, part)
        return bucket
