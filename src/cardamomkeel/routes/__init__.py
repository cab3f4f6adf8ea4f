"""Routes: the services that answer requests, and the rules for them."""
