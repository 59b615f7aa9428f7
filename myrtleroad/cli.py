"""The command line: serve, version, check."""

import importlib
import os
import sys

import click

from myrtleroad import __version__


class Late(click.Group):
    """Groups whose modules load only when they are called: a front fits 64 MB."""

    def __init__(self, *args, late: dict[str, str], **kwargs):
        super().__init__(*args, **kwargs)
        self.late = late

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *self.late])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in self.late:
            return super().get_command(ctx, name)
        return getattr(importlib.import_module(self.late[name]), name)


@click.group(
    cls=Late, late={"config": "myrtleroad.config.commands", "control": "myrtleroad.control.commands"}
)
def main() -> None:
    """myrtleroad, a proxy that tries out new builds on live traffic."""


@main.command()
@click.option("--with", "also", type=click.Path(exists=True, dir_okay=False), help="A KDL file of our own.")
def serve(also: str | None) -> None:
    """Run one front, as NODE_CONFIG describes it, until SIGTERM. What the platform's configuration does not
    know, as a control service, stands in a file of its own (deploy/front.kdl)."""
    # One core is shared: the linear algebra library must not start threads, each with memory of its own.
    os.environ["OPENBLAS_NUM_THREADS"] = "1"
    from myrtleroad.net import front, node_config

    try:
        told_now = node_config.read_node_config()
        program = front.Front(told_now, front_file=also)
    except node_config.ConfigError as fault:
        sys.exit(f"myrtleroad: {fault}")
    except OSError as fault:
        sys.exit(f"myrtleroad: cannot listen: {fault}")
    program.run()


@main.command("version")
def show_version() -> None:
    """Print the version."""
    click.echo(__version__)


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check(file: str) -> None:
    """Decode a configuration and say what a front would be told."""
    from myrtleroad.net import node_config

    try:
        t = node_config.read_node_config(file)
    except node_config.ConfigError as fault:
        sys.exit(f"myrtleroad: {fault}")
    click.echo(
        f"{t.name}: {len(t.routes)} routes, {len(t.tenants)} tenants, "
        f"{len(t.initial_list.servers)} machines, build {t.initial_stage.build} "
        f"stage {t.initial_stage.stage} {t.initial_stage.phase.name.lower()}"
    )
