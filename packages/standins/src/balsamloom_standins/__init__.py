"""Stand-ins for the platform, and a load tool, for tests and demos."""
