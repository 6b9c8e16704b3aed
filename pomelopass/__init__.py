"""Serve rollouts for reinforcement learning.

The verbs of the package: build an instance from settings and ports, check
a configuration, load settings, look policies and duties up by name.
"""

import importlib

__all__ = [
    'build_instance',
    'check_configuration',
    'get_duty_by_name',
    'get_policy_by_name',
    'load_settings',
]

MODULE_BY_VERB = {
    'build_instance': 'running.instance',
    'check_configuration': 'configuring.configuration',
    'get_duty_by_name': 'duty',
    'get_policy_by_name': 'policy',
    'load_settings': 'running.settings',
}


def __getattr__(name: str):
    # A process imports only what its role needs.
    if name not in MODULE_BY_VERB:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    module = importlib.import_module(f'.{MODULE_BY_VERB[name]}', __name__)
    return getattr(module, name)
