"""Mutants of the ends of answers, streams and planned stops."""

from scripts import mutant

__all__ = ['MUTANTS']

REQUESTS = 'pomelopass/requests'
STREAM_ERRORS = 'tests/requests/test_stream_errors.py'
STOP_GATE = 'tests/requests/test_stopgate.py'
STOP = 'tests/processes/test_stop.py'

MUTANTS = (
    mutant.Mutant(
        'errors-are-passed-on-as-streams',
        f'{REQUESTS}/streamopen.py',
        'return 200 <= status < 300',
        'return 200 <= status < 500',
        (STREAM_ERRORS,),
    ),
    mutant.Mutant(
        'streams-without-a-signature-are-passed-on',
        f'{REQUESTS}/streamopen.py',
        'if _is_success(answer.status) and answer.signature is None:',
        'if False:',
        (STREAM_ERRORS,),
    ),
    mutant.Mutant(
        'resumed-streams-take-another-status',
        f'{REQUESTS}/streamopen.py',
        'if stream.status and answer.status != stream.status:',
        'if False:',
        (STREAM_ERRORS, 'tests/requests/test_stream.py'),
    ),
    mutant.Mutant(
        'stream-without-an-event-counts-as-whole',
        f'{REQUESTS}/stream.py',
        'if pending or may_be_cut:',
        'if pending:',
        (STREAM_ERRORS,),
    ),
    mutant.Mutant(
        'run-without-an-event-counts-as-whole',
        'pomelopass/jobs/itemstream.py',
        'if parser.unread.strip() or may_be_cut:',
        'if parser.unread.strip():',
        ('tests/entry/test_jobs.py',),
    ),
    mutant.Mutant(
        'broken-stream-ends-in-order-for-http-1.0',
        'pomelopass/edges/httpserver.py',
        "if is_broken and state.their_http_version == b'1.0':",
        'if False:',
        ('tests/edges/test_httpserver.py',),
    ),
    mutant.Mutant(
        'cut-head-counts-as-not-sent',
        'pomelopass/edges/httpclient.py',
        "raise message.ExchangeError('reset', size) from None",
        "raise message.ExchangeError('reset', 0) from None",
        ('tests/edges/test_cut_heads.py',),
    ),
    mutant.Mutant(
        'stop-takes-what-cannot-end',
        f'{REQUESTS}/stopgate.py',
        'if time_limit_at <= self.ends_at:',
        'if True:',
        (STOP_GATE,),
    ),
    mutant.Mutant(
        'stop-takes-long-orders-early',
        f'{REQUESTS}/stopgate.py',
        'return is_early and routes.may_repeat(route)',
        'return is_early',
        (STOP_GATE,),
    ),
    mutant.Mutant(
        'stop-forgets-requests-in-progress',
        f'{REQUESTS}/stopgate.py',
        '            limit.reschedule(self.ends_at)',
        '            pass',
        (STOP_GATE,),
    ),
    mutant.Mutant(
        'stop-asks-no-gate',
        'pomelopass/platform/ingress.py',
        'if not self.stop_gate.admits(route, _get_time_limit(call, route)):',
        'if False:',
        (STOP,),
    ),
)
