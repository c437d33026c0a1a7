"""Stand-ins of the review: the store, engines, hosts and callers."""
