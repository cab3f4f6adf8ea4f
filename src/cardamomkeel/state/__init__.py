"""The replicated state machine of the control VMs."""
