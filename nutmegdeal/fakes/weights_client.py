"""How the model engine stand-in reads the weight store."""

import urllib3

FETCH_WITHIN_S = 120


class WeightsClient:
    """Reader of the weight store.

    Parameters
    ----------
    pool : urllib3.PoolManager
    base_url : str
        "" for a store that answers at once.
    """

    def __init__(self, pool, base_url):
        self._pool = pool
        self._base_url = base_url

    def fetch(self, engine_name):
        """Read an adapter's weights; return whether they arrived (bool)."""
        if not self._base_url:
            return True
        url = f"{self._base_url}/weights/{engine_name}"
        try:
            answer = self._pool.request(
                "GET", url, retries=False, timeout=FETCH_WITHIN_S
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200
