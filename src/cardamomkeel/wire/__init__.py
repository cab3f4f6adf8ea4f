"""Generated protocol messages between the processes."""
