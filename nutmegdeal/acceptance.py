"""Acceptance of a configuration: store its objects, then write the head row."""

import attrs

from nutmegdeal.configuration_files import describe_changes
from nutmegdeal.configuration_head import (
    HEAD_KEY,
    Head,
    StoredHead,
    generation_key,
    read_configuration_head,
)
from nutmegdeal.configuration_parts import split
from nutmegdeal.configuration_store import PartCache, fetch_manifest
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.row_encoding import encode_record
from nutmegdeal.services.table import Conflict, Write, Written

WRITE_ATTEMPTS_MAX = 3
GENERATIONS_KEPT = 1_000


@attrs.frozen
class Accepted:
    """Result of `accept`: the configuration is in force under this generation."""

    generation: int


@attrs.frozen
class Superseded:
    """Result of `accept`: another configuration was accepted first, this one was not.

    Parameters
    ----------
    generation : int
        Generation in force.
    accept_id : str
        Acceptance that wrote this generation.
    changes : tuple of str
        Differences between the base and this generation, one sentence each, or the
        reason why they are not known.
    """

    generation: int
    accept_id: str
    changes: tuple[str, ...]


def accept(configuration, base_generation, accept_id, table, objects):
    """Put a configuration in force if `base_generation` still is.

    A call whose outcome is unknown may be repeated with the same `accept_id`; it takes
    effect at most once.

    Parameters
    ----------
    configuration : Configuration
    base_generation : int
        Generation that the operator changed, 0 for the first configuration.
    accept_id : str
        Identifies this acceptance across retries; use a new one for each change.
    table : TableService
    objects : ObjectStore

    Returns
    -------
    Accepted, Superseded or Failure
        After a Failure with ``maybe_applied=True`` the acceptance may still take
        effect; Accepted and Superseded are final, also for earlier calls with the same
        `accept_id`.
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
        """Store the objects, then retry the head write until the outcome is known."""
        stored = read_configuration_head(self._table)
        outcome = self._determine_outcome(stored)
        if outcome is not None:
            return outcome
        failure = self._store_objects(stored)
        if failure is not None:
            return failure
        return self._write_head(stored)

    def _determine_outcome(self, stored):
        """Return the outcome that the head row shows, None if the base is in force."""
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
        return self._determine_outcome_from_newer(stored.head)

    def _determine_outcome_from_newer(self, head):
        """Return the outcome when a generation after the base is in force."""
        successor = read_configuration_head(
            self._table, generation_key(self._head.generation)
        )
        if isinstance(successor, Failure):
            return attrs.evolve(successor, maybe_applied=self._in_doubt)
        if successor is None:
            return self._unknown_outcome_failure()
        if successor.head.accept_id == self._head.accept_id:
            return Accepted(self._head.generation)
        return Superseded(head.generation, head.accept_id, self._describe(head))

    def _unknown_outcome_failure(self):
        key = generation_key(self._head.generation)
        detail = "too old to tell whose it was; compare the configuration in force"
        return Failure(
            Reason.NOT_FOUND, Step.CONFIGURE, key, detail, maybe_applied=True
        )

    def _describe(self, head):
        """Describe the changes since the base, or why they are not known."""
        base = None
        if self._base_generation:
            base = read_configuration_head(
                self._table, generation_key(self._base_generation)
            )
        if isinstance(base, Failure):
            return (f"what changed is not known: {base}",)
        if base is None:
            return (f"generation {self._base_generation} is no longer kept",)
        return _describe_between(self._objects, base.head, head)

    def _store_objects(self, stored):
        """Store the manifest and the parts that are new; return None or a Failure."""
        stored_digests = ()
        if stored is not None:
            manifest = fetch_manifest(self._objects, stored.head.manifest)
            stored_digests = (
                () if isinstance(manifest, Failure) else manifest.part_digests
            )
        texts = [
            part for part in self._split.parts if part.digest not in stored_digests
        ]
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
                failure = _conflict_failure(result)
            stored = read_configuration_head(self._table)
            outcome = self._determine_outcome(stored)
            if outcome is not None:
                return outcome
        return attrs.evolve(failure, maybe_applied=self._in_doubt)

    def _head_writes(self, stored):
        """Return the writes of the accepting transaction, or a Failure."""
        value = encode_record(self._head)
        version = stored.version if stored else 0
        writes = [
            Write(HEAD_KEY, value, version),
            Write(generation_key(self._head.generation), value, 0),
        ]
        expired_key = generation_key(self._head.generation - GENERATIONS_KEPT)
        if self._head.generation <= GENERATIONS_KEPT:
            return writes
        expired = read_configuration_head(self._table, expired_key)
        if isinstance(expired, Failure):
            return expired
        if isinstance(expired, StoredHead):
            writes.append(Write(expired_key, None, expired.version))
        return writes


def _conflict_failure(conflict: Conflict):
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
