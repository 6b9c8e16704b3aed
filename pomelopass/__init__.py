"""Serve rollouts for reinforcement learning.

The verbs of the package: build an instance from settings and ports, check
a configuration, load settings, look policies and duties up by name.
"""

from .configuration import check_configuration
from .duty import get_duty_by_name
from .instance import build_instance
from .policy import get_policy_by_name
from .settings import load_settings

__all__ = [
    'build_instance',
    'check_configuration',
    'get_duty_by_name',
    'get_policy_by_name',
    'load_settings',
]
