"""Switches for the mechanisms of endpoint selection: all are on, except in an ablation study.

`deploy/measure-worth` measures the effect of each: it simulates days with a copy of the sources in which one
mechanism is off. This is not a setting of a deployment.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """One switch for each mechanism; False disables it."""

    prefix_homes: bool = True  # a shared part has a home endpoint that reads it first
    prefix_fetch: bool = True  # shared parts are fetched from endpoints and stores that hold them
    store_saves: bool = True  # shared parts are saved to a store
    prompt_events: bool = True  # routers exchange events about the prompts that they place
    priorities: bool = True  # urgent and short requests are run before others at an endpoint
    breaker: bool = True  # failing endpoints are left out, and calls to full ones are paced
    shedding: bool = True  # a prompt that would be abandoned before its first piece is refused
    memory_limit: bool = True  # prompts that exceed an endpoint's memory go to another one
    choice_of_two: bool = True  # among similar costs, the better of two random endpoints
    observed_excess: bool = True  # recent delays of first pieces beyond the expected time are added
    holding: bool = True  # a request waits briefly for an endpoint to be ready
    reading_waits: bool = True  # a prompt waits while its shared part is read for another prompt
    second_attempts: bool = True  # a request is retried at another endpoint where that is safe
    reread_cost: bool = True  # reading again what an endpoint has read costs more than its time


MECHANISMS = Mechanisms()
