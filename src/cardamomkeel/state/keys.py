"""The keys of the rows that entries and control VMs both know."""

# Of the settings text; only operators read it.
SETTINGS_KEY = "settings"
# Of what the settings text says of all services together.
COMMON_KEY = "common"
SERVICE_PREFIX = "service/"
# Of the routes in force.
ROUTES_KEY = "routes"
# The same as operators sent them, for operators who read them back.
ROUTES_SOURCE_KEY = "routes-source"


def service_key(name: str) -> str:
    """Returns the key of the row of what the settings say of a service."""
    return f"{SERVICE_PREFIX}{name}"
