"""Test the settings of duties, as the platform fills them in."""

import pathlib
import re

import pytest

from pomelopass.entry import settings as entrysettings

TEMPLATE = pathlib.Path(__file__).parents[2] / 'deploy/settings.template.jsonc'
VALUES = {
    'bounds.fencing_enforced': 'true',
    'bounds.grace_s': '8',
    'bounds.lease_ms': '3000',
    'bounds.status_ttl_s': '120',
    'bounds.usage_late_s': '10',
    'bounds.usage_window_s': '5',
    'cloud.duties': 'usage_report,autoscale',
    'cloud.duty_per_s': '50',
    'ip': '10.0.0.1',
    'limits.cores': '1',
    'limits.cpu_share': '1',
    'limits.max_fds': '4096',
    'limits.memory_mb': '200',
}
# A section over the table itself is filled in once for each of its entries.
START = r'\{\{#cloud\.address\}\}'
END = r'\{\{/cloud\.address\}\}'
DUTY_FIELDS = (
    'duties',
    'duty_address',
    'duty_calls_per_s',
    'usage_window_s',
    'usage_late_s',
)


def check(with_cloud=True, **changes):
    """Return the checked settings of a filled-in template."""
    text = TEMPLATE.read_text(encoding='utf-8')
    text = re.sub(r'\{\{#seeds\}\}.*\{\{/seeds\}\}', '', text)
    if not with_cloud:
        text = re.sub(f'(?s){START}.*{END}', '', text)
    text = re.sub(f'{START}|{END}', '', text)
    values = VALUES | changes
    return entrysettings.check_entry_settings(
        re.sub(
            r'\{\{(.*?)\}\}',
            lambda match: values.get(match[1], '10.0.0.1:80'),
            text,
        )
    )


def test_template_gives_duties_only_where_the_platform_has_some():
    assert check().unwrap().duties == ('usage_report', 'autoscale')
    earlier = check(with_cloud=False).unwrap()
    assert not earlier.model_fields_set & set(DUTY_FIELDS)
    assert not earlier.reports_usage


# A field that is missing must not leave settings that cannot be read.
def test_missing_values_are_errors_only_where_a_duty_needs_them():
    missing = {'bounds.usage_window_s': '', 'bounds.usage_late_s': ''}
    problems = check(**missing).failure()
    assert [problem.path for problem in problems] == [
        'usage_window_s',
        'usage_late_s',
    ]
    scaling = check(**missing, **{'cloud.duties': 'autoscale'}).unwrap()
    assert scaling.usage_window_s is None


@pytest.mark.parametrize(
    ('name', 'value', 'field'),
    [
        ('cloud.address', '', 'duty_address'),
        ('cloud.duty_per_s', '0', 'duty_calls_per_s'),
        ('bounds.usage_window_s', 'nan', 'usage_window_s'),
        ('bounds.usage_late_s', '0.5', 'usage_late_s'),
    ],
)
def test_errors_name_the_field(name, value, field):
    problems = check(**{name: value}).failure()
    assert [problem.path for problem in problems] == [field]
