"""Stand-ins for backend servers and the platform's services, with fault switches."""
