"""Define what every command has."""

from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace


class ManagementCommand(ABC):
    """Be one subcommand: its module holds all that is special to it."""

    name: str
    help: str

    @abstractmethod
    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the command's own arguments."""

    @abstractmethod
    def run(self, arguments: Namespace) -> int:
        """Do the work and return the exit code."""
