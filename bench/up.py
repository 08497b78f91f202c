#!/usr/bin/env python3
"""Runs an example deployment on fixed ports until interrupted.

Usage: up.py [kowhai|clubs]
"""

import json
import sys
import tempfile
import time

from fleet import ROOT, Fleet


def main():
    name = sys.argv[1] if len(sys.argv) > 1 else "kowhai"
    path = ROOT / "examples" / name / "manifest.json"
    fleet = Fleet(json.loads(path.read_text()),
                  tempfile.mkdtemp(prefix=f"mangofold-{name}-"))
    try:
        fleet.start()
        print(f"platform        {fleet.platform}  "
              f"process {fleet.processes['platform'].pid}")
        for entry, (address, admin, zone) in fleet.entries.items():
            print(f"{entry:16}{address}  admin {admin}  zone {zone}  "
                  f"process {fleet.processes[entry].pid}")
        for target, (settings, _) in fleet.targets.items():
            print(f"{target:16}{settings['address']}  "
                  f"process {fleet.processes['target ' + target].pid}  "
                  f"sidecar {settings['sidecar']}  "
                  f"admin {fleet.admin[target]}  "
                  f"process {fleet.processes['sidecar ' + target].pid}")
        print(f"logs in {fleet.folder}; Ctrl-C stops the fleet", flush=True)
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        pass
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
