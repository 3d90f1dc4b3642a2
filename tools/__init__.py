"""Tools around the package: local deployments and certificates."""
