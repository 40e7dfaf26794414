"""Keys, rates, bursts and fair queueing of customers."""
