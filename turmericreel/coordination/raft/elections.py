"""Pre-votes, votes and the counting of both."""

from turmericreel.coordination.raft.state import RaftState, Role
from turmericreel.protocols.raft_messages import (
    PreVote,
    PreVoteAnswer,
    TimeoutNow,
    Vote,
    VoteAnswer,
)
from turmericreel.state.storage.entries import MemberId

VOTING_ROLES = (Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE)


class Elections:
    """Election state and message handling of one member.

    Parameters
    ----------
    state : RaftState
    """

    def __init__(self, *, state: RaftState):
        self.state = state
        self.granted: set[MemberId] = set()

    def tick(self, now: float) -> None:
        """Start a pre-vote when the election timeout has expired."""
        state = self.state
        if state.role in VOTING_ROLES and now >= state.election_deadline:
            self._begin_pre_vote(now)

    def answer_pre_vote(self, message: PreVote, now: float) -> None:
        """Reply whether a vote would be granted, without changing any state."""
        state = self.state
        granted = (
            message.term > state.term
            and not self._bound_by_promise(now)
            and state.candidate_is_up_to_date(message.last_index, message.last_term)
        )
        state.send(
            PreVoteAnswer(
                sender=state.member,
                receiver=message.sender,
                term=message.term if granted else state.term,
                granted=granted,
            )
        )

    def answer_vote(self, message: Vote, now: float) -> None:
        """Grant at most one vote in a term."""
        state = self.state
        if not message.transfer and self._bound_by_promise(now):
            # The term is not raised, so a rejoining member cannot depose a working
            # leader.
            self._answer(message, granted=False)
            return
        if message.term > state.term:
            state.follow(term=message.term, leader=None)
        granted = (
            message.term == state.term
            and state.vote in (None, message.sender)
            and state.candidate_is_up_to_date(message.last_index, message.last_term)
        )
        if granted:
            state.set_term(state.term, message.sender)
            state.reset_election_deadline(now)
        self._answer(message, granted=granted)

    def count_pre_vote(self, message: PreVoteAnswer, now: float) -> None:
        """Count a pre-vote; start the election on a quorum."""
        state = self.state
        if not message.granted:
            self._adopt_higher_term(message.term)
            return
        if state.role is not Role.PRE_CANDIDATE or message.term != state.term + 1:
            return
        if self._add_vote(message.sender):
            state.chart.fire("pre_vote_won")
            self._begin_vote(now, transfer=False)

    def count_vote(self, message: VoteAnswer) -> bool:
        """Count a vote and return whether it made this member the leader."""
        state = self.state
        if not message.granted:
            self._adopt_higher_term(message.term)
            return False
        if state.role is not Role.CANDIDATE or message.term != state.term:
            return False
        return self._add_vote(message.sender) and self._win()

    def handle_timeout_now(self, message: TimeoutNow, now: float) -> None:
        """Start an election immediately, without a pre-vote, at the leader's request.

        Ignored when the request is of another term or this member cannot vote.
        """
        state = self.state
        if message.term != state.term or state.role not in VOTING_ROLES:
            return
        state.chart.fire("transfer_asked")
        self._begin_vote(now, transfer=True)

    def win_as_only_voter(self) -> bool:
        """Become the leader if this candidate's own vote is a quorum.

        Returns
        -------
        bool
            Whether it did.
        """
        state = self.state
        if state.role is not Role.CANDIDATE or state.membership.quorum > 1:
            return False
        return self._win()

    def _bound_by_promise(self, now: float) -> bool:
        state = self.state
        return state.role is Role.LEADER or now < state.promise_deadline

    def _begin_pre_vote(self, now: float) -> None:
        state = self.state
        state.chart.fire("election_timeout")
        state.leader = None
        state.reset_election_deadline(now)
        self.granted = set()
        if self._add_vote(state.member):
            state.chart.fire("pre_vote_won")
            self._begin_vote(now, transfer=False)
            return
        for peer in self._other_voters():
            state.send(
                PreVote(
                    sender=state.member,
                    receiver=peer,
                    term=state.term + 1,
                    last_index=state.tail.last_index,
                    last_term=state.tail.last_term,
                )
            )

    def _begin_vote(self, now: float, *, transfer: bool) -> None:
        state = self.state
        state.leader = None
        state.set_term(state.term + 1, state.member)
        state.reset_election_deadline(now)
        self.granted = {state.member}
        for peer in self._other_voters():
            state.send(
                Vote(
                    sender=state.member,
                    receiver=peer,
                    term=state.term,
                    last_index=state.tail.last_index,
                    last_term=state.tail.last_term,
                    transfer=transfer,
                )
            )

    def _add_vote(self, voter: MemberId) -> bool:
        self.granted.add(voter)
        membership = self.state.membership
        return len(self.granted.intersection(membership.voters)) >= membership.quorum

    def _win(self) -> bool:
        self.state.chart.fire("vote_won")
        return True

    def _adopt_higher_term(self, term: int) -> None:
        if term > self.state.term:
            self.state.follow(term=term, leader=None)

    def _answer(self, message: Vote, *, granted: bool) -> None:
        state = self.state
        state.send(
            VoteAnswer(
                sender=state.member,
                receiver=message.sender,
                term=state.term,
                granted=granted,
            )
        )

    def _other_voters(self) -> list[MemberId]:
        state = self.state
        return [m for m in state.membership.voters if m != state.member]
