#!/usr/bin/env python3
"""Runs an example deployment with real requests, prints answers, attainment
and cost by stage, and stops cleanly.

Usage: run_example.py [kowhai|clubs]
"""

import collections
import json
import sys
import tempfile
import threading
import time

from fleet import ROOT, Fleet, call

# What people ask: pipeline, client account, input, how many.
ASKED = {
    "kowhai": [
        ("itinerary", "front-desk",
         {"note": "Two guests, hot pools and a massage, back by four."}, 20),
        ("voucher-message", "online", {"to": "Aroha", "from": "Mum"}, 20),
        ("chat", "online", {"question": "Is the sauna open on Sunday?"}, 30),
        ("availability", "front-desk", {"therapist": "Mere", "day": "Sat"},
         40),
        ("points", "online", {"member": 1207}, 20),
        ("redeem", "front-desk", {"code": "KOWHAI-7"}, 20),
        ("pay", "online", {"cents": 18900}, 10)],
    "clubs": [
        ("summary-draft", "coordinators", {"club": "kayak", "season": 2026},
         20),
        ("answer-parent", "parents", {"question": "When does camp begin?"},
         30),
        ("seat-hold", "parents", {"clinic": "football", "seat": 12}, 20),
        ("payment-check", "treasurer", {"family": 88}, 40),
        ("confirm", "coordinators", {"camp": "July"}, 10),
        ("member", "volunteers", {"id": 5}, 20)],
}


def ask(address, pipeline, account, number, text, told):
    body = {"pipeline": pipeline, "account": account,
            "request_id": f"{pipeline}-{number}", "input": text}
    begun = time.monotonic()
    status, ticket = call(address, "/v1/tickets", body)
    if status == 201:
        body["ticket"] = ticket["ticket"]
    status, answer = call(address, "/v1/requests", body, timeout=40)
    told.append((pipeline, status, answer, time.monotonic() - begun))


def main():
    name = sys.argv[1] if len(sys.argv) > 1 else "kowhai"
    if name not in ASKED:
        sys.exit(__doc__)
    path = ROOT / "examples" / name / "manifest.json"
    manifest = json.loads(path.read_text())
    fleet = Fleet(manifest, tempfile.mkdtemp(prefix=f"mangofold-{name}-"))
    told = []
    try:
        fleet.start()
        print(f"{name}: {len(fleet.processes)} processes are up, logs and "
              f"records in {fleet.folder}")
        threads = []
        addresses = [entry[0] for entry in fleet.entries.values()]
        for pipeline, account, text, count in ASKED[name]:
            for number in range(count):
                threads.append(threading.Thread(target=ask, args=(
                    addresses[number % len(addresses)], pipeline, account,
                    number, text, told)))
        for thread in threads:
            thread.start()
            time.sleep(0.01)
        for thread in threads:
            thread.join()
    finally:
        codes = fleet.stop()
    report(told, manifest, fleet.records())
    good = all(code == 0 for code in codes.values())
    print("every process of ours stopped cleanly" if good else
          f"exit codes: {codes}")
    attained = sum(status == 200 for _, status, _, _ in told)
    sys.exit(0 if good and attained == len(told) else 1)


def report(told, manifest, runs):
    shown = set()
    for pipeline, status, answer, _ in told:
        if pipeline not in shown:
            shown.add(pipeline)
            print(f"  {pipeline}: {status} {json.dumps(answer)[:160]}")
    deadline = {one["id"]: one["deadline_ms"] / 1000
                for one in manifest["pipelines"]}
    print(f"{'pipeline':18}{'asked':>6}{'attained':>10}{'slowest ms':>12}")
    for pipeline in sorted(shown):
        mine = [one for one in told if one[0] == pipeline]
        attained = [one for one in mine
                    if one[1] == 200 and one[3] <= deadline[pipeline]]
        print(f"{pipeline:18}{len(mine):6}{len(attained) / len(mine):10.3f}"
              f"{1000 * max(one[3] for one in mine):12.1f}")
    cost = collections.Counter()
    for _, _, answer, _ in told:
        for stage in answer.get("stages", []):
            cost[stage["stage"]] += stage["service_us"]
    counts = collections.Counter(run["stage"] for run in runs)
    print(f"{'stage':18}{'runs':>6}{'target ms':>12}{'ms a request':>14}")
    for stage, us in sorted(cost.items()):
        print(f"{stage:18}{counts[stage]:6}{us / 1000:12.1f}"
              f"{us / 1000 / len(told):14.2f}")


if __name__ == "__main__":
    main()
