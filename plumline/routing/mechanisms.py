"""Which mechanisms of the choice of an endpoint are in force: all of them, except in an ablation.

`deploy/measure-worth` measures what each is worth: it plays days with a copy of the sources in which one
mechanism is off. This is not a setting of a deployment.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """One switch a mechanism; False leaves it out."""

    prefix_homes: bool = True  # a shared part has an endpoint at which it is read first
    prefix_fetch: bool = True  # shared parts are moved from endpoints and stores that hold them
    store_saves: bool = True  # shared parts are saved to a store
    prompt_events: bool = True  # routers tell one another of the prompts that they place
    priorities: bool = True  # urgent and short requests go before others at an endpoint
    breaker: bool = True  # endpoints that fail are left out, and full ones get a gap
    shedding: bool = True  # a prompt that would be given up before its first piece is refused
    memory_limit: bool = True  # prompts beyond an endpoint's memory go elsewhere
    choice_of_two: bool = True  # of costs that are alike the better of two by chance
    observed_excess: bool = True  # what first pieces took longer than expected counts for a while
    holding: bool = True  # a request waits a little for an endpoint to be ready
    reading_waits: bool = True  # a prompt waits while its shared part is read for another
    second_attempts: bool = True  # a request goes to another endpoint where that may be
    reread_cost: bool = True  # reading again what somebody has read costs more than its time


MECHANISMS = Mechanisms()
