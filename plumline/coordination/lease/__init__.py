"""Leader leases: each lease has at most one holder at a time, elected by a majority of voters.

A lease (Gray and Cheriton, SOSP 1989) lets its holder act without consulting other nodes until it expires.
A candidate requests it, under a new term, from all voters, which are the acceptors of the current view. A
majority of grants for one request elects the candidate, as in Raft (Ongaro and Ousterhout, 2014).

The term's number is the fencing token that accompanies each act of the holder. A receiver of acts from two
holders can tell by it which holder is the later one.

Why there is no second holder within one view:

- A grant binds its voter for `lease_s + lock_delay_s` from the moment of the grant; meanwhile the voter
  grants the lease to no other node. The holder counts `lease_s` from the moment of its request, which
  precedes every grant. Any two majorities share a voter, so the next holder can't begin before the earlier
  lease has expired and the lock delay is over. Clocks need not agree; they are assumed to run at the same
  rate.
- A voter grants rising terms only, and makes each one durable before it sends the grant. A term belongs to
  one incarnation of one candidate. So tokens rise from holder to holder, also when voters restart.
- A release ends a grant early, except for the lock delay, since the holder has stopped acting. A withdrawal
  ends it at once, since the lease was never held under that term. Both name the term, so that a delayed one
  doesn't end a later grant.
- A voter that has just started doesn't know until when its grants bind, so it abstains for the longest time
  that a grant can bind. It still grants renewals: a renewal shows that a majority elected its sender.

Why there is no second holder when views change:

- A voter grants only in its own current view, and only requests of that view.
- View n+1 is decided by a majority of n's voters, each of which has entered view n (`set_view`) before. A
  voter that accepts it grants nothing more in n, renewals included (`stop_granting`). So no majority of n
  can be reached once n+1 exists, and what n's voters granted has expired one lease and lock delay later.
- A voter that has just become one, or missed a view, doesn't know what was granted, so it abstains too. A
  majority that includes such a new voter can't elect while grants of an earlier view bind. A majority of
  old voters alone can; if such a majority need not share a voter with each majority of the earlier view,
  all voters abstain.
- Terms begin with the view's number, so they rise from view to view even if a disk with its terms was lost.
  A machine that lost its disk votes again only in a later view.

Modules: `voter` and `candidate` are the two roles, each with its states and transitions; `election` combines
them on a node. `messages` and `records` define the types with their wire and stored forms, `actions` what
the owner has to carry out, `quorum` and `view_history` the arithmetic of majorities, `durations` the times.
"""

from plumline.coordination.lease.actions import Persist, Send
from plumline.coordination.lease.durations import LeaseDurations
from plumline.coordination.lease.election import LeaseElection
from plumline.coordination.lease.messages import LEASE_MESSAGE_KIND, LeaseMessageError
from plumline.coordination.lease.quorum import majority
from plumline.coordination.lease.records import TERM_RECORD_KIND, Term

__all__ = [
    "LEASE_MESSAGE_KIND",
    "TERM_RECORD_KIND",
    "LeaseDurations",
    "LeaseElection",
    "LeaseMessageError",
    "Persist",
    "Send",
    "Term",
    "majority",
]
