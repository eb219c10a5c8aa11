from geraniumlead.settings import InstanceSettings, ListenSettings
from geraniumlead_standins.deployments.addresses import AddressPlan
from geraniumlead_standins.deployments.deployment import Deployment


def build_instance_settings(
    deployment: Deployment, addresses: AddressPlan
) -> dict[str, InstanceSettings]:
    """Return the settings of all entry instances of a deployment, by instance id."""
    settings = {}
    for data_centre in deployment.data_centres:
        for instance_id in deployment.instance_ids(data_centre):
            callers, operators, peers = addresses.instances[instance_id]
            settings[instance_id] = InstanceSettings(
                instance_id=instance_id,
                data_centre=data_centre,
                listen=ListenSettings(callers=callers, operators=operators, peers=peers),
                platform_addresses=[addresses.platform],
            )
    return settings
