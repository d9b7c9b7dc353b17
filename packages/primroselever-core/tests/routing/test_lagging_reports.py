"""Guards against entries that all choose one server when load reports lag by 1 s."""

from __future__ import annotations

import heapq
from random import Random
from statistics import mean

from primroselever_core.outcomes import Done
from primroselever_core.routing.choose import Choice

RUN_S = 1.0
LAG_S = 1.0
RATE_PER_S = 120.0
SECONDS = 20
ENTRIES = 4


def test_load_stays_balanced_when_reports_lag(new_router, wanted):
    routers = [new_router(home=6, seed=seed + 1) for seed in range(ENTRIES)]
    random = Random(5)
    now, ends, load, samples = 0.0, [], {}, []
    history = []
    for number in range(int(RATE_PER_S * SECONDS)):
        now += random.expovariate(RATE_PER_S)
        while ends and ends[0][0] <= now:
            _, _, router, request, server = heapq.heappop(ends)
            load[server.vm.vm_id] -= 1
            router.record_end(request, server, Done(100, ""), now)
            reports = [loads for at, loads in history if at <= now - LAG_S]
            if reports:
                server.apply_report(reports[-1].get(server.vm.vm_id, 0), False, now)
        router = routers[number % ENTRIES]
        request = wanted(f"{random.randrange(40):04d} {number}")
        choice = router.choose_for_request(request, (), now)
        assert isinstance(choice, Choice)
        router.record_start(request, choice.server)
        vm_id = choice.server.vm.vm_id
        load[vm_id] = load.get(vm_id, 0) + 1
        heapq.heappush(ends, (now + RUN_S, number, router, request, choice.server))
        history = [*history[-300:], (now, dict(load))]
        if now > 3.0:
            samples.append(max(load.values()) / mean(load.values()))
    assert mean(samples) <= 1.5
