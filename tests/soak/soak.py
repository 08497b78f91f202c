"""Disturbs entry processes before stand-ins and checks the promises."""

import argparse
import asyncio
import os
import sys
import tempfile

from callers import Caller, PersistentCaller, REQUEST_KINDS
from disorder import LOSS_KINDS, DisturbanceInjector
from fleet import (HOSTS_PER_GAP, LONG_GRACE_S, Entry, RecordKeepers,
                   wait_ready)
from oracle import Oracle
from world import WARM_UP, PlatformStandin

LONG_STREAMS_SHARE = 0.5  # In runs in which all entries are lost.
SETTLE_S = 4  # After the last disturbance, until all requests must be served.


async def check_recovery(oracle, seed):
    """Checks that requests of each kind are served after all disturbances."""
    caller = Caller(oracle, seed, abandoned_share=0)
    before = dict(oracle.outcome_counts)
    runs = [caller.run(oracle.now() + 3, 0.05) for _ in range(4)]
    await asyncio.gather(*runs)
    for kind in REQUEST_KINDS:
        outcomes = {outcome: count - before.get((kind, outcome), 0)
                    for (counted_kind, outcome), count
                    in oracle.outcome_counts.items()
                    if counted_kind == kind}
        served = outcomes.get(200, 0)
        if served < 0.9 * sum(outcomes.values()) or served == 0:
            oracle.faults.append(f"not recovered: {kind} {outcomes}")


async def soak(options, folder):
    platform = PlatformStandin(options.base, options.seed)
    if options.only and "cold" in options.only:
        platform.warm_up = WARM_UP
    platform.has_bursts = "uneven" in (options.only or ())
    if options.long_streams:
        platform.allow_long_streams()
    if set(LOSS_KINDS) & set(options.only or ()):
        # Streams are in progress at each loss, and outlast it.
        platform.log.long_streams_share = LONG_STREAMS_SHARE
    platform.keepers = RecordKeepers(
        options.program, options.base + 999, folder,
        0 if options.without_keepers else HOSTS_PER_GAP, options.seed)
    await platform.start(options.copies)
    # As Entry numbers its ports.
    first_peer_port = 1002 if options.direct else 1004
    seeds = [f"127.0.0.1:{options.base + first_peer_port + 10 * number}"
             for number in (0, 1)]
    downlinks = {}
    fleet = [Entry(options.program, number, options.base + 1000,
                   platform.store_address, folder, seeds, downlinks,
                   options.narrow_rate if number < options.narrow else 0)
             for number in range(options.entries)]
    for entry in fleet:
        entry.is_direct = options.direct
        if options.long_streams:
            entry.grace_s = LONG_GRACE_S
        entry.keeper_port = platform.keepers.port
    oracle = Oracle(platform.log, fleet)
    oracle.published[1] = oracle.now()
    oracle.judges_losses = options.long_streams
    oracle.count_serving_engines = platform.count_serving_engines
    tasks = []
    try:
        for entry in fleet:
            await entry.open()
        await wait_ready(fleet)
        for entry in fleet:
            tasks.append(asyncio.create_task(entry.restart_on_exit()))
            if options.long_streams:
                tasks.append(asyncio.create_task(entry.check_readiness()))
        tasks.append(asyncio.create_task(oracle.detect_stalls()))
        injector = DisturbanceInjector(options.seed, platform, oracle,
                                       options.only)
        until = oracle.now() + options.seconds
        caller_type = PersistentCaller if options.long_streams else Caller
        callers = [caller_type(oracle, f"{options.seed}.{number}")
                   for number in range(options.callers)]
        await asyncio.gather(
            injector.run(until),
            callers[0].probe(until + SETTLE_S),
            *(caller.run(until, options.pause) for caller in callers))
        await asyncio.sleep(SETTLE_S)
        platform.log.longest_stream_s = 0
        await check_recovery(oracle, options.seed)
    finally:
        for task in tasks:
            task.cancel()
        for entry in fleet:
            entry.terminate()
        platform.keepers.terminate()
    oracle.check_run()
    for host, exit_code in platform.keepers.unexpected_exits:
        oracle.faults.append(
            f"the record keeper on {host} exited: {exit_code}")
    return oracle, injector


def report(oracle, injector, options):
    outcomes_by_kind = {}
    for (kind, outcome), count in sorted(oracle.outcome_counts.items(),
                                         key=str):
        outcomes_by_kind.setdefault(kind, []).append(f"{outcome}: {count}")
    for kind, outcomes in outcomes_by_kind.items():
        print(f"  {kind}: {', '.join(outcomes)}")
    if options.verbose or oracle.faults:
        print("\n".join(injector.history))
    if shares := oracle.refused_shares():
        print(f"  refused: {shares[0]:.3f} of the most urgent route, "
              f"{shares[1]:.3f} of the least urgent one")
    for fault in oracle.faults[:60]:
        print(f"FAULT {fault}")
    if oracle.unanswered:
        print(f"  passed on and not answered: {len(oracle.unanswered)}")
    state = "clean" if not oracle.faults else f"{len(oracle.faults)} faults"
    shares = [f"{gone_on} of {count} ({cause})" for cause, (count, gone_on)
              in sorted(oracle.take_up_shares().items())]
    print(f"seed {options.seed}: {state}, {len(oracle.requests)} requests, "
          f"{len(injector.history)} disturbances; streams that could go on "
          f"and did: {', '.join(shares) or 'none'}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--copies", type=int, default=3)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--pause", type=float, default=0.15)
    parser.add_argument("--base", type=int, default=26000,
                        help="first port, below the ephemeral port range")
    parser.add_argument("--direct", action="store_true",
                        help="no proxies between entries; for large fleets")
    parser.add_argument("--without-keepers", action="store_true",
                        help="no record keepers; entries keep the records")
    parser.add_argument("--narrow", type=int, default=0,
                        help="number of entries with a narrow link")
    parser.add_argument("--narrow-rate", type=float, default=8e5,
                        help="bytes per second of a narrow link")
    parser.add_argument("--only", nargs="*",
                        help="kinds of disturbances, such as kill")
    parser.add_argument("--long-streams", action="store_true",
                        help="streams and routes may outlast a stop; callers "
                        "use connections until they are closed")
    parser.add_argument("--verbose", action="store_true")
    parser.add_argument("--logs", help="folder for the entries' logs")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = options.logs or temporary_folder
        os.makedirs(folder, exist_ok=True)
        oracle, injector = asyncio.run(soak(options, folder))
    report(oracle, injector, options)
    sys.exit(1 if oracle.faults else 0)


if __name__ == "__main__":
    main()
