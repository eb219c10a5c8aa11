from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace


class ManagementCommand(ABC):
    """The base class of all subcommands.

    The module of a subcommand holds everything that is specific to it.
    """

    name: str
    help: str

    @abstractmethod
    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the command's own arguments."""

    @abstractmethod
    def run(self, arguments: Namespace) -> int:
        """Run the command and return the exit code."""
