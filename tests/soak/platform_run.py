"""Runs entries before stand-ins of the platform, to try with curl."""

import argparse
import asyncio
import tempfile

from fleet import Entry, wait_ready
from world import PlatformStandin


async def run(options, folder):
    platform = PlatformStandin(options.base)
    await platform.start(options.copies)
    seeds = [f"127.0.0.1:{options.base + 1004}"]
    fleet = [Entry(options.program, number, options.base + 1000,
                   platform.store_address, folder, seeds, {})
             for number in range(options.entries)]
    try:
        for entry in fleet:
            await entry.open()
        await wait_ready(fleet)
        print("Ctrl-C stops the entries. A streamed request with two stages:\n"
              f"curl -N http://{fleet[0].frontend}/chat/x "
              "-H 'Host: h.example' "
              "-H 'Authorization: Bearer always' "
              "-H 'X-Mangofold-Request-Id: a1' "
              "-H 'X-Mangofold-Pieces: 2,1' "
              "-H 'X-Mangofold-Piece-Key: key-a1' -d hi\n"
              f"curl http://{fleet[0].readiness}/metrics", flush=True)
        if options.seconds:
            await asyncio.sleep(options.seconds)
        else:
            await asyncio.Event().wait()
    finally:
        for entry in fleet:
            entry.terminate()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--copies", type=int, default=2)
    parser.add_argument("--base", type=int, default=25000)
    parser.add_argument("--seconds", type=float, default=0,
                        help="stop after so many seconds; 0: run until Ctrl-C")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        try:
            asyncio.run(run(options, folder))
        except KeyboardInterrupt:
            pass


if __name__ == "__main__":
    main()
