"""An idle worker crashes and starts again under its id; a task that its new life has begun is started again elsewhere."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import fleet as deployment
from fleet import job_body

# Time for which the worker is down. The directory keeps its entry: it goes after three ping intervals, 4.5 s.
DOWN_S = 3.7
ROUNDS = 12


async def case(trouble):
    fleet = deployment.new_fleet(os.path.join(HERE, "record.txt"))
    workers = [
        {"name": f"i-w{number}", "pool": "pool", "zone": deployment.ZONES[number % 3], "rack": f"r-{number}"}
        for number in range(6)
    ]
    await fleet.start(3, workers)
    for number in range(ROUNDS):
        # The worker that gets the first task of an idle fleet.
        probe = f"{0x1000 + number:016x}"
        if not await fleet.submit(probe, job_body(200, 1, 1000)):
            raise RuntimeError("a job is not accepted")
        if not await fleet.until(lambda: probe + ".0.0.0" in fleet.done, 10):
            raise RuntimeError("a job does not run")
        first = next(start[3] for start in fleet.starts if start[1].startswith(probe))
        await asyncio.sleep(1)
        worker = fleet.workers[first]
        if trouble:
            await worker.crash()
        await asyncio.sleep(DOWN_S)
        if trouble:
            await worker.start()
        job = f"{0x2000 + number:016x}"
        await fleet.submit(job, job_body(2500, 2, 1000), first=number)
        await asyncio.sleep(3)
        if fleet.broken:
            break
        if fleet.now() > 95:
            break
    return fleet


deployment.run(case)
