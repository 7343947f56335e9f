"""Settings of the C library's memory allocator."""

import ctypes
import logging

LOG = logging.getLogger(__name__)

# Number of the option in <malloc.h>.
_M_MMAP_THRESHOLD = -3
_LARGE_BLOCK_BYTES = 256 * 1024


def return_large_blocks() -> None:
    """Return large blocks to the system as soon as they are freed.

    By default glibc takes blocks as large as the largest one freed so far
    from its heap, where those of different lifetimes leave gaps. Another C
    library keeps its own rule.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as exc:
        LOG.info({"event": "allocator-unchanged", "reason": str(exc)})
        return
    mallopt(_M_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)
