"""The command line: one program, the role is a subcommand. What a role does not need is not imported."""

import asyncio
import sys

import click

from plumline import __version__, logs
from plumline.errors import PlumlineError

EXIT_SETTINGS = 78  # as sysexits' EX_CONFIG


@click.group()
@click.version_option(__version__, prog_name="plumline")
@click.option("--log-level", default="INFO", show_default=True, help="DEBUG, INFO, WARNING or ERROR.")
def main(log_level: str) -> None:
    """A router fleet with an index of kept prompts, and the core that runs it."""
    logs.configure(log_level)


def run_role(role: str) -> None:
    from plumline import settings

    try:
        loaded = settings.from_environment()
    except PlumlineError as error:
        click.echo(f"{error.code}: {error.text}", err=True)
        sys.exit(EXIT_SETTINGS)
    if role == "router":
        from plumline.router.app import run
    else:
        from plumline.registrar.app import run
    asyncio.run(run(loaded))


@main.command()
def router() -> None:
    """Serves clients; settings are in the file that PLUMLINE_BOOT names."""
    run_role("router")


@main.command()
def registrar() -> None:
    """Keeps configuration, membership and leases; settings as for the router."""
    run_role("registrar")
