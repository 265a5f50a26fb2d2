"""All settings of a gateway."""

import dataclasses

from gypsumbridge_node.gateway.settings import admission_settings
from gypsumbridge_node.gateway.settings import discovery_settings
from gypsumbridge_node.gateway.settings import gateway_node_settings
from gypsumbridge_node.gateway.settings import limits_settings
from gypsumbridge_node.gateway.settings import listen_settings
from gypsumbridge_node.gateway.settings import quota_settings
from gypsumbridge_node.gateway.settings import retry_settings
from gypsumbridge_node.gateway.settings import stop_settings
from gypsumbridge_node.settings import log_settings


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """One field for each section of the INI file."""

    node: gateway_node_settings.GatewayNodeSettings
    listen: listen_settings.ListenSettings
    discovery: discovery_settings.DiscoverySettings
    retry: retry_settings.RetrySettings
    admission: admission_settings.AdmissionSettings
    quota: quota_settings.QuotaSettings
    limits: limits_settings.LimitsSettings
    stop: stop_settings.StopSettings
    log: log_settings.LogSettings
