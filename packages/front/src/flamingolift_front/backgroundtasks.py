"""Background tasks of a front, whose failures are logged."""

import asyncio

from flamingolift_front.eventlog import log_event

__all__ = ["start_task"]


def start_task(front, coroutine):
    """Starts a task that is kept until it ends; its failure is logged.

    Args:
        front: Front.
        coroutine: Coroutine to run.

    Returns:
        The asyncio task.
    """
    task = asyncio.get_running_loop().create_task(coroutine)
    front.tasks.add(task)
    task.add_done_callback(lambda done: _on_task_done(front, done))
    return task


def _on_task_done(front, task):
    front.tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        cause = repr(task.exception())
        log_event(front.log, "task_failed", task=task.get_name(), cause=cause)
