"""Collects the package's log lines in the test process."""

import logging


class Collector(logging.Handler):
    """Keeps the fields of each line.

    Attributes:
        lines: Fields of the lines, in their order.
    """

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        """Keep one line."""
        self.lines.append(record.msg)


def collect(context):
    """Return a collector that is removed after the scenario."""
    collector = Collector()
    log = logging.getLogger("arbutusstall")
    log.addHandler(collector)
    context.add_cleanup(log.removeHandler, collector)
    return collector
