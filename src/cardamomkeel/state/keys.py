"""Keys of the rows that both entries and control VMs use."""

# The settings text; only operators read it.
SETTINGS_KEY = "settings"
# The settings that apply to all services together.
COMMON_KEY = "common"
SERVICE_PREFIX = "service/"
# The routes in force.
ROUTES_KEY = "routes"
# The source text of the routes in force, as an operator sent it; only
# operators read it.
ROUTES_SOURCE_KEY = "routes-source"


def service_key(name: str) -> str:
    """Returns the key of the row with the settings of a service."""
    return f"{SERVICE_PREFIX}{name}"
