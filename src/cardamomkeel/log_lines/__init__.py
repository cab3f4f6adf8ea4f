"""The table of log lines, their rate limits and their page."""
