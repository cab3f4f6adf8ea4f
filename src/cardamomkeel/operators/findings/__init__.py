"""What a fleet's state tells operators, one module for each check."""
