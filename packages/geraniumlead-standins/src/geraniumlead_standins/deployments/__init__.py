"""The documents, settings and process plans of two example deployments."""

from geraniumlead_standins.deployments.addresses import AddressPlan
from geraniumlead_standins.deployments.deployment import Deployment
from geraniumlead_standins.deployments.documents import build_documents
from geraniumlead_standins.deployments.instances import build_instance_settings
from geraniumlead_standins.deployments.pinewick import pinewick
from geraniumlead_standins.deployments.service_size import ServiceSize
from geraniumlead_standins.deployments.upstream_plans import build_upstream_plan
from geraniumlead_standins.deployments.van_dijk import van_dijk

DEPLOYMENTS = {"van-dijk": van_dijk, "pinewick": pinewick}

__all__ = [
    "DEPLOYMENTS",
    "AddressPlan",
    "Deployment",
    "ServiceSize",
    "build_documents",
    "build_instance_settings",
    "build_upstream_plan",
    "pinewick",
    "van_dijk",
]
