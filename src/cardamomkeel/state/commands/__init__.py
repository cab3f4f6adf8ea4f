"""Handlers of the commands of the replicated state, one module per subject.

A handler gets the tables, the command and its log index, changes the tables
and returns the result. Handlers are deterministic functions of these, so that
every replica reaches the same state.
"""
