"""Header fields of an answer that an instance gives to the one that handed on."""

from flamingolift_front.handoverfields import take_fields, write_fields
from flamingolift_front.requesttrace import SendRecord, Trace
from flamingolift_front.responses import problem_response
from flamingolift_front.sending import Outcome
from flamingolift_model import Fault, ResultCode


def make_trace(*outcomes):
    trace = Trace()
    for number, outcome in enumerate(outcomes):
        send = SendRecord(f"i-{number}", 0, 0.0, 5 + number)
        send.outcome = outcome
        trace.sends.append(send)
    return trace


def make_answer():
    return problem_response(Fault(ResultCode.BACKEND_TIMEOUT, "late"))


# Guards against an instance's own answer that is taken for one of a server which had
# answered before: as it names no limit, it would end that server's limit.
def test_own_answer_names_no_server():
    answer = make_answer()
    write_fields(answer, make_trace(Outcome.ANSWERED, Outcome.LATE), is_own=True)
    served_by = take_fields(answer)
    assert (served_by.server_id, served_by.attempts) == ("", 2)


def test_answer_names_its_server_and_the_attempts():
    answer = make_answer()
    outcomes = (Outcome.UNREACHED, Outcome.NOT_RUN, Outcome.ANSWERED, Outcome.LOST)
    before = list(answer.headers)
    write_fields(answer, make_trace(*outcomes))
    served_by = take_fields(answer)
    assert (served_by.server_id, served_by.started_ms) == ("i-2", 7)
    assert served_by.attempts == 3
    assert answer.headers == before


def test_answer_of_a_former_build_says_nothing():
    served_by = take_fields(make_answer())
    assert (served_by.server_id, served_by.attempts) == ("", None)
