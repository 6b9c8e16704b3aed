"""Submit one job of the size of a training step beside ordinary callers."""

import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import harness  # noqa: E402

MODEL = 'alpha'
INSTANCES = ('entry-0', 'entry-1', 'entry-2')
ENGINES = 16
ROUTE, DESK = 'steady', 'desk'
GROUP_SIZE = 8
ITEMS = 8192 if harness.TROUBLE else 64
MAX_BODY_BYTES = 33_554_432
TIMEOUT_MS = 1500
DEADLINE_MS = 5000
# The rule: half a second after the route's time.
SLACK_MS = 500
CALL_INTERVAL_S = 0.5
CALM_S = 5.0
PLAYED_S = 40.0
LATE_TO_FAIL = 8
LATE_SHARE_TO_FAIL = 0.25


class Callers(threading.Thread):
    """Callers of one instance; each half second one sends a request."""

    def __init__(self, deployment, record, name: str, end_at: float):
        super().__init__(daemon=True)
        self.record = record
        self.name = name
        self.address = deployment.get_address(name)
        self.end_at = end_at
        self.answered = 0
        self.long = 0
        self.late = 0
        self.lock = threading.Lock()

    def run(self) -> None:
        """Send requests until the end, and wait for their answers."""
        calls = []
        number = 0
        while (now := time.monotonic()) < self.end_at:
            number += 1
            call = threading.Thread(
                target=self._call, args=(number,), daemon=True
            )
            call.start()
            calls.append(call)
            time.sleep(max(now + CALL_INTERVAL_S - time.monotonic(), 0.0))
        for call in calls:
            call.join()

    def _call(self, number: int) -> None:
        sent_at = time.monotonic()
        status, _ = harness.call(
            self.address,
            'POST',
            f'/{DESK}/{number}',
            b'x' * 600,
            {
                'Host': harness.HOST,
                'Attempt-Id': f'{self.name}-{number}',
                'Deadline-Ms': str(DEADLINE_MS),
            },
            DEADLINE_MS / 1000,
        )
        took_ms = (time.monotonic() - sent_at) * 1000
        with self.lock:
            self.answered += status == 200
            self.long += took_ms >= TIMEOUT_MS
            self.late += took_ms > TIMEOUT_MS + SLACK_MS
        self.record.write(
            f'request {number} at {self.name}: {status} after {took_ms:.0f} ms'
        )


class Readiness(threading.Thread):
    """Asks one instance each second whether it is ready."""

    def __init__(self, deployment, record, name: str, end_at: float):
        super().__init__(daemon=True)
        self.record = record
        self.name = name
        self.address = deployment.get_address(name, 'readiness_address')
        self.end_at = end_at
        self.silent_since: float | None = None
        self.longest_s = 0.0

    def run(self) -> None:
        """Ask until the end."""
        while (now := time.monotonic()) < self.end_at:
            status, _ = harness.call(
                self.address, 'GET', '/-/readiness', timeout_s=1.0
            )
            if status:
                self.silent_since = None
            else:
                self.silent_since = self.silent_since or now
                silent_s = time.monotonic() - self.silent_since
                self.longest_s = max(self.longest_s, silent_s)
            time.sleep(max(now + 1.0 - time.monotonic(), 0.0))


def get_cpu_s(pid: int) -> float:
    """Return the processor time of a process."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / 100


def scenario(deployment: harness.Deployment, record: harness.Record) -> int:
    """Return the verdict."""
    deployment.start_platform('--engines', str(ENGINES), '--models', MODEL)
    routes = [
        harness.make_route(
            ROUTE,
            'rollout',
            'engines',
            result_deadline_ms=600_000,
            item_ttl_s=900,
        ),
        harness.make_route(
            DESK, 'idempotent', 'desk', timeout_ms=TIMEOUT_MS, max_attempts=4
        ),
    ]
    deployment.put_row(
        'op',
        'config',
        harness.make_configuration(
            1, routes, [MODEL], max_body_bytes=MAX_BODY_BYTES
        ),
    )
    for name in INSTANCES:
        deployment.start_entry(name)
    deployment.wait_ready()
    time.sleep(3.0)
    for number in range(ENGINES):
        # 0.06 s for an event; a lighter load for the stand-in.
        deployment.change_endpoint(f'engine-{number}', slowness=2.0)
    end_at = time.monotonic() + CALM_S + PLAYED_S
    callers = [Callers(deployment, record, name, end_at) for name in INSTANCES]
    checks = [
        Readiness(deployment, record, name, end_at) for name in INSTANCES
    ]
    for thread in (*callers, *checks):
        thread.start()
    time.sleep(CALM_S)
    job = harness.make_job(
        'joba', ROUTE, MODEL, ITEMS // GROUP_SIZE, GROUP_SIZE, b'x' * 300
    )
    record.write(
        f'the job has {len(json.dumps(job))} bytes of {MAX_BODY_BYTES} allowed'
    )
    cpu_s = {
        name: get_cpu_s(deployment.popen_by_name[name].pid)
        for name in INSTANCES
    }
    status = harness.submit(
        record, deployment.get_address(INSTANCES[0]), ROUTE, 'joba', job
    )
    for thread in (*callers, *checks):
        thread.join()
    for name, caller, check in zip(INSTANCES, callers, checks, strict=True):
        used_s = get_cpu_s(deployment.popen_by_name[name].pid) - cpu_s[name]
        record.write(
            f'{name}: {caller.answered} answered, {caller.long} longer than'
            f' {TIMEOUT_MS} ms, {caller.late} of them without an answer'
            f' {SLACK_MS} ms later; readiness unanswered for up to'
            f' {check.longest_s:.1f} s, {used_s:.1f} s of CPU used'
        )
    seen = deployment.get_seen()
    ran = sum(
        len(endpoint['ran'])
        for name, endpoint in seen.items()
        if name.startswith('engine-')
    )
    record.write(f'runs at the engines since the job came: {ran}')
    if status != 202:
        raise harness.CouldNotRunError('the job is not accepted')
    late = sum(caller.late for caller in callers)
    long = sum(caller.long for caller in callers)
    is_broken = late >= LATE_TO_FAIL and late > LATE_SHARE_TO_FAIL * long
    return harness.BROKEN if is_broken else harness.HELD


harness.run(FOLDER, scenario)
