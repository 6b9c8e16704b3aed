"""Run both example deployments as processes and print the responses."""

import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile

from scripts import entrydemo
from scripts import fleet
from scripts import layout
from scripts import probe

__all__ = ['main']

EXAMPLES = fleet.ROOT / 'examples'
STEPS = 3
PROMPTS = 4
GROUP_SIZE = 4
CALLS = 6
ENTRIES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A deployment, its requests and the least number of samples."""

    title: str
    deployment: layout.Deployment
    trainer: str
    model: str
    order_target: str
    query_target: str
    min_samples: int


SCENARIOS = (
    Scenario(
        'Sinaleira Nordeste Peças',
        layout.Deployment(
            ('recife', 'fortaleza', 'natal'),
            {'part-engines': 4, 'spares-engines': 3},
            {'order-desk': 2},
            ('part-engines',),
            EXAMPLES / 'sinaleira.jsonc',
            ENTRIES,
        ),
        'part-matching-trainer',
        'spares-ordering',
        '/services/crossing-orders/orders',
        '/services/stock/stock?part=lens',
        STEPS * PROMPTS * GROUP_SIZE,
    ),
    Scenario(
        'Al Nakheel Street Banner Power Cooperative',
        layout.Deployment(
            ('ruwi', 'seeb', 'qurum'),
            {'notice-engines': 5, 'ledger-engines': 4},
            {'ledger-desk': 2},
            ('ledger-engines',),
            EXAMPLES / 'al-nakheel.jsonc',
            ENTRIES,
        ),
        'notice-trainer',
        'member-ledger',
        '/services/ledger-charges/charges',
        '/services/members/members/17',
        STEPS * PROMPTS * GROUP_SIZE * 3 // 4,
    ),
)


def main() -> int:
    """Run each scenario; return 1 if a check failed."""
    errors = []
    for scenario in SCENARIOS:
        print(f'== {scenario.title}')
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            with fleet.Fleet(path, scenario.deployment) as running:
                errors.extend(run_scenario(running, scenario))
    print('== Entry instances on the platform')
    with tempfile.TemporaryDirectory() as folder:
        errors.extend(entrydemo.run_entries(pathlib.Path(folder)))
    for error in errors:
        print(f'ERROR: {error}')
    print('demo failed' if errors else 'demo passed: all counts are correct')
    return 1 if errors else 0


def run_scenario(running: fleet.Fleet, scenario: Scenario) -> list[str]:
    """Start the processes, run callers and a trainer, and stop all."""
    running.start_all()
    path = str(scenario.deployment.configuration)
    proposed = running.run_tool('config', 'propose', path, '--base', '0')
    print(proposed.stdout.strip(), proposed.stderr.strip())
    running.wait_ready()
    wait_for_peers(running)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        trainer = pool.submit(run_trainer, running, scenario)
        errors = run_callers(running, scenario)
        errors += trainer.result()
    errors += check_orders(running, scenario)
    errors += stop_all(running)
    return errors


def wait_for_peers(running: fleet.Fleet) -> None:
    """Wait until /entries lists several instances."""
    expected_count = min(8, len(running.get_entries()))
    address = running.get_entries()[0].address
    probe.wait_for(
        lambda: (
            len(probe.call(address, 'GET', '/entries')[1]['entries'])
            >= expected_count
        )
    )


def run_callers(running: fleet.Fleet, scenario: Scenario) -> list[str]:
    """Make calls through different instances; return the errors."""
    errors = []
    first = running.get_entries()[0].address
    zone = scenario.deployment.zones[1]
    listed = probe.call(first, 'GET', f'/entries?zone={zone}')[1]
    addresses = [entry['address'] for entry in listed['entries']]
    print(f'caller in {zone}: entries {", ".join(addresses)}')
    for index in range(CALLS):
        address = addresses[index % len(addresses)]
        errors += call_once(address, scenario, index)
    return errors


def call_once(address: str, scenario: Scenario, index: int) -> list[str]:
    """Send a query, a repeated order and a completion; return errors."""
    errors = []
    status, body = probe.call(address, 'GET', scenario.query_target)
    print(f'caller {index}: query -> {status} {json.dumps(body)}')
    if status != 200 or body['asked'] not in scenario.query_target:
        errors.append(f'query {index}: {status} {body}')
    order = {'order': f'order-{index}'}
    headers = {'Idempotency-Key': f'demo-{index}'}
    for attempt in ('first', 'second'):
        status, body = probe.call(
            address, 'POST', scenario.order_target, order, headers
        )
        print(f'caller {index}: order, {attempt} attempt -> {status} {body}')
        if status != 200 or body['order'] != order['order']:
            errors.append(f'order {index}: {status} {body}')
    completion = {
        'model': scenario.model,
        'prompt': f'p {index}',
        'max_tokens': 8,
    }
    status, body = probe.call(address, 'POST', '/v1/completions', completion)
    text = body.get('choices', [{}])[0].get('text')
    print(f'caller {index}: completion -> {status} {text!r}')
    if status != 200 or not text:
        errors.append(f'completion {index}: {status} {body}')
    return errors


def run_trainer(running: fleet.Fleet, scenario: Scenario) -> list[str]:
    """Run the trainer process; return the errors in its batches."""
    entries = ','.join(entry.address for entry in running.get_entries())
    completed = subprocess.run(
        [
            sys.executable,
            *('-m', 'standins', 'trainer', '--trainer', scenario.trainer),
            *('--entries', entries, '--steps', str(STEPS)),
            *('--prompts', str(PROMPTS), '--first-version', '1'),
            *('--weight-store', running.process_by_name['weights'].address),
        ],
        cwd=fleet.ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    if completed.returncode != 0:
        return [f'trainer: {completed.stderr[-500:]}']
    lines = [json.loads(line) for line in completed.stdout.splitlines()]
    return check_batches(scenario, lines[:-1], lines[-1])


def check_batches(
    scenario: Scenario, batches: list[dict], summary: dict
) -> list[str]:
    """Return the errors in the batches that a trainer received."""
    errors = []
    sample_ids: set[str] = set()
    for batch in batches:
        ids = [sample[0] for sample in batch['samples']]
        versions = sorted(
            {version for sample in batch['samples'] for version in sample[1]}
        )
        print(
            f'{scenario.trainer}: step {batch["step"]}: {len(ids)} samples'
            f' by versions {versions}, published'
            f' {batch["published_version"]}, same on repeated request:'
            f' {batch["same_again"]}'
        )
        if not batch['same_again']:
            errors.append(
                f'step {batch["step"]} changed on a repeated request'
            )
        if sample_ids & set(ids) or len(ids) != len(set(ids)):
            errors.append(f'step {batch["step"]} repeats samples')
        sample_ids.update(ids)
        if min(versions) < batch['published_version'] - 1:
            errors.append(f'step {batch["step"]} has stale samples')
    if len(sample_ids) < scenario.min_samples:
        errors.append(f'{len(sample_ids)} samples in all steps are too few')
    last = batches[-1]
    if last['published_version'] != STEPS:
        errors.append(
            f'last batch has published version {last["published_version"]}'
        )
    idle, total = summary['idle_ms'], summary['total_ms']
    print(f'{scenario.trainer}: waited {idle:.0f} ms of {total:.0f} ms')
    return errors


def check_orders(running: fleet.Fleet, scenario: Scenario) -> list[str]:
    """Check that each order ran once, by the plain services' counts."""
    counts: dict[str, int] = {}
    for pool, number in scenario.deployment.services_by_pool.items():
        for index in range(number):
            address = running.process_by_name[f'{pool}-{index}'].address
            counts_by_order = probe.call(address, 'GET', '/ran')[1]['counts']
            for key, count in counts_by_order.items():
                counts[key] = counts.get(key, 0) + count
    print(f'orders that ran, by the services: {counts}')
    if counts != {f'order-{index}': 1 for index in range(CALLS)}:
        return [f'orders ran {counts}']
    return []


def stop_all(running: fleet.Fleet) -> list[str]:
    """Stop every instance gracefully; return the errors."""
    entries = running.get_entries()
    for entry in entries:
        entry.popen.terminate()
    errors = []
    for entry in entries:
        status = entry.popen.wait(timeout=30)
        if status != 0:
            errors.append(f'{entry.name} ended with status {status}')
    print(f'{len(entries)} instances stopped gracefully')
    return errors


if __name__ == '__main__':
    sys.exit(main())
