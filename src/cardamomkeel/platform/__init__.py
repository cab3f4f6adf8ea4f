"""The adapter to the platform: its settings file, API and programs."""
