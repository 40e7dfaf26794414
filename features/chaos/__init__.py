"""A seeded random run of failures that checks all promises."""
