"""Routes: which service answers which requests, and how."""
