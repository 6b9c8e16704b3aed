"""Configure hypothesis: fixed seeds in tests, random ones for fuzzing."""

import os

import hypothesis

COMMON = {
    'deadline': None,
    'suppress_health_check': list(hypothesis.HealthCheck),
    'print_blob': True,
    'phases': (hypothesis.Phase.explicit, hypothesis.Phase.generate),
}
hypothesis.settings.register_profile(
    'ci', max_examples=60, derandomize=True, database=None, **COMMON
)
hypothesis.settings.register_profile(
    'fuzz',
    max_examples=int(os.environ.get('POMELOPASS_EXAMPLES', '2000')),
    **COMMON,
)
hypothesis.settings.load_profile(os.environ.get('POMELOPASS_PROFILE', 'ci'))
