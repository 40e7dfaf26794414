"""Cases of the review, each a folder with its claim."""
