"""Hooks around each scenario."""

import pathlib
import tempfile


def before_scenario(context, scenario):
    """Give the scenario a directory of its own."""
    context.scratch = tempfile.TemporaryDirectory()
    context.directory = pathlib.Path(context.scratch.name)
    context.mesh = None
    context.trial = None


def after_scenario(context, scenario):
    """End the processes that the scenario started."""
    if context.trial is not None:
        context.trial.stop()
    if context.mesh is not None:
        context.mesh.stop()
    context.scratch.cleanup()
