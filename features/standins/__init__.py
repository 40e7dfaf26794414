"""Stand-ins of the platform, model engines, plain services and callers."""
