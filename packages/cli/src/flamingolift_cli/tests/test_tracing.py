"""What `trace` says of a request, from the lines that fronts log."""

from flamingolift_cli.tracing import explain_request
from flamingolift_front.sending import Outcome

DONE = {
    "event": "request_done",
    "id": "q1",
    "route": "r-maps",
    "service": "maps",
    "policy": 3,
    "status": 200,
    "outcome": "answered",
    "elapsed_ms": 40.0,
    "detail": "",
}


def make_end(instance, at, sends, **fields):
    return {**DONE, "instance": instance, "at": at, "sends": sends, **fields}


def test_request_that_was_handed_on_is_followed_to_the_other_instance():
    cut_off = {"event": "servers_cut_off", "instance": "front-1", "at": 8.0}
    events = [
        cut_off,
        make_end("front-2", 9.0, [["i-1", 0, 0, "answered", 30.0]]),
        make_end("front-1", 9.1, [], handed_to="front-2"),
    ]
    own, context, sentences = explain_request(events, "q1")
    assert own == events[1:]
    assert context == [cut_off]
    assert "handed on to front-2" in sentences[1]
    assert "handed on" not in sentences[0]


def test_each_outcome_of_a_send_is_put_into_words():
    for outcome in Outcome:
        end = make_end("front-1", 9.0, [["i-1", 0, 0, outcome.value, 1.0]])
        _own, _context, sentences = explain_request([end], "q1")
        assert f") {outcome.value} after" not in sentences[0] or outcome == "answered"


def test_request_that_stood_behind_another_says_for_how_long():
    waits = {"waited_ms": 120.5, "early": True}
    end = make_end("front-1", 9.0, [["i-1", 0, 0, "answered", 30.0]], **waits)
    assert (
        "for 120.5 ms and was started meanwhile" in explain_request([end], "q1")[2][0]
    )
    end.update(early=False)
    assert "was started after them" in explain_request([end], "q1")[2][0]
    end.update(outcome="unread")
    assert "counts as not read" in explain_request([end], "q1")[2][0]


# Guards against a 404 on a new route whose trace does not tell that the view was old.
def test_trace_says_how_old_the_view_may_be():
    end = make_end("front-1", 9.0, [], status=404, view_age_ms=2600.0)
    assert (
        "no change of more than 2600.0 ms before" in explain_request([end], "q1")[2][0]
    )
    end.update(view_age_ms=-1)
    assert "nothing had proven" in explain_request([end], "q1")[2][0]
