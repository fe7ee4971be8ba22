"""Stand-ins for the platform, the backend servers and a faulty network."""
