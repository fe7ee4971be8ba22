import asyncio

from flamingolift_front import run


# Guards against an instance that keeps its old view because the task that follows the
# store ended with an exception.
async def test_background_task_that_fails_is_started_again(new_front, monkeypatch):
    monkeypatch.setattr(run, "RESTART_PAUSE_S", 0.0)
    front, starts = new_front(), asyncio.Queue()

    async def fail(front):
        starts.put_nowait(front)
        raise KeyError("a fault of the program")

    task = asyncio.ensure_future(run._run_forever(front, fail))
    for _ in range(3):
        assert await asyncio.wait_for(starts.get(), 5.0) is front
    task.cancel()
