"""Calls of other instances and of the operator's command line."""

import time
import urllib.parse

from flamingolift_decisions.explanations import explain_routing
from flamingolift_model import Fault, ResultCode

from flamingolift_front.peersync import answer_peer
from flamingolift_front.responses import json_response, problem_response

__all__ = ["answer_inner"]


async def answer_inner(front, target):
    """Answers a call on the inner listener.

    Args:
        front: Front.
        target: Request target: `/view` for news of the view, `/explain` with
            `host`, `path` and `object` for the reasons behind a request.

    Returns:
        HttpResponse; a problem with status 404 for any other target.
    """
    split = urllib.parse.urlsplit(target)
    if split.path == "/view":
        return await answer_peer(front, target)
    if split.path == "/explain":
        query = dict(urllib.parse.parse_qsl(split.query))
        return json_response(200, _explain(front, query))
    return problem_response(Fault(ResultCode.NOT_FOUND, f"no call {split.path:.80}"))


def _explain(front, query):
    view = front.view
    sentences = explain_routing(
        view.table,
        view.backends,
        front.orders,
        query.get("host", ""),
        query.get("path", "/"),
        query.get("object", ""),
        time.monotonic(),
    )
    return {
        "instance": front.cfg.instance_id,
        "policy": view.table.number if view.table else 0,
        "revision": view.revision,
        "sentences": sentences,
    }
