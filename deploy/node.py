"""Starts a node."""

import signal
import sys

# Until the node can take it, a change of the settings must not end it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from arbutusstall.platform import main  # noqa: E402

sys.exit(main.main())
