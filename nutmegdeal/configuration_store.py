"""Fetches manifests and parts of configurations from the object store."""

import attrs

from nutmegdeal.configuration_parts import (
    object_name,
    read_manifest,
    read_part,
    unpack_body,
)
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.settings import InvalidFile


def _fetch_text(objects, digest):
    """Return the text under a hash, or a Failure."""
    body = objects.get(object_name(digest))
    if isinstance(body, Failure):
        return attrs.evolve(body, step=Step.CONFIGURE)
    if body is None:
        return Failure(
            Reason.NOT_FOUND, Step.CONFIGURE, object_name(digest), "no such object"
        )
    text = unpack_body(digest, body)
    if text is None:
        return _content_failure(digest, "the bytes do not match their hash")
    return text


def _content_failure(digest, detail):
    return Failure(Reason.STORE_CONFLICT, Step.CONFIGURE, object_name(digest), detail)


def fetch_manifest(objects, digest):
    """Return the Manifest under a hash, or a Failure."""
    text = _fetch_text(objects, digest)
    if isinstance(text, Failure):
        return text
    manifest = read_manifest(text)
    if isinstance(manifest, InvalidFile):
        return _content_failure(digest, str(manifest))
    return manifest


class PartCache:
    """Caches the newest configuration's parts so that only changed ones are fetched.

    Parameters
    ----------
    objects : ObjectStore
    """

    def __init__(self, objects):
        self._objects = objects
        self._parts = {}

    def fetch(self, digest, generation):
        """Return the Configuration under a manifest's hash, or a Failure.

        Parts fetched before a Failure stay cached for the next call.
        """
        manifest = fetch_manifest(self._objects, digest)
        if isinstance(manifest, Failure):
            return manifest
        return self.assemble(manifest, generation)

    def assemble(self, manifest, generation):
        """Return the Configuration of a Manifest, or a Failure."""
        parts = {}
        for digest in manifest.part_digests:
            part = self._parts.get(digest) or self._fetch_part(digest)
            if isinstance(part, Failure):
                return part
            self._parts[digest] = parts[digest] = part
        self._parts = parts
        adapters = {
            adapter.name: adapter for part in parts.values() for adapter in part
        }
        return attrs.evolve(manifest.policy, generation=generation, adapters=adapters)

    def _fetch_part(self, digest):
        text = _fetch_text(self._objects, digest)
        if isinstance(text, Failure):
            return text
        part = read_part(text)
        if isinstance(part, InvalidFile):
            return _content_failure(digest, str(part))
        return part
