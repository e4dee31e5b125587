"""The services that nutmegdeal's own interface uses, and an HTTP client for each."""
