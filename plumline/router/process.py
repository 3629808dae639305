"""The router process: connects the feed, the HTTP server and the request path."""

import asyncio

from plumline import logs
from plumline.counters import Counters
from plumline.process_signals import handle_signals
from plumline.router.dispatch import Dispatcher
from plumline.router.lifecycle import Lifecycle
from plumline.router.readiness import Readiness
from plumline.router.router_state import retry_budget
from plumline.router.subscriber import FeedSubscriber
from plumline.routing.fleet import Fleet
from plumline.settings import Settings, SettingsFile
from plumline.wire.server import FixedLimits, Server

BODY_MEMORY_SHARE = 1 / 4  # of the process's memory that request bodies may occupy together
SUMMARY_INTERVAL_S = 10.0  # between log summaries of the counters
#: Used until a configuration is known. Generous, so that requests which the configuration will allow are
#: answered with 503, not with 413 or 431.
UNCONFIGURED_LIMITS = FixedLimits(header_bytes=64 * 1024, body_bytes=16 * 1024 * 1024)

log = logs.logger("router")


class Router:
    """One process of the data plane."""

    def __init__(self, settings: Settings, file: SettingsFile | None = None) -> None:
        self.settings, self.file = settings, file or SettingsFile(None)
        self.loop = asyncio.get_running_loop()
        self.counters, self.fleet = Counters(), Fleet()
        self.subscriber = FeedSubscriber(settings, self.fleet, self.counters, self.file)
        bounds = settings.bounds
        self.budget = retry_budget(settings, self.loop.time())
        self.dispatcher = Dispatcher(settings, self.fleet, self.counters, self.loop.time, budget=self.budget)
        self.dispatcher.publish_prompt_event = self.subscriber.publish_prompt_event
        self.subscriber.local_loads = self.dispatcher.work_rates
        self.subscriber.rollout_reports = self.dispatcher.rollout_reports
        self.subscriber.on_fleet_loads = self.dispatcher.on_fleet_work
        self.subscriber.on_prompt_events = self.dispatcher.on_prompt_events
        self.server = Server(
            self.dispatcher.handle,
            lambda: self.fleet.table.limits if self.fleet.table else UNCONFIGURED_LIMITS,
            self.counters.group("clients"),
            max_buffered_body_bytes=int(settings.limits.memory_mb * 1024 * 1024 * BODY_MEMORY_SHARE),
        )
        self.lifecycle = Lifecycle(
            self.server,
            self.is_initialized,
            bounds.grace_period_s,
            on_drain=self.dispatcher.begin_draining,
            end_requests=self.dispatcher.end_requests,
        )
        self.readiness = Readiness(self.lifecycle.ready)

    def is_initialized(self) -> bool:
        """Whether a configuration and a list of endpoints are known."""
        return self.fleet.table is not None and bool(self.fleet.endpoints)

    async def log_counters(self) -> None:
        """Logs changed counters at regular intervals."""
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL_S)
            for line in self.counters.changed_lines():
                log.info(line)

    async def run(self) -> None:
        """Runs until SIGTERM, and then until all requests are answered or the grace period ends."""
        handle_signals(self.loop, self.lifecycle.begin_shutdown, self.file.request_reload)
        if self.settings.front_http is not None:
            await self.server.listen(self.settings.front_http)
        if self.settings.readiness is not None:
            await self.readiness.listen(self.settings.readiness)
        log.info(logs.event("started", node=self.settings.node_name))
        tasks = [self.loop.create_task(each) for each in (self.subscriber.run(), self.log_counters())]
        stopped = self.loop.create_task(self.lifecycle.run_until_stopped())
        done, _ = await asyncio.wait([*tasks, stopped], return_when=asyncio.FIRST_COMPLETED)
        for task in done - {stopped}:
            task.result()
        self.subscriber.close()
        self.readiness.end()
        for task in tasks:
            task.cancel()
        for line in self.counters.changed_lines():
            log.info(line)
        log.info(logs.event("stopped", **self.lifecycle.drain_summary()))


async def run(settings: Settings, file: SettingsFile | None = None) -> None:
    """Runs a router until SIGTERM."""
    await Router(settings, file).run()
