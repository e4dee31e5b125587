"""Network addresses of processes."""

import attrs


@attrs.frozen
class Address:
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"

    @property
    def pair(self):
        """Return (host, port), as socket functions expect it."""
        return (self.host, self.port)
