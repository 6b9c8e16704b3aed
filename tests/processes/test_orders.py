"""Test at-most-once execution with real processes."""

import concurrent.futures

from scripts import probe
from tests.processes import fleets


def test_order_resent_while_its_instance_is_frozen_runs_once(running_fleet):
    first, second = running_fleet.get_entries()[:2]
    running_fleet.set_faults('order-desk-0', work_ms=400)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        sent_order = pool.submit(fleets.send_order, first, 'a', 'key-a')
        probe.wait_for(lambda: fleets.count_orders(running_fleet) == {'a': 1})
        running_fleet.freeze(first.name)
        status, body = fleets.send_order(second, 'a', 'key-a')
        assert status == 409
        assert body['verdict'] == 'may-have-run'
        running_fleet.thaw(first.name)
        assert sent_order.result()[0] == 200
    status, body = fleets.send_order(second, 'a', 'key-a')
    assert (status, body['order']) == (200, 'a')
    assert fleets.count_orders(running_fleet) == {'a': 1}


def test_order_resent_after_its_instance_was_killed_runs_once(running_fleet):
    first, second = running_fleet.get_entries()[:2]
    running_fleet.set_faults('order-desk-0', work_ms=400)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        sent_order = pool.submit(fleets.send_order, first, 'b', 'key-b')
        probe.wait_for(lambda: fleets.count_orders(running_fleet) == {'b': 1})
        running_fleet.kill(first.name)
        sent_order.result()
    status, body = fleets.send_order(second, 'b', 'key-b')
    assert (status, body['verdict']) == (409, 'may-have-run')
    assert fleets.count_orders(running_fleet) == {'b': 1}


def test_orders_while_the_table_service_is_down(running_fleet):
    first = running_fleet.get_entries()[0]
    running_fleet.set_faults('table', down=1)
    status, body = fleets.send_order(first, 'c', 'key-c')
    assert (status, body['verdict']) == (503, 'may-have-run')
    assert fleets.count_orders(running_fleet) == {}
    _, issued = probe.call(first.address, 'POST', '/idempotency-keys')
    assert fleets.send_order(first, 'd', issued['key'])[0] == 200
    running_fleet.set_faults('table')
    assert fleets.send_order(first, 'c', 'key-c')[0] == 200
    assert fleets.count_orders(running_fleet) == {'c': 1, 'd': 1}


def test_claim_written_with_a_lost_answer_runs_once(running_fleet):
    first = running_fleet.get_entries()[0]
    running_fleet.set_faults('table', lose_answers=1)
    status, _ = fleets.send_order(first, 'e', 'key-e')
    assert status == 200
    assert fleets.send_order(first, 'e', 'key-e')[0] == 200
    assert fleets.count_orders(running_fleet) == {'e': 1}
