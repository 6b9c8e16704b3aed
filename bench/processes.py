"""Measure daemon processes on the local machine."""

import asyncio
import pathlib
import tempfile
import time

from bench import load
from bench import target
from pomelopass.edges import httpclient
from pomelopass import message
from scripts import fleet
from scripts import layout
from scripts import probe

__all__ = ['measure_processes']

P50_TARGET = target.Target('time added to a short call, p50', 2.0, 'ms')
P99_TARGET = target.Target('time added to a short call, p99', 8.0, 'ms')
TOKEN_TARGET = target.Target(
    'streamed tokens a second on half a core of one instance',
    12_000,
    'tokens/s',
    True,
)
IDLE_CORE_TARGET = target.Target(
    'processor time of one instance at rest, of a core', 3.2, '%'
)
IDLE_BYTES_TARGET = target.Target('memory of one instance at rest', 32.0, 'MB')
READS_TARGET = target.Target('table reads at rest', 800, 'reads/s')
WRITES_TARGET = target.Target('table writes at rest', 200, 'writes/s')
START_TARGET = target.Target('start of one instance to ready', 5.0, 's')
STREAM_TARGET = target.Target('memory for each open stream', 256.0, 'KB')
EXAMPLE = fleet.ROOT / 'examples' / 'sinaleira.jsonc'
CALLS = 400
STREAMS = 48
STREAM_TOKENS = 400
IDLE_S = 8.0
TICKS_PER_S = 100
PAGE_KB = 4


def measure_processes() -> list[target.Outcome]:
    """Run a fleet of 12 instances and measure individual ones."""
    deployment = layout.Deployment(
        ('recife', 'fortaleza', 'natal'),
        {'part-engines': 4, 'spares-engines': 3},
        {'order-desk': 2},
        ('part-engines',),
        EXAMPLE,
        12,
    )
    with tempfile.TemporaryDirectory() as folder:
        with fleet.Fleet(pathlib.Path(folder), deployment) as running:
            running.start_all()
            running.run_tool('config', 'propose', str(EXAMPLE), '--base', '0')
            running.wait_ready()
            time.sleep(5)
            return [
                *_measure_idle(running),
                *_measure_added_latency(running),
                *_measure_streams(running),
                *_measure_start(running),
            ]


def _read_cpu_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _read_memory_kb(pid: int) -> int:
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * PAGE_KB


def _measure_idle(running: fleet.Fleet) -> list[target.Outcome]:
    entry = running.get_entries()[0]
    table = running.process_by_name['table'].address
    pid = entry.popen.pid
    before = probe.call(table, 'GET', '/counts')[1]
    cpu_s = _read_cpu_s(pid)
    time.sleep(IDLE_S)
    used_s = _read_cpu_s(pid) - cpu_s
    after = probe.call(table, 'GET', '/counts')[1]
    reads = (after['reads'] - before['reads']) / IDLE_S
    writes = (after['writes'] - before['writes']) / IDLE_S
    memory_mb = _read_memory_kb(pid) / 1024
    return [
        target.Outcome(IDLE_CORE_TARGET, 100 * used_s / IDLE_S),
        target.Outcome(IDLE_BYTES_TARGET, memory_mb),
        target.Outcome(READS_TARGET, reads),
        target.Outcome(WRITES_TARGET, writes),
    ]


def _measure_added_latency(running: fleet.Fleet) -> list[target.Outcome]:
    entry = running.get_entries()[0].address
    service = running.process_by_name['order-desk-0'].address
    entry_ms = asyncio.run(_time_calls(entry, '/services/stock/stock?part=1'))
    direct_ms = asyncio.run(_time_calls(service, '/stock?part=1'))
    outcomes = []
    for compared, percent in ((P50_TARGET, 50), (P99_TARGET, 99)):
        with_entry_ms = load.get_percentile(entry_ms, percent)
        direct_percentile_ms = load.get_percentile(direct_ms, percent)
        baselines = {
            'direct call': direct_percentile_ms,
            'ratio': with_entry_ms / direct_percentile_ms,
        }
        added_ms = with_entry_ms - direct_percentile_ms
        outcomes.append(target.Outcome(compared, added_ms, baselines))
    return outcomes


async def _time_calls(address: str, path: str) -> list[float]:
    client = httpclient.HttpClient()
    took_ms = []
    for _ in range(CALLS):
        started_s = time.perf_counter()
        reply = await client.open(address, message.Request('GET', path), 5000)
        await reply.read(1 << 20)
        took_ms.append((time.perf_counter() - started_s) * 1000)
    await client.close()
    return took_ms


def _measure_streams(running: fleet.Fleet) -> list[target.Outcome]:
    entry = running.get_entries()[1]
    for name in running.process_by_name:
        if name.startswith('spares-engines'):
            running.set_faults(name, slow_factor=0.2)
    pid = entry.popen.pid
    memory_kb = _read_memory_kb(pid)
    cpu_s = _read_cpu_s(pid)
    tokens, peak_kb = asyncio.run(_run_streams(entry.address, pid))
    used_s = _read_cpu_s(pid) - cpu_s
    per_stream_kb = max(0, peak_kb - memory_kb) / STREAMS
    return [
        target.Outcome(TOKEN_TARGET, tokens / used_s / 2),
        target.Outcome(STREAM_TARGET, per_stream_kb),
    ]


async def _run_streams(address: str, pid: int) -> tuple[int, int]:
    client = httpclient.HttpClient()
    streams = [
        asyncio.ensure_future(_read_stream(client, address, index))
        for index in range(STREAMS)
    ]
    peak_kb = 0
    while not all(stream.done() for stream in streams):
        peak_kb = max(peak_kb, _read_memory_kb(pid))
        await asyncio.sleep(0.1)
    await client.close()
    return sum(stream.result() for stream in streams), peak_kb


async def _read_stream(client, address: str, index: int) -> int:
    completion = {
        'model': 'spares-ordering',
        'prompt': f'stream {index}',
        'max_tokens': STREAM_TOKENS,
        'stream': True,
    }
    headers = (('x-caller', f'caller-{index}'),)
    request = message.Request(
        'POST',
        '/v1/completions',
        headers,
        str(completion).replace("'", '"').replace('True', 'true').encode(),
    )
    reply = await client.open(address, request, 60_000)
    data = await reply.read(1 << 24)
    return data.count(b'data: ') - 1


def _measure_start(running: fleet.Fleet) -> list[target.Outcome]:
    started_s = time.monotonic()
    new_entry = running.start_entry(20)
    probe.wait_for(
        lambda: probe.call(new_entry.address, 'GET', '/readyz')[0] == 200
    )
    start_took_s = time.monotonic() - started_s
    return [target.Outcome(START_TARGET, start_took_s)]
