"""Mutants of workspaces, their keys and what belongs to them."""

from scripts import mutant

__all__ = ['MUTANTS']

DIRECTORY = 'tests/workspaces/test_directory.py'
HEADERS = 'tests/workspaces/test_headers.py'
JOBS = 'tests/workspaces/test_jobs.py'
REQUESTS = 'tests/workspaces/test_requests.py'
STREAMS = 'tests/workspaces/test_streams.py'
CLIENT = 'tests/platform/test_endpointclient.py'
AUDIT = 'tests/test_keyaudit.py'
INGRESS = 'pomelopass/platform/ingress.py'
PACKAGE = 'pomelopass/workspaces'

MUTANTS = (
    mutant.Mutant(
        'key-of-two-workspaces-is-accepted',
        f'{PACKAGE}/directory.py',
        '            if known.name != workspace.name:\n',
        '            if False:\n',
        (DIRECTORY,),
    ),
    mutant.Mutant(
        'empty-key-is-accepted',
        f'{PACKAGE}/directory.py',
        '        if not key:\n',
        '        if False:\n',
        (DIRECTORY,),
    ),
    mutant.Mutant(
        'workspace-name-stands-twice',
        f'{PACKAGE}/directory.py',
        '    if name in names:\n',
        '    if False:\n',
        (DIRECTORY,),
    ),
    mutant.Mutant(
        'rejected-configuration-shows-its-keys',
        'pomelopass/platform/configdecode.py',
        'error.errors(include_input=False)[0]',
        'error.errors()[0]',
        (DIRECTORY,),
    ),
    mutant.Mutant(
        'first-of-differing-keys-counts',
        f'{PACKAGE}/credentials.py',
        '    if len(parsed) != 1:\n',
        '    if not parsed:\n',
        (DIRECTORY,),
    ),
    mutant.Mutant(
        'scheme-of-a-key-is-not-compared',
        f'{PACKAGE}/credentials.py',
        '    if scheme != SCHEME or not key:\n',
        '    if not key:\n',
        (DIRECTORY,),
    ),
    mutant.Mutant(
        'no-workspaces-leave-the-routes-open',
        'pomelopass/platform/configdecode.py',
        '    if workspaces is None:\n',
        '    if not workspaces:\n',
        (REQUESTS,),
    ),
    mutant.Mutant(
        'unknown-key-is-served',
        f'{PACKAGE}/access.py',
        'return Access(checks_keys=True, is_granted=is_anonymous)',
        'return Access(checks_keys=True, is_granted=True)',
        (REQUESTS,),
    ),
    mutant.Mutant(
        'unknown-keys-are-refused-for-good-by-any-copy',
        INGRESS,
        'status = 401 if routes.proves_absence(age_ms) else 503',
        'status = 401',
        (REQUESTS,),
    ),
    mutant.Mutant(
        'callers-name-their-workspace',
        'pomelopass/platform/names.py',
        'CREDENTIALS = frozenset((AUTHORIZATION, WORKSPACE))',
        'CREDENTIALS = frozenset((AUTHORIZATION,))',
        (HEADERS,),
    ),
    mutant.Mutant(
        'key-reaches-the-endpoint',
        'pomelopass/platform/names.py',
        'CREDENTIALS = frozenset((AUTHORIZATION, WORKSPACE))',
        'CREDENTIALS = frozenset((WORKSPACE,))',
        (HEADERS,),
    ),
    mutant.Mutant(
        'endpoint-gets-no-workspace',
        'pomelopass/platform/endpointclient.py',
        '    if call.workspace:\n',
        '    if False:\n',
        (HEADERS,),
    ),
    mutant.Mutant(
        'key-is-not-checked-when-the-connection-is-open',
        'pomelopass/platform/endpointclient.py',
        '                call.grant.may_send if call.grant else _always,\n',
        '                _always,\n',
        (CLIENT,),
    ),
    mutant.Mutant(
        'waiting-request-keeps-its-old-grant',
        f'{PACKAGE}/grant.py',
        '        if access != self.access:\n',
        '        if False:\n',
        (REQUESTS,),
    ),
    mutant.Mutant(
        'waiting-request-keeps-its-old-workspace',
        f'{PACKAGE}/grant.py',
        '        if access != self.access:\n',
        '        if access.is_granted != self.access.is_granted:\n',
        (REQUESTS,),
    ),
    mutant.Mutant(
        'waiting-request-is-checked-by-the-old-version',
        INGRESS,
        '            newest = self.get_configuration()\n'
        '            if newest is configuration:\n',
        '            newest = configuration\n'
        '            if newest is configuration:\n',
        (REQUESTS,),
    ),
    mutant.Mutant(
        'withdrawn-request-is-answered-as-not-run',
        'pomelopass/requests/callstate.py',
        '            outcomes.OutcomeKind.WITHDRAWN, message.WITHDRAWN\n',
        '            outcomes.OutcomeKind.NOT_RUN, message.WITHDRAWN\n',
        (REQUESTS,),
    ),
    mutant.Mutant(
        'withdrawn-request-counts-against-the-endpoint',
        'pomelopass/requests/attempt.py',
        '    if kind == message.WITHDRAWN:\n',
        '    if False:\n',
        (REQUESTS,),
    ),
    mutant.Mutant(
        'waiting-request-is-refused-at-the-end-of-its-time',
        'pomelopass/requests/forward.py',
        '                if not tasks and not callstate.may_send(state):\n',
        '                if False:\n',
        (REQUESTS,),
    ),
    mutant.Mutant(
        'waiting-stream-is-refused-at-the-end-of-its-time',
        'pomelopass/requests/streamopen.py',
        '            if not callstate.may_send(state):\n',
        '            if False:\n',
        (REQUESTS,),
    ),
    mutant.Mutant(
        'withdrawn-request-counts-against-the-peer',
        'pomelopass/paths/endpointpaths.py',
        'error.may_have_run or error.kind == message.WITHDRAWN',
        'error.may_have_run',
        ('tests/paths/test_endpointpaths.py',),
    ),
    mutant.Mutant(
        'content-is-quarantined-for-all-workspaces',
        'pomelopass/requests/quarantine.py',
        '    if call.workspace:\n',
        '    if False:\n',
        (DIRECTORY, REQUESTS),
    ),
    mutant.Mutant(
        'each-refused-key-is-logged',
        f'{PACKAGE}/refusals.py',
        '        if interval is not None:\n',
        '        if False:\n',
        (REQUESTS,),
    ),
    mutant.Mutant(
        'job-is-open-to-other-workspaces',
        f'{PACKAGE}/access.py',
        "    return not access.checks_keys or workspace in ('', "
        'access.workspace)\n',
        '    return True\n',
        (JOBS, STREAMS),
    ),
    mutant.Mutant(
        'submission-of-another-workspace-is-taken-for-a-repeat',
        'pomelopass/jobs/api.py',
        '            return Acceptance.FOREIGN\n',
        '            return Acceptance.ACCEPTED\n',
        (JOBS,),
    ),
    mutant.Mutant(
        'submission-of-another-workspace-replaces-rows',
        'pomelopass/jobs/jobtable.py',
        '        if absent_job is not None:\n',
        '        if False:\n',
        (JOBS,),
    ),
    mutant.Mutant(
        'submission-that-conflicts-with-another-workspace-is-accepted',
        'pomelopass/jobs/api.py',
        '            outcome = Acceptance.FOREIGN\n',
        '            pass\n',
        (JOBS,),
    ),
    mutant.Mutant(
        'items-run-for-no-workspace',
        'pomelopass/jobs/itemstream.py',
        '        workspace=context.submission.workspace,\n',
        '',
        (JOBS,),
    ),
    mutant.Mutant(
        'items-bring-their-own-credentials-to-engines',
        'pomelopass/jobs/itemstream.py',
        '        drops_credentials=_drops_credentials(context),\n',
        '',
        (JOBS,),
    ),
    mutant.Mutant(
        'items-bring-their-own-credentials-into-rows',
        'pomelopass/platform/jobdecode.py',
        '        dropped_headers |= names.CREDENTIALS\n',
        '        pass\n',
        (JOBS,),
    ),
    mutant.Mutant(
        'read-that-waits-outlives-its-key',
        INGRESS,
        '            # The key may have been removed meanwhile.\n'
        '            refusal = await self._check_job(request, job_id)\n',
        '',
        (JOBS,),
    ),
    mutant.Mutant(
        'job-call-with-a-key-needs-no-configuration',
        INGRESS,
        '            if message.find_header(request.headers, '
        'names.AUTHORIZATION):\n',
        '            if False:\n',
        (JOBS,),
    ),
    mutant.Mutant(
        'job-of-another-workspace-is-missing-by-any-copy',
        INGRESS,
        'return make_refusal(404 if is_absent else 503, detail)',
        'return make_refusal(404, detail)',
        (JOBS,),
    ),
    mutant.Mutant(
        'texts-are-carried-between-workspaces',
        'pomelopass/jobs/textcache.py',
        '            key = (workspace, item_id)\n',
        "            key = ('red', item_id)\n",
        (JOBS,),
    ),
    mutant.Mutant(
        'rows-without-a-workspace-have-the-field',
        'pomelopass/jobs/rowcodec.py',
        "        if field.name != 'workspace' or stored.workspace\n",
        '',
        (JOBS,),
    ),
    mutant.Mutant(
        'stream-is-resumed-for-another-workspace',
        'pomelopass/requests/streamopen.py',
        '            raise _ForeignStreamError\n',
        '            pass\n',
        (STREAMS,),
    ),
    mutant.Mutant(
        'row-of-a-stream-names-no-workspace',
        'pomelopass/origins/origin.py',
        "        content['workspace'] = record.workspace\n",
        '        pass\n',
        (STREAMS,),
    ),
    mutant.Mutant(
        'routes-of-a-host-are-compared-one-by-one',
        'pomelopass/requests/routes.py',
        '    for length in index.lengths:\n',
        '    for length in [len(route.path_prefix) for route in '
        'configuration.routes_by_host[host.lower()]]:\n',
        ('tests/requests/test_routes.py',),
    ),
    mutant.Mutant(
        'rows-are-relayed-with-their-keys',
        'pomelopass/entry/node.py',
        'relayedrows.KeylessTable(ports.fresh_table)',
        'ports.fresh_table',
        (REQUESTS,),
    ),
    mutant.Mutant(
        'empty-key-of-a-relayed-row-is-accepted',
        'pomelopass/platform/relayedrows.py',
        '    if not isinstance(key, str) or not key:\n',
        '    if not isinstance(key, str):\n',
        ('tests/platform/test_relayedrows.py',),
    ),
    mutant.Mutant(
        'audit-takes-any-grant-for-a-new-one',
        'pomelopass/reporting/keyaudit.py',
        '            and granted_by < ended_by\n',
        '            and granted_by > ended_by\n',
        (AUDIT,),
    ),
    mutant.Mutant(
        'ended-keys-are-not-logged',
        f'{PACKAGE}/directory.py',
        'if newer.find_name(digest) != workspace.name',
        'if newer.find_name(digest) == workspace.name',
        (AUDIT,),
    ),
)
