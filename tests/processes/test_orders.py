"""Prove at-most-once with real processes."""

import concurrent.futures

from scripts import probe
from tests.processes import fleets


def test_order_resent_while_its_instance_is_frozen_runs_once(running):
    first, second = running.get_entries()[:2]
    running.set_faults('order-desk-0', work_ms=400)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        sent = pool.submit(fleets.send_order, first, 'a', 'key-a')
        probe.wait_for(lambda: fleets.count_orders(running) == {'a': 1})
        running.freeze(first.name)
        status, body = fleets.send_order(second, 'a', 'key-a')
        assert status == 409
        assert body['verdict'] == 'may-have-run'
        running.thaw(first.name)
        assert sent.result()[0] == 200
    status, body = fleets.send_order(second, 'a', 'key-a')
    assert (status, body['order']) == (200, 'a')
    assert fleets.count_orders(running) == {'a': 1}


def test_order_resent_after_its_instance_was_killed_runs_once(running):
    first, second = running.get_entries()[:2]
    running.set_faults('order-desk-0', work_ms=400)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        sent = pool.submit(fleets.send_order, first, 'b', 'key-b')
        probe.wait_for(lambda: fleets.count_orders(running) == {'b': 1})
        running.kill(first.name)
        sent.result()
    status, body = fleets.send_order(second, 'b', 'key-b')
    assert (status, body['verdict']) == (409, 'may-have-run')
    assert fleets.count_orders(running) == {'b': 1}


def test_orders_while_the_table_service_is_down(running):
    first = running.get_entries()[0]
    running.set_faults('table', down=1)
    status, body = fleets.send_order(first, 'c', 'key-c')
    assert (status, body['verdict']) == (503, 'may-have-run')
    assert fleets.count_orders(running) == {}
    _, issued = probe.call(first.address, 'POST', '/idempotency-keys')
    assert fleets.send_order(first, 'd', issued['key'])[0] == 200
    running.set_faults('table')
    assert fleets.send_order(first, 'c', 'key-c')[0] == 200
    assert fleets.count_orders(running) == {'c': 1, 'd': 1}


def test_claim_that_took_effect_with_a_lost_answer_runs_once(running):
    first = running.get_entries()[0]
    running.set_faults('table', lose_answers=1)
    status, _ = fleets.send_order(first, 'e', 'key-e')
    assert status == 200
    assert fleets.send_order(first, 'e', 'key-e')[0] == 200
    assert fleets.count_orders(running) == {'e': 1}
