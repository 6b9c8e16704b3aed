"""Serve rollouts for reinforcement learning.

The public functions build an instance from settings and ports, check a
configuration, load settings, and look up policies and duties by name.
"""

import importlib

__all__ = [
    'build_instance',
    'check_configuration',
    'get_duty_by_name',
    'get_policy_by_name',
    'load_settings',
]

MODULE_BY_FUNCTION = {
    'build_instance': 'running.instance',
    'check_configuration': 'configuring.configuration',
    'get_duty_by_name': 'duty',
    'get_policy_by_name': 'policy',
    'load_settings': 'running.settings',
}


def __getattr__(name: str):
    # Imports on first use: a process loads only what its role needs.
    if name not in MODULE_BY_FUNCTION:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    module = importlib.import_module(f'.{MODULE_BY_FUNCTION[name]}', __name__)
    return getattr(module, name)
