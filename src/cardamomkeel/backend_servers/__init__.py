"""The interface towards backend servers."""
