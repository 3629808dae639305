"""The real sender's start: reads the configuration that the platform names and runs the sender with it."""

import asyncio
import json
import logging
import os
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

from message_sender.net.config import Config
from message_sender.net.control import Control
from message_sender.net.discovery import Listed
from message_sender.net.handover import come_into
from message_sender.net.loop import Loop
from message_sender.net.sender import AGAIN, Sender
from message_sender.settings import settings_from
from plumline.process_signals import block_signals, finish_unless, handle_signals
from plumline.wire.http import address_from

MEGABYTE = 1_000_000

log = logging.getLogger(__name__)


class BadConfig(Exception):  # noqa: N818
    """The configuration cannot be used; the text says why, in one line."""


def config_from(told: dict[str, Any], state: Path, control: str = "") -> Config:
    """`control` is where operators call, as the environment names it: each process has one of its own."""
    try:
        limits = told["limits"]
        return Config(
            name=told["name"],
            listen=address_from(told["listen"]),
            discovery=address_from(told["discovery"]),
            control=address_from(at) if (at := control or told.get("control")) else None,
            state=state,
            seed=int(told["seed"], 16),
            disk_bytes=int(limits["disk_mb"] * MEGABYTE),
            sockets=int(limits["sockets"]),
            known=Listed(told["known"]),
            # On sockets a list is heard only by asking for it, whatever the simulator does at this site, and
            # what the agent on this machine holds binds all the same.
            settings=replace(
                settings_from(told["settings"], ends_answered=True), must_ask=True, told_unheard=True
            ),
        )
    except KeyError as error:
        raise BadConfig(f"{error.args[0]} is missing or unknown") from None
    except (ValueError, TypeError, AttributeError, ArithmeticError) as error:
        raise BadConfig(" ".join(str(error).split())) from None


def read_config() -> Config:
    try:
        text = Path(os.environ["BALANCER_CONFIG"]).read_text()
        state, control = Path(os.environ["BALANCER_STATE"]), os.environ.get("BALANCER_CONTROL", "")
        return config_from(json.loads(text), state, control)
    except KeyError as error:
        raise BadConfig(f"${error.args[0]} is not set") from None
    except (OSError, ValueError, RecursionError) as error:
        raise BadConfig(" ".join(str(error).split())) from None


def reread(sender: Sender) -> None:
    """SIGHUP: the configuration has been replaced. A bad one changes nothing."""
    try:
        sender.reconfigure(read_config())
    except BadConfig as error:
        log.error("the new configuration is not used: %s", error)


class EarlySignals:
    """Keeps the signals that come before there is a sender, and passes on those that come later."""

    def __init__(self) -> None:
        self.reload_requested, self.stop_requested = asyncio.Event(), asyncio.Event()
        self.sender: Sender | None = None

    def on_reload(self) -> None:
        """SIGHUP."""
        self.reload_requested.set()
        if self.sender is not None:
            reread(self.sender)

    def on_terminate(self) -> None:
        """SIGTERM."""
        self.stop_requested.set()
        if self.sender is not None:
            self.sender.terminate()

    def pass_on(self, sender: Sender) -> None:
        """The sender has started: it hears what came before, and all that comes from now on."""
        self.sender = sender
        if self.reload_requested.is_set():
            reread(sender)
        if self.stop_requested.is_set():
            sender.terminate()


async def serve(config: Config) -> int:
    """Operators hear at once how far the start is; the rest waits until the state folder is its own."""
    control = Control(
        {"STATUS": lambda: "fail waiting for the state folder", "METRICS": lambda: "fail starting"}
    )
    calls = asyncio.create_task(control.serve(config.control)) if config.control else None
    signals = EarlySignals()
    # Without a handler they would end a process that has just taken clients and calls over.
    handle_signals(asyncio.get_running_loop(), signals.on_terminate, signals.on_reload)
    taken_over = await finish_unless(signals.stop_requested, come_into(config.state))
    code = 0
    if taken_over is not None:
        sender = Sender(config, taken_over.result(), control)
        await sender.start()
        signals.pass_on(sender)
        code = await sender.run()
    if calls:
        calls.cancel()
    return code


def run() -> int:
    with asyncio.Runner(loop_factory=Loop) as runner:
        code = runner.run(serve(read_config()))
        if code != AGAIN:
            block_signals()
        return code


def main() -> int:
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        while (code := run()) == AGAIN:
            log.warning("the process that took over has ended; this one starts again from the journal")
        return code
    except BadConfig as error:
        print(f"message_sender: configuration: {error}", file=sys.stderr)
    except OSError as error:
        print(f"message_sender: {error}", file=sys.stderr)  # the state folder or the address to listen on
    return 1


if __name__ == "__main__":
    sys.exit(main())
