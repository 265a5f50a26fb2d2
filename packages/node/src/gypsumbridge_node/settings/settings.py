"""All settings of a node."""

import dataclasses

from gypsumbridge_node.settings import host_list_settings
from gypsumbridge_node.settings import limits_settings
from gypsumbridge_node.settings import log_settings
from gypsumbridge_node.settings import metrics_settings
from gypsumbridge_node.settings import mutation_settings
from gypsumbridge_node.settings import node_settings
from gypsumbridge_node.settings import store_settings
from gypsumbridge_node.settings import timing_settings


@dataclasses.dataclass(frozen=True)
class Settings:
    """One field for each section of the INI file."""

    node: node_settings.NodeSettings
    store: store_settings.StoreSettings
    host_list: host_list_settings.HostListSettings
    timing: timing_settings.TimingSettings
    limits: limits_settings.LimitsSettings
    mutation: mutation_settings.MutationSettings
    log: log_settings.LogSettings
    metrics: metrics_settings.MetricsSettings
