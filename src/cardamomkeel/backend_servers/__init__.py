"""The interface to backend servers: connections and announcements."""
