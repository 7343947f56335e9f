"""Hooks around each scenario."""

import pathlib
import tempfile


def before_scenario(context, scenario):
    """Create the scenario's own temporary directory."""
    context.scratch = tempfile.TemporaryDirectory()
    context.directory = pathlib.Path(context.scratch.name)
    context.mesh = None
    context.trial = None


def after_scenario(context, scenario):
    """Stop the scenario's processes and delete its directory."""
    if context.trial is not None:
        context.trial.stop()
    if context.mesh is not None:
        context.mesh.stop()
    context.scratch.cleanup()
