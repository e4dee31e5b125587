"""The first homes of each key among many hosts, kept up to date by what changes."""

import bisect
import collections

import attrs

from nutmegdeal.entry.rendezvous import rank_score

HOMES_KEPT = 16
KEYS_KEPT = 16_384
CHANGES_KEPT = 1_024


@attrs.frozen
class _Change:
    """A member that came or went."""

    member: str
    is_added: bool


@attrs.define
class _Homes:
    """First homes of one key, best first, as of a version of the members.

    The list is exact as far as it goes: no member outside it ranks before one in it.
    """

    version: int
    scores: list[tuple[int, str]]


class HomeTable:
    """Ranks the members of one service for any key.

    Ranking 10,000 members takes about as many hashes, so that the result is kept; a
    change of the members costs one hash for each key that is asked for again.
    """

    def __init__(self):
        self._members = frozenset()
        self._version = 0
        self._changes = collections.deque(maxlen=CHANGES_KEPT)
        self._homes = {}

    @property
    def members(self):
        """The members as last set, a frozenset of str."""
        return self._members

    def replace_members(self, members):
        """Take over the set of members."""
        members = frozenset(members)
        changes = [_Change(member, False) for member in self._members - members]
        changes += [_Change(member, True) for member in members - self._members]
        self._members = members
        self._changes.extend(changes)
        self._version += len(changes)

    def rank(self, key):
        """Return the first homes of a key (at most HOMES_KEPT ids), best first."""
        homes = self._homes.get(key)
        if homes is None or self._version - homes.version > len(self._changes):
            homes = self._compute(key)
        elif homes.version != self._version:
            homes = self._update(key, homes)
        return [member for _, member in reversed(homes.scores)]

    def _compute(self, key):
        scored = sorted((rank_score(key, member), member) for member in self._members)
        homes = _Homes(self._version, scored[-HOMES_KEPT:])
        self._homes[key] = homes
        if len(self._homes) > KEYS_KEPT:
            del self._homes[next(iter(self._homes))]
        return homes

    def _update(self, key, homes):
        missed_count = self._version - homes.version
        missed = list(self._changes)[-missed_count:]
        member_count = len(self._members) - sum(
            1 if change.is_added else -1 for change in missed
        )
        for change in missed:
            is_complete = len(homes.scores) == member_count
            member_count += 1 if change.is_added else -1
            self._apply(key, homes, change, is_complete)
        homes.version = self._version
        if len(homes.scores) < min(HOMES_KEPT // 2, len(self._members)):
            return self._compute(key)
        return homes

    def _apply(self, key, homes, change, is_complete):
        item = (rank_score(key, change.member), change.member)
        index = bisect.bisect_left(homes.scores, item)
        if not change.is_added:
            if index < len(homes.scores) and homes.scores[index] == item:
                del homes.scores[index]
            return
        if index == 0 and not is_complete:
            return
        homes.scores.insert(index, item)
        del homes.scores[:-HOMES_KEPT]
