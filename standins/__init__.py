"""Small stand-ins for the platform: store, host list, origin, engines, services."""
