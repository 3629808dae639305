"""Terms, and the record by which a voter keeps the highest one that it has granted."""

from typing import Any, NamedTuple, Self

TERM_RECORD_KIND = "ballot"  # the first field of a stored record
TERM_BITS = 20  # terms of one view: more than a million

StoredRecord = list[Any]


class Term(NamedTuple):
    """A number, which is the fencing token, and the one process that may hold the lease under it."""

    number: int
    candidate: str  # "address/incarnation", the incarnation in hexadecimal digits

    @classmethod
    def of(cls, number: int, address: str, incarnation: int) -> Self:
        """The term of that number of the process at `address`."""
        return cls(number, f"{address}/{incarnation:x}")


NO_TERM = Term(0, "")


def first_term_of(view: int) -> int:
    """The number below all terms of a view, and above all of earlier views."""
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
        """The record that a stored list of this kind holds."""
        _, lease, number, candidate = record
        return cls(lease, Term(number, candidate))
