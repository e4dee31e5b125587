"""Cache of the best-ranked hosts of each key, updated as hosts come and go."""

import bisect
import collections

import attrs

from nutmegdeal.entry.rendezvous import rank_score

RANKED_MEMBERS_MAX = 16
CACHED_KEYS_MAX = 16_384
CHANGE_LOG_MAX = 1_024


@attrs.frozen
class _MembershipChange:
    """A member that was added or removed."""

    member: str
    is_added: bool


@attrs.define
class _Ranking:
    """Best members of one key, as of a version of the member set.

    The list is ascending by score, so the best member is last. No member outside it
    scores higher than one in it.
    """

    version: int
    scored_members: list[tuple[int, str]]


class RankingCache:
    """Ranks the members of one service by rendezvous hashing for any key.

    Ranking 10,000 members takes 10,000 hashes, so results are cached. After a change of
    the members, a cached key needs one hash for each changed member. It is ranked anew
    if more than `CHANGE_LOG_MAX` changes were missed or if removals leave too few
    members in its list.
    """

    def __init__(self):
        self._members = frozenset()
        self._version = 0
        self._changes = collections.deque(maxlen=CHANGE_LOG_MAX)
        self._rankings = {}

    @property
    def members(self):
        """Current members, a frozenset of str."""
        return self._members

    def replace_members(self, members):
        """Replace the set of members."""
        members = frozenset(members)
        changes = [
            _MembershipChange(member, False) for member in self._members - members
        ]
        changes += [
            _MembershipChange(member, True) for member in members - self._members
        ]
        self._members = members
        self._changes.extend(changes)
        self._version += len(changes)

    def rank(self, key):
        """Return the ids of a key's best members, best first.

        There are at most `RANKED_MEMBERS_MAX`, and at least half as many if there are
        enough members.
        """
        ranking = self._rankings.get(key)
        if ranking is None or self._version - ranking.version > len(self._changes):
            ranking = self._compute_ranking(key)
        elif ranking.version != self._version:
            ranking = self._update_ranking(key, ranking)
        return [member for _, member in reversed(ranking.scored_members)]

    def _compute_ranking(self, key):
        all_scored = sorted(
            (rank_score(key, member), member) for member in self._members
        )
        ranking = _Ranking(self._version, all_scored[-RANKED_MEMBERS_MAX:])
        self._rankings[key] = ranking
        if len(self._rankings) > CACHED_KEYS_MAX:
            del self._rankings[next(iter(self._rankings))]
        return ranking

    def _update_ranking(self, key, ranking):
        missed_count = self._version - ranking.version
        missed_changes = list(self._changes)[-missed_count:]
        member_count = len(self._members) - sum(
            1 if change.is_added else -1 for change in missed_changes
        )
        for change in missed_changes:
            is_complete = len(ranking.scored_members) == member_count
            member_count += 1 if change.is_added else -1
            self._apply_change(key, ranking, change, is_complete)
        ranking.version = self._version
        if len(ranking.scored_members) < min(
            RANKED_MEMBERS_MAX // 2, len(self._members)
        ):
            return self._compute_ranking(key)
        return ranking

    def _apply_change(self, key, ranking, change, is_complete):
        item = (rank_score(key, change.member), change.member)
        index = bisect.bisect_left(ranking.scored_members, item)
        if not change.is_added:
            if (
                index < len(ranking.scored_members)
                and ranking.scored_members[index] == item
            ):
                del ranking.scored_members[index]
            return
        if index == 0 and not is_complete:
            return
        ranking.scored_members.insert(index, item)
        del ranking.scored_members[:-RANKED_MEMBERS_MAX]
