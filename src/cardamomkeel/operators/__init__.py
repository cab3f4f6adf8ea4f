"""The interface of operators: their calls and their commands."""
