"""Stand-ins of the review for the platform, targets, clients and operators."""
