"""Name the exit codes of the command."""

OK = 0
FOUND_PROBLEMS = 1
"""Errors in a file, an instance that does not answer, or too little capacity left."""

USAGE = 2
"""The command line is wrong; argparse uses it too."""

NOT_FOUND = 3
"""No instance knows what was asked for."""

UNREACHABLE = 4
"""No instance answered at all."""
