"""Entry point of the sender: reads the configuration from the environment and runs the sender."""

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
from message_sender.net.discovery import EndpointList
from message_sender.net.handover import acquire_state_folder
from message_sender.net.loop import Loop
from message_sender.net.sender import EXIT_RESTART, Sender
from message_sender.settings import settings_from
from plumline.process_signals import block_signals, cancel_on_event, handle_signals
from plumline.wire.http import address_from

MEGABYTE = 1_000_000

log = logging.getLogger(__name__)


class BadConfig(Exception):  # noqa: N818
    """The configuration is invalid; the message gives the reason in one line."""


def config_from(document: dict[str, Any], state: Path, control: str = "") -> Config:
    """`control`: the operators' address from the environment, which differs for each process."""
    try:
        limits = document["limits"]
        return Config(
            name=document["name"],
            listen=address_from(document["listen"]),
            discovery=address_from(document["discovery"]),
            control=address_from(at) if (at := control or document.get("control")) else None,
            state=state,
            seed=int(document["seed"], 16),
            disk_bytes=int(limits["disk_mb"] * MEGABYTE),
            sockets=int(limits["sockets"]),
            known=EndpointList(document["known"]),
            # On sockets a list must always be requested, whatever the simulator does at this site, and the
            # list cached on this machine applies as well.
            settings=replace(
                settings_from(document["settings"], ends_acknowledged=True),
                must_subscribe=True,
                wait_for_fresh_list=True,
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


def reload_configuration(sender: Sender) -> None:
    """Applies the replaced configuration after SIGHUP. An invalid one changes nothing."""
    try:
        sender.reconfigure(read_config())
    except BadConfig as error:
        log.error("the new configuration is not used: %s", error)


class EarlySignals:
    """Records signals that arrive before the sender exists, and passes later ones to it."""

    def __init__(self) -> None:
        self.reload_requested, self.stop_requested = asyncio.Event(), asyncio.Event()
        self.sender: Sender | None = None

    def on_reload(self) -> None:
        """SIGHUP."""
        self.reload_requested.set()
        if self.sender is not None:
            reload_configuration(self.sender)

    def on_terminate(self) -> None:
        """SIGTERM."""
        self.stop_requested.set()
        if self.sender is not None:
            self.sender.terminate()

    def pass_on(self, sender: Sender) -> None:
        """Passes the signals received so far to the started sender, and later ones as they arrive."""
        self.sender = sender
        if self.reload_requested.is_set():
            reload_configuration(sender)
        if self.stop_requested.is_set():
            sender.terminate()


async def serve(config: Config) -> int:
    """Runs the sender. Operators can query it at once; the rest waits until this process owns the state
    folder."""
    control = Control(
        {"STATUS": lambda: "fail waiting for the state folder", "METRICS": lambda: "fail starting"}
    )
    calls = asyncio.create_task(control.serve(config.control)) if config.control else None
    signals = EarlySignals()
    # Without a handler a signal would end a process that has just taken over clients and calls.
    handle_signals(asyncio.get_running_loop(), signals.on_terminate, signals.on_reload)
    taken_over = await cancel_on_event(signals.stop_requested, acquire_state_folder(config.state))
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
        block_signals()  # until the next run, if there is one, installs its handlers
        return code


def main() -> int:
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        while (code := run()) == EXIT_RESTART:
            log.warning("the successor has ended; this process starts again from the journal")
        return code
    except BadConfig as error:
        print(f"message_sender: configuration: {error}", file=sys.stderr)
    except OSError as error:
        # the state folder or the listening address is unusable
        print(f"message_sender: {error}", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
