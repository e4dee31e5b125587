"""Weight store client of the stand-in model engine."""

import urllib3

FETCH_TIMEOUT_S = 120


class WeightsClient:
    """Fetches the weights of adapters from the weight store.

    Parameters
    ----------
    pool : urllib3.PoolManager
    base_url : str
        URL of the store; "" to let every fetch succeed at once.
    """

    def __init__(self, pool, base_url):
        self._pool = pool
        self._base_url = base_url

    def fetch(self, engine_name):
        """Fetch an adapter's weights; return whether this succeeded (bool)."""
        if not self._base_url:
            return True
        url = f"{self._base_url}/weights/{engine_name}"
        try:
            response = self._pool.request(
                "GET", url, retries=False, timeout=FETCH_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200
