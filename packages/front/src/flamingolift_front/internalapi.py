"""Requests on the peer port: from other instances and the operator's command line."""

import time
import urllib.parse

from flamingolift_decisions import quarantine
from flamingolift_decisions.explanations import explain_routing
from flamingolift_model import Fault, ResultCode

from flamingolift_front.crashsync import serve_crashes
from flamingolift_front.crashtrials import serve_trial
from flamingolift_front.heldrequests import serve_held, serve_hold
from flamingolift_front.helperlist import serve_paths
from flamingolift_front.limitgrants import serve_grant
from flamingolift_front.responses import json_response, problem_response
from flamingolift_front.viewserving import serve_view

__all__ = ["handle_internal"]


async def handle_internal(front, target, body=b""):
    """Answers a request on the peer port.

    Args:
        front: Front.
        target: Request target: `/view` for changes of the view, `/grant` for a
            request to a server that names a limit, `/paths` for the services that
            the instance cannot serve, `/crashes` for servers that ended, `/trial` for
            a trial of a held request, `/held` for the list of held requests, `/hold`
            for an operator's exception, `/explain` with `host`, `path`
            and `object` for an explanation of how a request is routed.
        body: Body of the request (bytes).

    Returns:
        HttpResponse; a problem document with status 404 for any other target, and
        with status 400 for a malformed one.
    """
    try:
        split = urllib.parse.urlsplit(target)
    except ValueError as exc:
        return problem_response(Fault(ResultCode.BAD_REQUEST, f"target: {exc}"))
    if split.path == "/view":
        return await serve_view(front, target)
    if split.path == "/grant":
        return await serve_grant(front, dict(urllib.parse.parse_qsl(split.query)))
    if split.path == "/crashes":
        query = dict(urllib.parse.parse_qsl(split.query))
        return await serve_crashes(front, query, body)
    if split.path == "/trial":
        return await serve_trial(front, dict(urllib.parse.parse_qsl(split.query)))
    if split.path == "/held":
        return await serve_held(front)
    if split.path == "/hold":
        return await serve_hold(front, dict(urllib.parse.parse_qsl(split.query)))
    if split.path == "/paths":
        return await serve_paths(front)
    if split.path == "/explain":
        query = dict(urllib.parse.parse_qsl(split.query))
        return json_response(200, _explain(front, query))
    return problem_response(
        Fault(ResultCode.NOT_FOUND, f"unknown path {split.path:.80}")
    )


def _explain(front, query):
    view = front.view
    sentences = explain_routing(
        view.table,
        view.backends,
        front.affinity_cache,
        front.paths,
        front.cfg.region,
        query.get("host", ""),
        query.get("path", "/"),
        query.get("object", ""),
        time.monotonic(),
        front.region_costs,
        quarantine.current_holds(front.crashes.record, time.monotonic()),
    )
    return {
        "instance": front.cfg.instance_id,
        "policy": view.table.number if view.table else 0,
        "revision": view.revision,
        "sentences": sentences,
    }
