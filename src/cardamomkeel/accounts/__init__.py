"""Client accounts: who sends a request, and how much it may send."""
