"""The adapter to the platform: its settings, its calls, its programs."""
