"""Acceptance of a configuration: its body first, then the head row."""

import attrs

from nutmegdeal.configuration_files import describe_changes
from nutmegdeal.configuration_parts import split
from nutmegdeal.configuration_store import PartCache, fetch_manifest
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.heads import (
    HEAD_KEY,
    Head,
    StoredHead,
    generation_key,
    read_head,
)
from nutmegdeal.records import encode_record
from nutmegdeal.services.table import Conflict, Write, Written

WRITE_ATTEMPTS_MAX = 3
GENERATIONS_KEPT = 1_000


@attrs.frozen
class Accepted:
    """The configuration is in force under this generation."""

    generation: int


@attrs.frozen
class Overtaken:
    """Another configuration was accepted first; this one was not.

    Parameters
    ----------
    generation : int
        Generation in force.
    accept_id : str
        Acceptance that won.
    changes : tuple of str
        What the accepted generations changed since the base, in sentences.
    """

    generation: int
    accept_id: str
    changes: tuple[str, ...]


def accept(configuration, base_generation, accept_id, table, objects):
    """Put a configuration in force if `base_generation` still is.

    A call that ended in doubt may be repeated with the same `accept_id`: it takes
    effect at most once.

    Parameters
    ----------
    configuration : Configuration
    base_generation : int
        Generation that the operator amended, 0 for the first configuration.
    accept_id : str
        Names this acceptance; a new one for each amendment.
    table : TableService
    objects : ObjectStore

    Returns
    -------
    Accepted, Overtaken or Failure
        A Failure with ``maybe_applied=True`` may still take effect; Accepted and
        Overtaken are final, also for earlier calls with the `accept_id`.
    """
    return _Acceptance(configuration, base_generation, accept_id, table, objects).run()


class _Acceptance:
    """One call of `accept`."""

    def __init__(self, configuration, base_generation, accept_id, table, objects):
        self._split = split(configuration)
        self._base_generation = base_generation
        self._head = Head(base_generation + 1, self._split.manifest.digest, accept_id)
        self._table = table
        self._objects = objects
        self._in_doubt = False

    def run(self):
        """Store the body, then write the head until the outcome is known."""
        stored = read_head(self._table)
        settled = self._settle(stored)
        if settled is not None:
            return settled
        failure = self._store_body(stored)
        if failure is not None:
            return failure
        return self._write_head(stored)

    def _settle(self, stored):
        """Return the outcome that the head row read shows, None if still open."""
        if isinstance(stored, Failure):
            return attrs.evolve(stored, maybe_applied=self._in_doubt)
        generation = stored.head.generation if stored else 0
        if generation == self._base_generation:
            return None
        if generation < self._base_generation:
            return Failure(
                Reason.BAD_REQUEST,
                Step.CONFIGURE,
                HEAD_KEY,
                f"generation {self._base_generation} was never accepted; "
                f"generation {generation} is in force",
            )
        return self._settle_newer(stored.head)

    def _settle_newer(self, head):
        """Return who won the generation after the base."""
        winner = read_head(self._table, generation_key(self._head.generation))
        if isinstance(winner, Failure):
            return attrs.evolve(winner, maybe_applied=self._in_doubt)
        if winner is None:
            return self._fail_unknown()
        if winner.head.accept_id == self._head.accept_id:
            return Accepted(self._head.generation)
        return Overtaken(head.generation, head.accept_id, self._describe(head))

    def _fail_unknown(self):
        key = generation_key(self._head.generation)
        detail = "too old to tell whose it was; compare the configuration in force"
        return Failure(
            Reason.NOT_FOUND, Step.CONFIGURE, key, detail, maybe_applied=True
        )

    def _describe(self, head):
        """Say what changed since the base, or what is not known about it."""
        base = None
        if self._base_generation:
            base = read_head(self._table, generation_key(self._base_generation))
        if isinstance(base, Failure):
            return (f"what changed is not known: {base}",)
        if base is None:
            return (f"generation {self._base_generation} is no longer kept",)
        return _describe_between(self._objects, base.head, head)

    def _store_body(self, stored):
        """Put the manifest and new parts in the store; return None or a Failure."""
        known = ()
        if stored is not None:
            manifest = fetch_manifest(self._objects, stored.head.manifest)
            known = () if isinstance(manifest, Failure) else manifest.part_digests
        texts = [part for part in self._split.parts if part.digest not in known]
        for text in (*texts, self._split.manifest):
            failure = self._objects.put(text.object_name, text.body)
            if failure is not None:
                return attrs.evolve(failure, step=Step.CONFIGURE, maybe_applied=False)
        return None

    def _write_head(self, stored):
        for _ in range(WRITE_ATTEMPTS_MAX):
            writes = self._head_writes(stored)
            if isinstance(writes, Failure):
                return attrs.evolve(writes, maybe_applied=self._in_doubt)
            result = self._table.write(writes)
            if isinstance(result, Written):
                return Accepted(self._head.generation)
            if isinstance(result, Failure):
                failure = attrs.evolve(result, step=Step.CONFIGURE)
                self._in_doubt = self._in_doubt or result.maybe_applied
            else:
                failure = _fail_conflict(result)
            stored = read_head(self._table)
            settled = self._settle(stored)
            if settled is not None:
                return settled
        return attrs.evolve(failure, maybe_applied=self._in_doubt)

    def _head_writes(self, stored):
        """Return the writes of one transaction, or a Failure."""
        value = encode_record(self._head)
        version = stored.version if stored else 0
        writes = [
            Write(HEAD_KEY, value, version),
            Write(generation_key(self._head.generation), value, 0),
        ]
        expired_key = generation_key(self._head.generation - GENERATIONS_KEPT)
        if self._head.generation <= GENERATIONS_KEPT:
            return writes
        expired = read_head(self._table, expired_key)
        if isinstance(expired, Failure):
            return expired
        if isinstance(expired, StoredHead):
            writes.append(Write(expired_key, None, expired.version))
        return writes


def _fail_conflict(conflict: Conflict):
    keys = ", ".join(row.key for row in conflict.rows)
    return Failure(Reason.STORE_CONFLICT, Step.CONFIGURE, keys, "the rows changed")


def _describe_between(objects, base, head):
    parts = PartCache(objects)
    old = parts.fetch(base.manifest, base.generation)
    if isinstance(old, Failure):
        return (f"what changed is not known: {old}",)
    new = parts.fetch(head.manifest, head.generation)
    if isinstance(new, Failure):
        return (f"what changed is not known: {new}",)
    return describe_changes(old, new)
