"""The platform's services: an abstract base class and an HTTP client for each."""
