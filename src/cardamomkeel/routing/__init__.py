"""Routing of requests from an entry to backend servers."""
