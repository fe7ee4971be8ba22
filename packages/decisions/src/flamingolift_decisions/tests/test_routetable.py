from flamingolift_decisions import routetable, windowbudget
from flamingolift_model.routing import Route, RoutingPolicy, WeightedService


def make_route(name, host, prefix, **weights):
    services = [WeightedService(service=s, weight=w) for s, w in weights.items()]
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        services=services or [WeightedService(service="s", weight=1.0)],
        idempotent=True,
        timeout_ms=1000.0,
    )


def make_table(*routes):
    policy = RoutingPolicy(number=7, routes=list(routes))
    return routetable.build_route_table(policy)


def test_longest_prefix_of_the_host_wins():
    table = make_table(
        make_route("a", "one.example", "/"),
        make_route("b", "one.example", "/x/"),
        make_route("c", "one.example", "/x/y/"),
        make_route("d", "two.example", "/x/"),
    )
    match = routetable.match_route
    assert match(table, "one.example", "/x/y/z").name == "c"
    assert match(table, "one.example", "/x/yy").name == "b"
    assert match(table, "ONE.example:8080", "/x").name == "a"
    assert match(table, "two.example", "/x/").name == "d"
    assert match(table, "two.example", "/") is None
    assert match(table, "three.example", "/x/") is None


def test_weights_share_the_requests():
    route = make_route("a", "h", "/", big=90.0, small=10.0)
    picks = [routetable.pick_service(route, f"id-{n}") for n in range(5000)]
    share = picks.count("small") / len(picks)
    # Four standard deviations of a binomial share.
    assert abs(share - 0.1) < 0.017


def test_service_without_weight_gets_nothing():
    route = make_route("a", "h", "/", big=1.0, small=0.0)
    assert {routetable.pick_service(route, str(n)) for n in range(200)} == {"big"}


def test_retries_of_all_instances_stay_within_the_fleet_budget():
    instances, ratio, window_s, extra = 20, 0.2, 10.0, 100
    budgets = [
        windowbudget.WindowBudget(ratio, window_s, extra) for _n in range(instances)
    ]
    sent = requests = 0
    for tick in range(1000):
        now = tick / 100.0
        for budget in budgets:
            windowbudget.record_request(budget, now)
            requests += 1
            while windowbudget.allow_retry(budget, instances, now):
                windowbudget.record_retry(budget, now)
                sent += 1
    assert 0 < sent <= ratio * requests + extra


def test_retries_return_when_the_window_has_passed():
    budget = windowbudget.WindowBudget(0.0, 10.0, 10)
    while windowbudget.allow_retry(budget, 1, 0.0):
        windowbudget.record_retry(budget, 0.0)
    assert not windowbudget.allow_retry(budget, 1, 9.9)
    assert windowbudget.allow_retry(budget, 1, 10.1)


def test_fleet_that_restarts_within_a_window_stays_within_its_budget():
    """All instances restart and know none of the others yet."""
    instances, ratio, window_s, extra = 18, 0.2, 10.0, 116
    sent = requests = 0
    for known, started_at in ((instances, -100.0), (1, 5.0)):
        budgets = [
            windowbudget.WindowBudget(ratio, window_s, extra, started_at)
            for _n in range(instances)
        ]
        for tick in range(100):
            now = max(0.0, started_at) + tick / 25.0
            for budget in budgets:
                windowbudget.record_request(budget, now)
                requests += 1
                while windowbudget.allow_retry(budget, known, now):
                    windowbudget.record_retry(budget, now)
                    sent += 1
    assert 0 < sent <= ratio * requests + extra
