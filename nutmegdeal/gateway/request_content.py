"""Identity of a request by its content, the same in all attempts at all gateways."""

import hashlib

from nutmegdeal.platform import headers as platform_headers

DIGEST_BYTES = 12


def digest_request(incoming):
    """Return the digest (str) of a request: method, target, caller and body.

    Parameters
    ----------
    incoming : IncomingRequest
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    fields = [incoming.method, incoming.target, incoming.body]
    for header in platform_headers.select_content_headers(incoming.headers):
        fields += header
    for field in fields:
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return digest.hexdigest()
