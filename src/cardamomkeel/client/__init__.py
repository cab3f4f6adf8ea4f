"""A client library for callers: addresses, outcomes and safe repeats."""
