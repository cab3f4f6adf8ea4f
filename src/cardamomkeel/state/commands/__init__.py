"""What each command does to the replicated state, one module a subject.

Each handler takes the tables, the command and the log index, changes the
tables and returns the result. Handlers depend on nothing else, so that every
replica comes to the same state.
"""
