"""The load that routers report in heartbeats, and its sum over the fleet that registrars publish."""

import math
from collections.abc import Iterable
from typing import Any

from plumline.routing.reserved_quota import sum_demand_reports

#: By service: ms of endpoints' time a second for short and for long requests; then, where quotas are
#: reserved, the tenants' demand (plumline.routing.reserved_quota.DemandReport).
ServiceLoads = dict[str, list[Any]]

ROUNDED_DIGITS = 1  # of ms a second


def is_load_report(report: Any) -> bool:  # noqa: ANN401
    """Whether a report has the form of a value of `ServiceLoads`; `total_loads` checks the tenants' part."""
    if not isinstance(report, list) or not 2 <= len(report) <= 3:
        return False
    return all(type(load) in (int, float) and 0 <= load < math.inf for load in report[:2])


def total_loads(reports: Iterable[ServiceLoads]) -> ServiceLoads:
    """The sum of several routers' loads; malformed demand of tenants is ignored."""
    totals: ServiceLoads = {}
    demands: dict[str, list[Any]] = {}
    for report in reports:
        for service, (short, long, *demand) in report.items():
            total = totals.setdefault(service, [0.0, 0.0])
            totals[service] = [
                round(total[0] + short, ROUNDED_DIGITS),
                round(total[1] + long, ROUNDED_DIGITS),
            ]
            if demand:
                demands.setdefault(service, []).append(demand[0])
    for service, reported in demands.items():
        if (demand := sum_demand_reports(reported)) is not None:
            totals[service].append(demand)
    return totals
