"""Leader leases: for each lease at most one holder at a time, elected by a majority of voters.

A lease (Gray and Cheriton, SOSP 1989) lets its holder act without asking anybody until it runs out. A
candidate requests it, under a new term, from all voters: the acceptors of the present view. A majority of
grants for one request elects it, as in Raft (Ongaro and Ousterhout, 2014). The number of the term is the
fencing token that goes with each act, so that whoever receives acts of two holders can tell the later one.

Why there is no second holder, within one view:

- A voter is bound by its grant for `lease_s + lock_delay_s` from the moment of the grant, and grants the
  lease to no other node as long. The holder counts `lease_s` from the moment of its request, which came
  before every grant. Any two majorities share a voter, so the next holder can't begin before the earlier
  lease has run out and the lock delay is over. Clocks need not agree; they are taken to run at the same rate.
- A voter grants rising terms only and has each on its disk before it says so. A term belongs to one
  incarnation of one candidate. So tokens rise from holder to holder, also when voters restart.
- A release ends a grant early, but for the lock delay, since the holder has stopped acting. A withdrawal ends
  it at once, since the lease was never held under that term. Both name the term, so that a late one ends
  nothing that was granted since.
- A voter that has just started doesn't know until when its grants bind. It abstains for as long as one can.
  It renews all the same: a renewal shows that a majority elected its sender.

Why there is none when views change:

- A voter grants in its own present view alone, and requests of that view alone.
- View n+1 is decided by a majority of n's voters that each have taken in view n (`set_view`) before, and a
  voter that accepts it grants nothing more in n, renewals included (`stop_granting`). So no majority of n
  can be had once n+1 exists, and what n's voters granted is over by lease and lock delay after that.
- A voter that has just become one, or missed a view, doesn't know what was granted: it abstains too. So a
  majority of a view that holds such a newcomer can't elect while grants of an earlier view bind. A majority
  of old voters alone may; where it need not share a voter with each majority of the earlier view, all
  abstain.
- Terms begin with the view's number, so they rise from view to view even where a disk and its terms were
  lost; a machine without its disk is a voter again only in a later view.

Modules: `voter` and `candidate` are the two roles, each with its states and transitions; `election` joins
them on a node. `messages` and `records` hold the types with their wire and stored forms, `actions` what the
owner is to do, `quorum` and `view_history` the arithmetic of majorities, `durations` the times.
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
