"""Stand-ins for the platform, the backend servers and the network between them."""
