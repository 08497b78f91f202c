#!/usr/bin/env python3
"""Runs an example deployment with real requests, prints responses, attainment
and cost by stage, and stops all processes cleanly.

Usage: run_example.py [kowhai|clubs]
"""

import collections
import json
import sys
import tempfile
import threading
import time

from fleet import ROOT, Fleet, call

# Requests of each example: pipeline, client account, input, count.
REQUESTS = {
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


def send_request(address, pipeline, account, number, request_input, results):
    body = {"pipeline": pipeline, "account": account,
            "request_id": f"{pipeline}-{number}", "input": request_input}
    started_at = time.monotonic()
    status, ticket = call(address, "/v1/tickets", body)
    if status == 201:
        body["ticket"] = ticket["ticket"]
    status, response = call(address, "/v1/requests", body, timeout=40)
    results.append((pipeline, status, response, time.monotonic() - started_at))


def main():
    name = sys.argv[1] if len(sys.argv) > 1 else "kowhai"
    if name not in REQUESTS:
        sys.exit(__doc__)
    path = ROOT / "examples" / name / "manifest.json"
    manifest = json.loads(path.read_text())
    fleet = Fleet(manifest, tempfile.mkdtemp(prefix=f"mangofold-{name}-"))
    results = []
    try:
        fleet.start()
        print(f"{name}: {len(fleet.processes)} processes are up, logs and "
              f"records in {fleet.folder}")
        threads = []
        addresses = [entry[0] for entry in fleet.entries.values()]
        for pipeline, account, request_input, count in REQUESTS[name]:
            for number in range(count):
                threads.append(threading.Thread(target=send_request, args=(
                    addresses[number % len(addresses)], pipeline, account,
                    number, request_input, results)))
        for thread in threads:
            thread.start()
            time.sleep(0.01)
        for thread in threads:
            thread.join()
    finally:
        codes = fleet.stop()
    print_report(results, manifest, fleet.records())
    is_clean = all(code == 0 for code in codes.values())
    print("all entries and sidecars stopped cleanly" if is_clean else
          f"exit codes: {codes}")
    attained = sum(status == 200 for _, status, _, _ in results)
    sys.exit(0 if is_clean and attained == len(results) else 1)


def print_report(results, manifest, runs):
    pipelines = set()
    for pipeline, status, response, _ in results:
        if pipeline not in pipelines:
            pipelines.add(pipeline)
            print(f"  {pipeline}: {status} {json.dumps(response)[:160]}")
    deadline = {pipeline["id"]: pipeline["deadline_ms"] / 1000
                for pipeline in manifest["pipelines"]}
    print(f"{'pipeline':18}{'sent':>6}{'attained':>10}{'slowest ms':>12}")
    for pipeline in sorted(pipelines):
        own_results = [result for result in results
                       if result[0] == pipeline]
        attained = [result for result in own_results
                    if result[1] == 200 and result[3] <= deadline[pipeline]]
        print(f"{pipeline:18}{len(own_results):6}"
              f"{len(attained) / len(own_results):10.3f}"
              f"{1000 * max(result[3] for result in own_results):12.1f}")
    service_us = collections.Counter()
    for _, _, response, _ in results:
        for stage in response.get("stages", []):
            service_us[stage["stage"]] += stage["service_us"]
    counts = collections.Counter(run["stage"] for run in runs)
    print(f"{'stage':18}{'runs':>6}{'target ms':>12}{'ms a request':>14}")
    for stage, stage_us in sorted(service_us.items()):
        print(f"{stage:18}{counts[stage]:6}{stage_us / 1000:12.1f}"
              f"{stage_us / 1000 / len(results):14.2f}")


if __name__ == "__main__":
    main()
