"""First bootstrap: view 1, created once from the seeds.

The lowest seed is the founder. It queries all seeds; only if each of them answers, and none knows a view,
does it create view 1. Whoever takes part in a chain has that view on its disk, so as long as no more disks
were lost than the settings allow, a seed that knows a view says so.

An answer holds for the query that it names. A seed answers one query at a time, and never again one that it
has given up for another, so nothing that an earlier life of the founder sent can create a second view 1.
"""

import secrets
from collections.abc import Callable
from typing import Any

from plumline.coordination.environment import Environment, Member, Message
from plumline.coordination.view import View
from plumline.coordination.view_agreement import ViewAgreement
from plumline.coordination.view_messages import Decided

QUERY_INTERVAL_S = 0.1  # between queries at the first start of the system
LATER_QUERY_INTERVALS = 3  # of these between queries at a later start
#: At a later start all seeds must have been without a view for so long, in seconds: somebody who knows more
#: may still come.
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
        """`seeds`: addresses, the local one may be among them. `first_start`: the system never ran before.
        `is_configuration_known`: whether a router has reported a configuration that this core should know, so
        that there was a view and no second first one may be created."""
        self.local_member, self.seeds, self.first_start = local_member, sorted(seeds), first_start
        self.environment, self.view_agreement = environment, view_agreement
        self.is_configuration_known = is_configuration_known
        self.took_part = False  # this life of the process installed a view 1 created now
        # As the founder.
        self.query_id = ""
        self.queried_at = -QUERY_INTERVAL_S
        self.incarnations: dict[str, str] = {}  # address of a seed that answered -> its incarnation
        self.all_answered_since: float | None = None
        # As a seed that is queried.
        self.last_answered: tuple[str, str] | None = None  # founder and id of the query answered last
        self.superseded_queries: set[str] = set()  # given up for another one, never to be answered again

    def tick(self, now: float) -> None:
        """As the founder: creates the view if all seeds have answered the query, else queries them anew."""
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
        """Whether no view can exist, as far as all seeds and the routers show."""
        if self.all_answered_since is None or self.is_configuration_known():
            return False
        return self.first_start or now - self.all_answered_since >= LATER_START_WAIT_S

    def on_message(self, sender: str, message: Message) -> bool:
        """Whether the message was one of the bootstrap, and is dealt with."""
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
            self.took_part = True
            self.view_agreement.on_decided(view)
