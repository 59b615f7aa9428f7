"""The command line: serve, check, version, and the command groups config and control."""

import importlib
import sys

import click

from myrtleroad import __version__


class LazyGroup(click.Group):
    """A group whose lazy commands are imported only when used, so that a front stays within 64 MB.

    ``lazy_commands`` maps the name of a command to the module that defines it under this name."""

    def __init__(self, *args, lazy_commands: dict[str, str], **kwargs):
        super().__init__(*args, **kwargs)
        self.lazy_commands = lazy_commands

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands, without importing the lazy ones."""
        return sorted([*super().list_commands(ctx), *self.lazy_commands])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """The command of this name, imported now if it is lazy; None if there is none."""
        if name not in self.lazy_commands:
            return super().get_command(ctx, name)
        return getattr(importlib.import_module(self.lazy_commands[name]), name)


@click.group(
    cls=LazyGroup,
    lazy_commands={"config": "myrtleroad.config.commands", "control": "myrtleroad.control.commands"},
)
def main() -> None:
    """myrtleroad, a proxy that tries out new builds on live traffic."""


@main.command()
@click.option(
    "--with",
    "also",
    type=click.Path(exists=True, dir_okay=False),
    help="KDL file with what NODE_CONFIG lacks.",
)
def serve(also: str | None) -> None:
    """Run one front, configured by NODE_CONFIG, until SIGTERM.

    What the platform's configuration has no field for, such as the address of a control service, is read from
    a second file (see deploy/front.kdl)."""
    from myrtleroad.serve import serve as run_front

    run_front(also)


@main.command("version")
def show_version() -> None:
    """Print the version."""
    click.echo(__version__)


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check(file: str) -> None:
    """Decode a node configuration and print a summary of it."""
    from myrtleroad.net import node_config

    try:
        config = node_config.read_node_config(file)
    except node_config.ConfigError as error:
        sys.exit(f"myrtleroad: {error}")
    click.echo(
        f"{config.name}: {len(config.routes)} routes, {len(config.tenants)} tenants, "
        f"{len(config.initial_list.servers)} machines, build {config.initial_stage.build} "
        f"stage {config.initial_stage.stage} {config.initial_stage.phase.name.lower()}"
    )
