"""Exit codes of the command."""

OK = 0
FOUND_PROBLEMS = 1
"""For example errors in a file, an instance that does not answer, or too little capacity left."""

USAGE = 2
"""The command line is wrong; argparse uses the same code."""

NOT_FOUND = 3
"""No instance, document or log has what was asked for."""

UNREACHABLE = 4
"""No instance answered."""
