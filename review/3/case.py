"""A worker that was idle for a while is cut off; its run outlasts the time after which the owner starts it elsewhere."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import fleet as deployment
from fleet import job_body
from workers import Worker

# Time without work before the job, so that the drift of the workers' clocks adds up.
IDLE_S = 75
# Length of the cut, and the time from the start of the run to the cut.
CUT_S = 6.5
BEFORE_CUT_S = 0.3


async def case(trouble):
    fleet = deployment.new_fleet(os.path.join(HERE, "record.txt"))
    await fleet.start(3, [])
    if not await fleet.until(fleet.owner, 10):
        raise RuntimeError("no instance owns the jobs")
    # The workers of the owner's zone come last, so that an idle fleet gives its first task to another zone.
    zones = sorted(deployment.ZONES, key=lambda zone: zone == fleet.owner().zone)
    for number in range(6):
        # The steady clocks of workers may be 2% slow.
        worker = Worker(fleet, f"i-w{number}", "pool", zones[number // 2], f"r-{number}", rate=0.98)
        fleet.workers[worker.name] = worker
        await worker.start()
    await asyncio.sleep(IDLE_S)
    job = "00000000000000c1"
    if not await fleet.submit(job, job_body(30000, 1, 1000)):
        raise RuntimeError("the job is not accepted")
    if not await fleet.until(lambda: fleet.starts, 5, pause=0.01):
        raise RuntimeError("the job does not run")
    zone = fleet.workers[fleet.starts[0][3]].zone
    if fleet.owner().zone == zone:
        raise RuntimeError("the owner is in the zone of the worker")
    await asyncio.sleep(BEFORE_CUT_S)
    if trouble:
        fleet.cut_zone(zone)
    await asyncio.sleep(CUT_S)
    if trouble:
        fleet.heal_zone(zone)
    await asyncio.sleep(3)
    return fleet


deployment.run(case)
