"""How an entry brings a request to a backend server."""
