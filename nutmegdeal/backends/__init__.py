"""Backend servers: an abstract base class and an HTTP client for each kind."""
