"""Cases of the review, and the stand-ins and the harness of their scripts."""
