"""Mutants of the orders of engines by demand."""

from scripts import mutant

__all__ = ['MUTANTS']

PLAN = 'pomelopass/scaling/plan.py'
MANAGER = 'pomelopass/scaling/manager.py'
PARTS = 'pomelopass/entry/scalingparts.py'
CONFIGURATION = 'pomelopass/platform/configdecode.py'
ORDERS = 'tests/scaling/test_manager.py'
INPUT = 'tests/scaling/test_input.py'

MUTANTS = (
    mutant.Mutant(
        'first-on-demand-engines-have-no-floor',
        PLAN,
        'return min(self.floor_by_zone[zone], self.scaling.max_count)',
        'return 0',
        (ORDERS,),
    ),
    mutant.Mutant(
        'engines-that-are-not-available-count-for-the-floor',
        PLAN,
        'while target[kind] < self._get_floor(zone) and self._is_available(\n'
        '                now, kind, target, supply_by_zone\n            ):',
        'while target[kind] < self._get_floor(zone):',
        (ORDERS,),
    ),
    mutant.Mutant(
        'zones-of-others-are-counted-on-without-end',
        PLAN,
        'self.unserved_by_kind[kind] = present',
        'pass',
        (ORDERS,),
    ),
    mutant.Mutant(
        'orders-without-engines-are-repeated-after-a-boot',
        PLAN,
        'resend_s = self.scaling.boot_s + RESEND_DELAY_S',
        'resend_s = self.scaling.boot_s',
        (ORDERS,),
    ),
    mutant.Mutant(
        'outcomes-of-orders-are-not-recorded',
        MANAGER,
        'planner.record(order, outcome, loop.time())',
        'pass',
        (ORDERS,),
    ),
    mutant.Mutant(
        'stop-keeps-the-duty',
        PARTS,
        'self.manager.stopping = True',
        'self.manager.stopping = False',
        (ORDERS,),
    ),
    mutant.Mutant(
        'engines-are-ordered-without-the-duty',
        PARTS,
        'if ports is None or not settings.orders_engines:',
        'if ports is None:',
        (ORDERS,),
    ),
    mutant.Mutant(
        'engines-that-leave-count-as-supply',
        'pomelopass/scaling/observation.py',
        'if not state.is_leaving]',
        'if state]',
        (INPUT,),
    ),
    mutant.Mutant(
        'minimum-above-the-maximum-is-taken',
        CONFIGURATION,
        'if self.min > self.max:',
        'if False:',
        (INPUT,),
    ),
)
