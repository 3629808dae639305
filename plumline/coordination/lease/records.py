"""Terms, and the record that stores the highest term that a voter has granted."""

from typing import Any, NamedTuple, Self

TERM_RECORD_KIND = "ballot"  # the first field of a stored record
TERM_BITS = 20  # low bits of a term's number: over a million terms in a view

StoredRecord = list[Any]


class Term(NamedTuple):
    """The number, which is the fencing token, and the only process that may hold the lease under it."""

    number: int
    candidate: str  # "address/incarnation", the incarnation in hexadecimal digits

    @classmethod
    def of(cls, number: int, address: str, incarnation: int) -> Self:
        """Term `number` of the process at `address`."""
        return cls(number, f"{address}/{incarnation:x}")


NO_TERM = Term(0, "")


def first_term_of(view: int) -> int:
    """The number just below all terms of a view and above those of earlier views."""
    return view << TERM_BITS


class TermRecord(NamedTuple):
    """The highest term that a voter has granted for a lease.

    On disk it is the list ["ballot", lease, number, candidate].
    """

    lease: str
    term: Term

    def to_stored(self) -> StoredRecord:
        """The list that is stored."""
        return [TERM_RECORD_KIND, self.lease, self.term.number, self.term.candidate]

    @classmethod
    def from_stored(cls, record: StoredRecord) -> Self:
        """The record in a stored list of this kind."""
        _, lease, number, candidate = record
        return cls(lease, Term(number, candidate))
