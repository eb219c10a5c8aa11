"""The commands of ``geraniumlead``, one module each."""

from geraniumlead_client.commands.check import CheckCommand
from geraniumlead_client.commands.contracts import ContractsCommand
from geraniumlead_client.commands.data_centre import DataCentreCommand
from geraniumlead_client.commands.explain import ExplainCommand
from geraniumlead_client.commands.extra_attempts import ExtraAttemptsCommand
from geraniumlead_client.commands.instance import InstanceCommand
from geraniumlead_client.commands.load import LoadCommand
from geraniumlead_client.commands.losses import LossesCommand
from geraniumlead_client.commands.schema import SchemaCommand
from geraniumlead_client.commands.status import StatusCommand
from geraniumlead_client.commands.trace import TraceCommand

COMMANDS = (
    CheckCommand(),
    SchemaCommand(),
    StatusCommand(),
    ContractsCommand(),
    ExplainCommand(),
    TraceCommand(),
    LossesCommand(),
    ExtraAttemptsCommand(),
    DataCentreCommand(),
    InstanceCommand(),
    LoadCommand(),
)
