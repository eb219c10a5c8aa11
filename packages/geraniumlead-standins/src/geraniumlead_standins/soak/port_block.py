import os

from geraniumlead_standins.testing.free_ports import is_free

FIRST_PORT = 26_000
BLOCKS = 8
PORTS_PER_BLOCK = 120


def find_port_block() -> int:
    """Return the first port of a free block.

    The search begins at a block that depends on the process id, so that concurrent runs mostly
    try different blocks first.
    """
    for turn in range(BLOCKS):
        block = (os.getpid() + turn) % BLOCKS
        first = FIRST_PORT + block * PORTS_PER_BLOCK
        if all(is_free(first + offset) for offset in range(PORTS_PER_BLOCK)):
            return first
    raise OSError("no block of ports is free")
