"""Settings of the processes and of the services."""
