"""Mutants of paths over peers."""

from scripts import mutant

__all__ = ['MUTANTS']

PATHS = 'pomelopass/paths'
CUTS = 'tests/entry/test_cut_instances.py'
TUNNELS = 'tests/paths/test_tunnels.py'
PEERS = 'tests/paths/test_peers.py'
FULL_PEERS = 'tests/paths/test_full_peers.py'
BOOK = 'tests/paths/test_book.py'
ADOPTION = 'tests/jobs/test_adoption.py'
SERVED = 'tests/test_servedaudit.py'

SEVERED = 'tests/entry/test_severed.py'
LATENESS = 'tests/fleet/test_lateness.py'

MUTANTS = (
    mutant.Mutant(
        'cut-instances-ask-no-peer',
        f'{PATHS}/endpointpaths.py',
        'for peer in self._choose_peers(target):\n            answer',
        'for peer in ():\n            answer',
        (CUTS,),
    ),
    mutant.Mutant(
        'cut-calls-that-were-sent-go-to-peers',
        f'{PATHS}/endpointpaths.py',
        'if error.kind not in CONNECT_KINDS or error.may_have_run:\n',
        'if False:\n',
        ('tests/paths/test_endpointpaths.py',),
    ),
    mutant.Mutant(
        'cut-zones-ask-only-their-own-peers',
        f'{PATHS}/peers.py',
        'return [*near[:1], *far, *near[1:]]',
        'return [*near, *far]',
        ('tests/paths/test_endpointpaths.py',),
    ),
    mutant.Mutant(
        'peers-that-help-are-not-preferred',
        f'{PATHS}/peers.py',
        'if helper is None or helper is order[0]:',
        'if True:',
        (PEERS,),
    ),
    mutant.Mutant(
        'peers-that-failed-are-asked-first-again',
        f'{PATHS}/peers.py',
        'order = [*self._alternate_zones(sound), *failed]',
        'order = [*failed, *self._alternate_zones(sound)]',
        (PEERS,),
    ),
    mutant.Mutant(
        'peers-that-are-cut-off-are-asked-for-each-endpoint',
        f'{PATHS}/peers.py',
        'if kind == ENDPOINT_UNREACHABLE:',
        'if True:',
        (PEERS,),
    ),
    mutant.Mutant(
        'instances-ask-the-same-peer-for-an-endpoint',
        f'{PATHS}/peers.py',
        "key = f'{self.own_name}\\0{endpoint_id}'",
        'key = endpoint_id',
        (PEERS,),
    ),
    mutant.Mutant(
        'all-peers-are-ranked-for-each-call',
        f'{PATHS}/peers.py',
        'if now - self.shortlisted_at >= SHORTLIST_TTL_MS / 1000:',
        'if True:',
        (PEERS,),
    ),
    mutant.Mutant(
        'shortlist-omits-the-peer-that-helps',
        f'{PATHS}/peers.py',
        'name not in self.served_at_by_name,',
        'False,',
        (PEERS,),
    ),
    mutant.Mutant(
        'search-continues-though-a-peer-helps',
        f'{PATHS}/search.py',
        'if not endpoint_ids or self.peer_book.has_helper(now):',
        'if not endpoint_ids:',
        ('tests/paths/test_search.py',),
    ),
    mutant.Mutant(
        'no-search-while-no-peer-is-known-to-help',
        f'{PATHS}/watch.py',
        '        await self.search.run()\n',
        '',
        ('tests/paths/test_watch.py',),
    ),
    mutant.Mutant(
        'cut-links-blame-contents',
        f'{PATHS}/endpointpaths.py',
        'return not self.book.needs_peer(target.id)',
        'return True',
        ('tests/paths/test_endpointpaths.py',),
    ),
    mutant.Mutant(
        'cut-links-that-hang-are-not-probed',
        f'{PATHS}/watch.py',
        'ids = self._choose_silent(now) | self._choose_lost(now)',
        'ids = self._choose_lost(now)',
        # Hedges over new connections find such a link as well.
        (CUTS, 'tests/paths/test_watch.py'),
    ),
    mutant.Mutant(
        'slow-endpoints-are-probed-for-links-that-hang',
        f'{PATHS}/watch.py',
        'if len(silent_ids) == 1:',
        'if False:',
        ('tests/paths/test_watch.py',),
    ),
    mutant.Mutant(
        'cut-links-keep-silent-requests',
        f'{PATHS}/watch.py',
        '        self.book.record_failure(endpoint_id)\n'
        '        self._break_silent(endpoint_id)',
        '        self.book.record_failure(endpoint_id)',
        ('tests/paths/test_watch.py',),
    ),
    mutant.Mutant(
        'cut-links-never-work-again',
        f'{PATHS}/book.py',
        '            self.is_cut_off = False\n',
        '            pass\n',
        (BOOK,),
    ),
    mutant.Mutant(
        'one-lost-endpoint-counts-as-cut-links',
        f'{PATHS}/book.py',
        'if len(self.failed_ids) >= required:',
        'if self.failed_ids:',
        (BOOK,),
    ),
    mutant.Mutant(
        'cut-peers-ask-a-second-peer',
        f'{PATHS}/tunnelserver.py',
        'if self.book.needs_peer(endpoint_id):',
        'if False:',
        (TUNNELS,),
    ),
    mutant.Mutant(
        'peers-do-not-say-that-they-are-cut-off',
        f'{PATHS}/tunnelserver.py',
        'if self.book.is_cut_off:',
        'if False:',
        (TUNNELS,),
    ),
    mutant.Mutant(
        'broken-tunnel-looks-like-an-end',
        f'{PATHS}/tunnelclient.py',
        '            self.reader.set_exception(ConnectionResetError())',
        '            self.reader.feed_eof()',
        (TUNNELS,),
    ),
    mutant.Mutant(
        'full-peer-opens-tunnels',
        f'{PATHS}/tunnelserver.py',
        'return len(self.tunnels) + self.opening >= MAX_TUNNELS',
        'return False',
        (FULL_PEERS,),
    ),
    mutant.Mutant(
        'full-peer-keeps-idle-tunnels',
        f'{PATHS}/tunnelserver.py',
        'if self._is_full() and self._find_idle() is None:',
        'if self._is_full():',
        (FULL_PEERS,),
    ),
    mutant.Mutant(
        'full-peer-closes-busy-tunnels',
        f'{PATHS}/tunnelserver.py',
        '(tunnel for tunnel in self.tunnels if not tunnel.is_busy()),',
        'self.tunnels,',
        (FULL_PEERS,),
    ),
    mutant.Mutant(
        'stopping-peer-opens-tunnels',
        f'{PATHS}/tunnelserver.py',
        'if self.is_stopping():',
        'if False:',
        (TUNNELS,),
    ),
    mutant.Mutant(
        'cut-instances-are-asked-as-peers',
        'pomelopass/fleet/member.py',
        '            and not self.is_cut_off(member.name)\n',
        '',
        ('tests/fleet/test_member.py',),
    ),
    mutant.Mutant(
        'cut-row-of-an-earlier-start-counts',
        'pomelopass/fleet/member.py',
        'and self.cut_off_by_name.get(name) == member.incarnation',
        'and name in self.cut_off_by_name',
        ('tests/fleet/test_member.py',),
    ),
    mutant.Mutant(
        'cut-instances-own-new-jobs',
        'pomelopass/jobs/adoption.py',
        '            is_cut_off(name),\n',
        '',
        (ADOPTION,),
    ),
    mutant.Mutant(
        'cut-leader-keeps-the-duty',
        'pomelopass/versions/manager.py',
        'if await self.duty.release_if_cut_off(service):',
        'if False:',
        (CUTS,),
    ),
    mutant.Mutant(
        'cut-instances-take-the-duty',
        'pomelopass/leadership/duty.py',
        'return linked or [peer.name for peer in alive]',
        'return [peer.name for peer in alive]',
        (CUTS,),
    ),
    mutant.Mutant(
        'leaders-that-are-cut-order-in-turn',
        'pomelopass/leadership/duty.py',
        'since = leadership.held_elsewhere_at',
        "since = float('-inf')",
        (CUTS,),
    ),
    mutant.Mutant(
        'cut-requests-wait-for-no-path',
        'pomelopass/requests/forward.py',
        'if attempt.reason == calls.UNREACHABLE:',
        'if False:',
        (CUTS,),
    ),
    mutant.Mutant(
        'failures-of-one-moment-add-up',
        'pomelopass/registry/endpoint.py',
        '    if state.is_backing_off(now):\n'
        '        return\n'
        '    backoff_ms = backoff.get_backoff_ms(\n'
        '        MIN_FAILURE_BACKOFF_MS,',
        '    backoff_ms = backoff.get_backoff_ms(\n'
        '        MIN_FAILURE_BACKOFF_MS,',
        ('tests/registry/test_registry.py',),
    ),
    mutant.Mutant(
        'backoff-doubles-without-an-end',
        'pomelopass/core/backoff.py',
        'factor = 2.0 ** min(doublings, MAX_DOUBLINGS)',
        'factor = 2.0**doublings',
        ('tests/core/test_backoff.py',),
    ),
    mutant.Mutant(
        'audit-lets-cut-instances-serve-less',
        'pomelopass/reporting/servedaudit.py',
        'MIN_SHARE_OF_OTHERS = 2 / 3',
        'MIN_SHARE_OF_OTHERS = 1 / 3',
        (SERVED,),
    ),
    mutant.Mutant(
        'hedges-use-idle-connections',
        'pomelopass/requests/forward.py',
        'avoids_idle=True',
        'avoids_idle=False',
        (SEVERED,),
    ),
    mutant.Mutant(
        'items-draw-dead-connections-again',
        'pomelopass/jobs/itemrun.py',
        'run.was_silent |= outcome == message.TIMEOUT',
        'pass',
        (SEVERED,),
    ),
    mutant.Mutant(
        'old-idle-connections-count-as-sound',
        'pomelopass/edges/connectionpool.py',
        'if idle_ms > max_idle_ms:',
        'if False:',
        ('tests/edges/test_httpclient.py',),
    ),
    mutant.Mutant(
        'idle-connections-are-not-probed',
        'pomelopass/edges/clientconnection.py',
        "keepalive.set_keepalive(transport.get_extra_info('socket'))",
        'pass',
        ('tests/edges/test_httpclient.py',),
    ),
    mutant.Mutant(
        'silence-counts-whatever-the-others-do',
        'pomelopass/fleet/lateness.py',
        'max(DEAD_AFTER_MS, young_ms * LATENESS_FACTOR)',
        'DEAD_AFTER_MS',
        (LATENESS,),
    ),
    mutant.Mutant(
        'own-heartbeats-do-not-count',
        'pomelopass/fleet/lateness.py',
        'if is_own_prompt:',
        'if False:',
        (LATENESS,),
    ),
    mutant.Mutant(
        'full-part-is-a-lost-path',
        'pomelopass/table/fallback.py',
        'if not (error.is_overload and is_write):',
        'if True:',
        ('tests/table/test_fallback.py',),
    ),
    mutant.Mutant(
        'heartbeat-stays-on-a-lost-path',
        'pomelopass/entry/node.py',
        'self.table.transact_repeatable,',
        'self.table.transact,',
        ('tests/entry/test_heartbeats.py',),
    ),
    mutant.Mutant(
        'slow-service-is-a-lost-path',
        'pomelopass/table/hedging.py',
        'return not _has_answered(own)',
        'return True',
        ('tests/table/test_fallback.py',),
    ),
    mutant.Mutant(
        'abandoned-write-has-not-run',
        'pomelopass/table/fallback.py',
        'error.may_have_run = error.may_have_run or may_have_run',
        'pass',
        ('tests/table/test_fallback.py',),
    ),
    mutant.Mutant(
        'all-heartbeats-in-one-part',
        'pomelopass/fleet/heartbeat.py',
        'part = parts.choose_part(PART_PREFIX, name)',
        "part = ''",
        ('tests/fleet/test_heartbeat.py',),
    ),
    mutant.Mutant(
        'hedge-uses-the-peer-that-is-late',
        'pomelopass/table/relay.py',
        'if not calls_by_address[address]',
        'if True',
        ('tests/entry/test_configuration_lag.py',),
    ),
)
