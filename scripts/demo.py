"""Run both deployments as processes and print what each caller got."""

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
    """Name what is asked of a deployment."""

    title: str
    deployment: layout.Deployment
    trainer: str
    model: str
    order_target: str
    question: str
    least_samples: int


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
    """Run each scenario; return 1 when a count is off."""
    faults = []
    for scenario in SCENARIOS:
        print(f'== {scenario.title}')
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            with fleet.Fleet(path, scenario.deployment) as running:
                faults.extend(run_scenario(running, scenario))
    print('== Entry instances on the platform')
    with tempfile.TemporaryDirectory() as folder:
        faults.extend(entrydemo.run_entries(pathlib.Path(folder)))
    for fault in faults:
        print(f'FAULT: {fault}')
    print('demo failed' if faults else 'demo passed: all counts are right')
    return 1 if faults else 0


def run_scenario(running: fleet.Fleet, scenario: Scenario) -> list[str]:
    """Start the processes, run callers and a trainer, stop all."""
    running.start_all()
    path = str(scenario.deployment.configuration)
    proposed = running.run_tool('config', 'propose', path, '--base', '0')
    print(proposed.stdout.strip(), proposed.stderr.strip())
    running.wait_ready()
    wait_for_peers(running)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        trainer = pool.submit(run_trainer, running, scenario)
        faults = run_callers(running, scenario)
        faults += trainer.result()
    faults += check_orders(running, scenario)
    faults += stop_all(running)
    return faults


def wait_for_peers(running: fleet.Fleet) -> None:
    """Wait until /entries names several instances."""
    wanted = min(8, len(running.get_entries()))
    address = running.get_entries()[0].address
    probe.wait_for(
        lambda: (
            len(probe.call(address, 'GET', '/entries')[1]['entries']) >= wanted
        )
    )


def run_callers(running: fleet.Fleet, scenario: Scenario) -> list[str]:
    """Make calls through different instances; return what is wrong."""
    faults = []
    first = running.get_entries()[0].address
    zone = scenario.deployment.zones[1]
    listed = probe.call(first, 'GET', f'/entries?zone={zone}')[1]
    addresses = [one['address'] for one in listed['entries']]
    print(f'caller in {zone}: entries {", ".join(addresses)}')
    for index in range(CALLS):
        address = addresses[index % len(addresses)]
        faults += call_once(address, scenario, index)
    return faults


def call_once(address: str, scenario: Scenario, index: int) -> list[str]:
    """Make one call of each sort at an instance."""
    faults = []
    status, body = probe.call(address, 'GET', scenario.question)
    print(f'caller {index}: question -> {status} {json.dumps(body)}')
    if status != 200 or body['asked'] not in scenario.question:
        faults.append(f'question {index}: {status} {body}')
    order = {'order': f'order-{index}'}
    headers = {'Idempotency-Key': f'demo-{index}'}
    for send in ('first', 'second'):
        status, body = probe.call(
            address, 'POST', scenario.order_target, order, headers
        )
        print(f'caller {index}: order, {send} send -> {status} {body}')
        if status != 200 or body['order'] != order['order']:
            faults.append(f'order {index}: {status} {body}')
    ask = {'model': scenario.model, 'prompt': f'p {index}', 'max_tokens': 8}
    status, body = probe.call(address, 'POST', '/v1/completions', ask)
    text = body.get('choices', [{}])[0].get('text')
    print(f'caller {index}: completion -> {status} {text!r}')
    if status != 200 or not text:
        faults.append(f'completion {index}: {status} {body}')
    return faults


def run_trainer(running: fleet.Fleet, scenario: Scenario) -> list[str]:
    """Run the trainer process; return what is wrong in its batches."""
    entries = ','.join(one.address for one in running.get_entries())
    done = subprocess.run(
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
    if done.returncode != 0:
        return [f'trainer: {done.stderr[-500:]}']
    lines = [json.loads(line) for line in done.stdout.splitlines()]
    return check_batches(scenario, lines[:-1], lines[-1])


def check_batches(
    scenario: Scenario, batches: list[dict], summary: dict
) -> list[str]:
    """Return what is wrong in the batches that a trainer got."""
    faults = []
    seen: set[str] = set()
    for batch in batches:
        ids = [one[0] for one in batch['samples']]
        versions = sorted({v for one in batch['samples'] for v in one[1]})
        print(
            f'{scenario.trainer}: step {batch["step"]}: {len(ids)} samples'
            f' by versions {versions}, published'
            f' {batch["published_version"]}, same when asked again:'
            f' {batch["same_again"]}'
        )
        if not batch['same_again']:
            faults.append(f'step {batch["step"]} changed')
        if seen & set(ids) or len(ids) != len(set(ids)):
            faults.append(f'step {batch["step"]} repeats samples')
        seen.update(ids)
        if min(versions) < batch['published_version'] - 1:
            faults.append(f'step {batch["step"]} has stale samples')
    if len(seen) < scenario.least_samples:
        faults.append(f'{len(seen)} samples in all')
    last = batches[-1]
    if last['published_version'] != STEPS:
        faults.append(f'last batch at version {last["published_version"]}')
    idle, total = summary['idle_ms'], summary['total_ms']
    print(f'{scenario.trainer}: waited {idle:.0f} ms of {total:.0f} ms')
    return faults


def check_orders(running: fleet.Fleet, scenario: Scenario) -> list[str]:
    """Compare with what the plain services themselves counted."""
    counts: dict[str, int] = {}
    for pool, number in scenario.deployment.services_by_pool.items():
        for index in range(number):
            address = running.process_by_name[f'{pool}-{index}'].address
            seen = probe.call(address, 'GET', '/ran')[1]['counts']
            for key, count in seen.items():
                counts[key] = counts.get(key, 0) + count
    print(f'orders that ran, by the services: {counts}')
    if counts != {f'order-{index}': 1 for index in range(CALLS)}:
        return [f'orders ran {counts}']
    return []


def stop_all(running: fleet.Fleet) -> list[str]:
    """Stop every instance gracefully; return those that did not."""
    entries = running.get_entries()
    for one in entries:
        one.popen.terminate()
    faults = []
    for one in entries:
        status = one.popen.wait(timeout=30)
        if status != 0:
            faults.append(f'{one.name} ended with status {status}')
    print(f'{len(entries)} instances stopped gracefully')
    return faults


if __name__ == '__main__':
    sys.exit(main())
