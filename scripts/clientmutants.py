"""Mutants of the limits on what clients may take of an instance."""

from scripts import mutant

__all__ = ['MUTANTS']

EDGES = 'pomelopass/edges'
ACCOUNT = 'tests/edges/test_callermemory.py'
CONNECTIONS = 'tests/edges/test_connectionlimit.py'
BYTES = 'tests/edges/test_request_bytes.py'
SERVER = 'tests/edges/test_httpserver.py'

MUTANTS = (
    mutant.Mutant(
        'callers-hold-any-number-of-bytes',
        f'{EDGES}/callermemory.py',
        'return self.total + growth <= self.max_bytes',
        'return True',
        (ACCOUNT,),
    ),
    mutant.Mutant(
        'small-bodies-overtake-a-large-one',
        f'{EDGES}/callermemory.py',
        'return not self.waiting and self.fits(growth)',
        'return self.fits(growth)',
        (ACCOUNT,),
    ),
    mutant.Mutant(
        'cancelled-wait-blocks-those-behind-it',
        f'{EDGES}/callermemory.py',
        '                # fit.\n                self.admit()\n',
        '                # fit.\n',
        (ACCOUNT,),
    ),
    mutant.Mutant(
        'best-progress-is-evicted',
        f'{EDGES}/callermemory.py',
        'share.get_rate(now)),',
        '-share.get_rate(now)),',
        (ACCOUNT,),
    ),
    mutant.Mutant(
        'running-request-is-evicted',
        f'{EDGES}/callermemory.py',
        'if self.evict is None or self.is_waiting or not self.size:',
        'if self.is_waiting or not self.size:',
        (ACCOUNT,),
    ),
    mutant.Mutant(
        'bytes-stay-counted-after-a-request',
        f'{EDGES}/requestreader.py',
        '            self.share.close()\n',
        '',
        (BYTES,),
    ),
    mutant.Mutant(
        'chunk-end-is-not-checked',
        f'{EDGES}/chunkjoiner.py',
        'if end != LINE_END[: len(end)]:',
        'if False:',
        (BYTES,),
    ),
    mutant.Mutant(
        'last-chunk-is-joined',
        f'{EDGES}/chunkjoiner.py',
        'if not length:',
        'if head is None:',
        (BYTES,),
    ),
    mutant.Mutant(
        'all-turns-in-one-iteration',
        f'{EDGES}/workturns.py',
        'await turn',
        'turn.cancel()',
        (BYTES,),
    ),
    mutant.Mutant(
        'requests-are-read-while-responses-are-unread',
        f'{EDGES}/httpserver.py',
        'if not transport.get_write_buffer_size():',
        'if True:',
        (SERVER,),
    ),
    mutant.Mutant(
        'one-address-takes-all-connections',
        f'{EDGES}/connectionlimit.py',
        'return self.count_by_address[address] >= share',
        'return False',
        (CONNECTIONS,),
    ),
    mutant.Mutant(
        'connection-without-a-request-stays',
        f'{EDGES}/connectionlimit.py',
        'if not slot.is_used:',
        'if False:',
        (CONNECTIONS,),
    ),
    mutant.Mutant(
        'busy-connection-counts-as-idle',
        f'{EDGES}/connectionlimit.py',
        'slot.is_used = True\n        self.idle.pop(slot, None)',
        'slot.is_used = True',
        (CONNECTIONS,),
    ),
    mutant.Mutant(
        'descriptors-of-files-are-given-away',
        'pomelopass/entry/connectionshares.py',
        'CALLER_SHARE = 0.5',
        'CALLER_SHARE = 0.9',
        (CONNECTIONS,),
    ),
    mutant.Mutant(
        'response-that-is-not-read-is-not-counted',
        f'{EDGES}/httpserver.py',
        'await share.resize(int(min(size, memory.max_bytes)))',
        'pass',
        (SERVER,),
    ),
)
