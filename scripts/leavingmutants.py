"""Mutants of endpoints that say that they leave."""

from scripts import mutant

__all__ = ['MUTANTS']

PATHS = 'pomelopass/paths'
LEAVING = 'tests/entry/test_leaving.py'
TUNNELS = 'tests/paths/test_tunnels.py'
CLIENT = 'tests/platform/test_endpointclient.py'
LEAVING_AUDIT = 'tests/test_leavingaudit.py'

MUTANTS = (
    mutant.Mutant(
        'leaving-notice-is-not-decoded',
        'pomelopass/platform/answerdecode.py',
        'message.find_header(reply.headers, names.LEAVING) is not None',
        'False',
        (CLIENT,),
    ),
    mutant.Mutant(
        'leaving-notice-of-another-endpoint-counts',
        'pomelopass/platform/answerdecode.py',
        'reply.status != MISDIRECTED_STATUS\n        and ',
        '',
        (CLIENT,),
    ),
    mutant.Mutant(
        'leaving-notice-in-an-order-is-lost',
        'pomelopass/platform/endpointclient.py',
        '            self._note_leaving(target, reply)\n'
        '            await reply.read(MAX_REPORT_BYTES)',
        '            await reply.read(MAX_REPORT_BYTES)',
        (CLIENT,),
    ),
    mutant.Mutant(
        'leaving-endpoints-are-chosen',
        'pomelopass/registry/registry.py',
        'if not state.is_leaving',
        'if not state.endpoint.is_draining',
        (LEAVING,),
    ),
    mutant.Mutant(
        'entry-overrides-a-leaving-notice',
        'pomelopass/registry/registry.py',
        '            self._update_leaving(entry.id)\n'
        '            self.changes.record(entry, ',
        '            self.changes.record(entry, ',
        (LEAVING,),
    ),
    mutant.Mutant(
        'leaving-notice-outlasts-the-start',
        'pomelopass/registry/registry.py',
        'state.said_leaving = started_at_ms == state.endpoint.started_at_ms',
        'state.said_leaving = started_at_ms is not None',
        (LEAVING,),
    ),
    mutant.Mutant(
        'leaving-engines-get-orders',
        'pomelopass/versions/orders.py',
        'accepting = [state for state in engines if not state.is_leaving]',
        'accepting = list(engines)',
        ('tests/versions/test_orders.py',),
    ),
    mutant.Mutant(
        'leaving-engines-are-assigned',
        'pomelopass/versions/assignment.py',
        'accepting = [state for state in engines if not state.is_leaving]',
        'accepting = list(engines)',
        ('tests/versions/test_assignment.py',),
    ),
    mutant.Mutant(
        'peer-gets-no-leaving-notice',
        f'{PATHS}/endpointpaths.py',
        '            self._report_leaving(peer, target)',
        '            pass',
        (LEAVING,),
    ),
    mutant.Mutant(
        'open-tunnels-lead-to-leaving-endpoints',
        f'{PATHS}/tunnelserver.py',
        'if not (tunnel.awaits_answer or is_offered()):',
        'if False:',
        (TUNNELS,),
    ),
    mutant.Mutant(
        'new-tunnels-lead-to-leaving-endpoints',
        'pomelopass/registry/registry.py',
        'return None if state is None or state.is_leaving else state.endpoint',
        'return None if state is None else state.endpoint',
        ('tests/entry/test_pathparts.py',),
    ),
    mutant.Mutant(
        'audit-allows-late-requests',
        'pomelopass/reporting/leavingaudit.py',
        'ALLOWED_MS = 2000.0',
        'ALLOWED_MS = 4000.0',
        (LEAVING_AUDIT,),
    ),
)
