"""Starts a node."""

import sys

from arbutusstall.platform import main

sys.exit(main.main())
