"""Submit jobs to an instance that wakes from a freeze."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import harness  # noqa: E402

MODELS = ['alpha']
INSTANCES = ('entry-0', 'entry-1', 'entry-2')
FROZEN = 'entry-1'
ROUTE = 'steady'
FREEZE_S = 1.7
# The submission arrives this long before the instance wakes.
LEAD_S = 0.15
ROUNDS = 6
ITEM_TTL_S = 5.0
# Far above what the clocks of two processes of one machine may differ.
SLACK_S = 0.5


def run_round(
    deployment: harness.Deployment, record: harness.Record, job_id: str
) -> int:
    """Return how many items of a job are given up too early."""
    if harness.TROUBLE:
        deployment.signal(FROZEN, signal.SIGSTOP)
    time.sleep(FREEZE_S - LEAD_S)
    sent_at = time.monotonic()
    wake = threading.Timer(
        LEAD_S, deployment.signal, (FROZEN, signal.SIGCONT)
    )
    wake.start()
    status = harness.submit(
        record,
        deployment.get_address(FROZEN),
        ROUTE,
        job_id,
        harness.make_job(job_id, ROUTE, MODELS[0], 4, 6),
    )
    wake.join()
    if status != 202:
        raise harness.CouldNotRunError('the job is not accepted')
    early = []

    def check(result: dict) -> None:
        age_s = time.monotonic() - sent_at
        if result['state'] == 'terminated' and age_s < ITEM_TTL_S - SLACK_S:
            early.append(age_s)
            record.write(f'{result["id"]} is given up after {age_s:.2f} s')

    results, total = harness.read_results(
        record,
        deployment.get_address(INSTANCES[0]),
        job_id,
        time.monotonic() + 15.0,
        check,
    )
    states = [result['state'] for result in results]
    record.write(
        f'{job_id}: {states.count("completed")} completed,'
        f' {states.count("terminated")} terminated of {total},'
        f' {len(early)} before {ITEM_TTL_S} s'
    )
    if len(results) != total:
        raise harness.CouldNotRunError('the job does not end')
    return len(early)


def scenario(deployment: harness.Deployment, record: harness.Record) -> int:
    deployment.start_platform(
        '--engines', '4', '--models', ','.join(MODELS)
    )
    route = harness.make_route(
        ROUTE,
        'rollout',
        'engines',
        result_deadline_ms=5000,
        item_ttl_s=ITEM_TTL_S,
    )
    configuration = harness.make_configuration(1, [route], MODELS)
    deployment.put_row('op', 'config', configuration)
    for name in INSTANCES:
        deployment.start_entry(name)
    deployment.wait_ready()
    time.sleep(4.0)
    for number in range(4):
        # 0.6 s for an event, 30 events at most.
        deployment.change_endpoint(f'engine-{number}', slowness=20.0)

    early = 0
    for number in range(ROUNDS):
        early += run_round(deployment, record, f'job{number}')
    record.write(f'{early} items given up before {ITEM_TTL_S} s in all')
    return harness.BROKEN if early else harness.HELD


harness.run(FOLDER, scenario)
