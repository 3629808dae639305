"""Initial bootstrap: view 1, created once from the seeds.

The seed with the lowest address is the founder. It queries all seeds, and creates view 1 only if each of them
answers and none knows a view. Every chain member has its view on its disk, so if no more disks are lost than
the settings allow, a seed that knows a view answers with it.

An answer is valid only for the query that it names. A seed answers one query at a time, and never returns to
one that it has superseded. So no message of an earlier run of the founder can create a second view 1.
"""

import secrets
from collections.abc import Callable
from typing import Any

from plumline.coordination.environment import Environment, Member, Message
from plumline.coordination.view import View
from plumline.coordination.view_agreement import ViewAgreement
from plumline.coordination.view_messages import Decided

QUERY_INTERVAL_S = 0.1  # between queries at the first start of the system
LATER_QUERY_INTERVALS = 3  # QUERY_INTERVAL_S between queries at a later start
#: Seconds for which, at a later start, all seeds must have reported no view: a registrar that knows one may
#: still start.
LATER_START_WAIT_S = 4.0


class Bootstrap:
    """One seed's part in creating the first view."""

    def __init__(
        self,
        local_member: Member,
        seeds: list[str],
        first_start: bool,
        environment: Environment,
        view_agreement: ViewAgreement,
        is_configuration_known: Callable[[], bool],
    ) -> None:
        """`seeds`: addresses, possibly including the local one. `first_start`: the system never ran before.
        `is_configuration_known`: whether a router has reported a configuration that this core should know,
        so that a view existed and no second view 1 may be created."""
        self.local_member, self.seeds, self.first_start = local_member, sorted(seeds), first_start
        self.environment, self.view_agreement = environment, view_agreement
        self.is_configuration_known = is_configuration_known
        self.installed_first_view = False  # this process run installed a newly created view 1
        # State as the founder.
        self.query_id = ""
        self.queried_at = -QUERY_INTERVAL_S
        self.incarnations: dict[str, str] = {}  # address of a seed that answered -> its incarnation
        self.all_answered_since: float | None = None
        # State as a queried seed.
        self.last_answered: tuple[str, str] | None = None  # sender and id of the query answered last
        self.superseded_queries: set[str] = set()  # replaced by a later one, and never answered again

    def tick(self, now: float) -> None:
        """As the founder: creates the view if all seeds have answered, and queries them again."""
        if not self._is_founder() or now < self.queried_at + self._query_interval_s():
            return
        if len(self.incarnations) < len(self.seeds):
            self.all_answered_since = None
        elif self.all_answered_since is None:
            self.all_answered_since = now
        if self.may_create_view(now):
            self._create_view()
        self._query_seeds(now)

    def may_create_view(self, now: float) -> bool:
        """Whether the answers of all seeds and the routers show that no view exists."""
        if self.all_answered_since is None or self.is_configuration_known():
            return False
        return self.first_start or now - self.all_answered_since >= LATER_START_WAIT_S

    def on_message(self, sender: str, message: Message) -> bool:
        """Handles a message of the bootstrap; returns False for any other."""
        match message:
            case ["found-ask", str(query_id)]:
                self._on_query(sender, query_id)
            case ["found-tell", str(query_id), str(incarnation)]:
                if query_id == self.query_id:
                    self.incarnations[sender] = incarnation
            case ["found-view", str(query_id), wire]:
                self._on_first_view(sender, query_id, wire)
            case _:
                return False
        return True

    def _is_founder(self) -> bool:
        if self.view_agreement.knows_any_view() or not self.seeds:
            return False
        return self.local_member.address == self.seeds[0]

    def _query_interval_s(self) -> float:
        return QUERY_INTERVAL_S * (1 if self.first_start else LATER_QUERY_INTERVALS)

    def _create_view(self) -> None:
        members = tuple(Member(address, self.incarnations[address]) for address in self.seeds)
        view = View(1, members, members)
        for address in self.seeds:
            self.environment.send(address, ["found-view", self.query_id, view.to_wire()])

    def _query_seeds(self, now: float) -> None:
        self.query_id, self.incarnations, self.queried_at = secrets.token_hex(8), {}, now
        for address in self.seeds:
            self.environment.send(address, ["found-ask", self.query_id])

    def _on_query(self, sender: str, query_id: str) -> None:
        if self.view_agreement.view is not None:
            self.environment.send(sender, Decided(self.view_agreement.view).to_wire())
        elif not self.view_agreement.knows_any_view() and query_id not in self.superseded_queries:
            if self.last_answered and self.last_answered != (sender, query_id):
                self.superseded_queries.add(self.last_answered[1])
            self.last_answered = sender, query_id
            self.environment.send(sender, ["found-tell", query_id, self.local_member.incarnation])

    def _on_first_view(self, sender: str, query_id: str, wire: list[Any]) -> None:
        if self.last_answered != (sender, query_id) or self.view_agreement.knows_any_view():
            return
        view = View.from_wire(wire)
        if self.local_member in view.acceptors:
            self.installed_first_view = True
            self.view_agreement.on_decided(view)
