"""Write the examples: ``python -m geraniumlead_standins.deployments``."""

import argparse
from pathlib import Path

from geraniumlead.documents import ContractDocument, DataCentreDocument
from geraniumlead_standins.deployments import (
    DEPLOYMENTS,
    AddressPlan,
    Deployment,
    build_documents,
    build_instance_settings,
)
from geraniumlead_standins.deployments.rendering import render

EXAMPLE_BASE_PORT = 20_000


def build_example_files(deployment: Deployment, is_complete: bool) -> dict[str, bytes]:
    """Return the contents of every file of an example, by its relative path.

    The short form has contracts, data centres and one settings file. The complete form adds the
    lists, the indexes and the settings of all instances, which are long and can be derived from
    the sizes.
    """
    addresses = AddressPlan.from_base_port(deployment, EXAMPLE_BASE_PORT)
    documents = build_documents(deployment, addresses)
    files = {
        f"{key.removeprefix('geraniumlead/')}.json": render(document)
        for key, document in documents.items()
        if is_complete or isinstance(document, ContractDocument | DataCentreDocument)
    }
    settings = build_instance_settings(deployment, addresses)
    shown = settings if is_complete else list(settings)[:1]
    return files | {f"settings/{name}.json": render(settings[name]) for name in shown}


def main() -> None:
    """Write both examples to a folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, default=Path("examples"))
    parser.add_argument("--complete", action="store_true", help="include the long lists")
    arguments = parser.parse_args()
    for name, build in DEPLOYMENTS.items():
        for path, text in build_example_files(build(), arguments.complete).items():
            target = arguments.folder / name / path
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_bytes(text)


if __name__ == "__main__":
    main()
