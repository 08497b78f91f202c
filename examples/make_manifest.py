#!/usr/bin/env python3
"""Writes the manifests of the two example deployments.

Takes the place of the operators' build pipeline: no other program generates
manifests.
Usage: make_manifest.py kowhai|clubs [GENERATION] > manifest.json
"""

import json
import sys

HOST = "127.0.0.1"


class PortAllocator:
    """Assigns one port to every target and one to its sidecar."""

    def __init__(self, first_port):
        self.next = first_port

    def allocate(self):
        self.next += 1
        return f"{HOST}:{self.next}", f"{HOST}:{self.next + 500}"


def pool(ports, zones, name, count, slots, **more):
    targets = []
    for number in range(1, count + 1):
        address, sidecar = ports.allocate()
        targets.append({"id": f"{name}-{number}",
                        "zone": zones[(number - 1) % len(zones)],
                        "address": address, "sidecar": sidecar})
    return {"id": name, "slots": slots, **more, "targets": targets}


def model_stages(generator_model):
    return [{"id": "encode", "pool": "encoders", "model": "embed:2"},
            {"id": "retrieve", "pool": "retrievers"},
            {"id": "rerank", "pool": "rerankers", "model": "rank:1"},
            {"id": "generate", "pool": "generators", "model": generator_model}]


def pipeline(name, priority, deadline_ms, stages):
    return {"id": name, "class": priority, "deadline_ms": deadline_ms,
            "stages": stages}


def single_stage(name, priority, deadline_ms, target_pool, repeatable):
    return pipeline(name, priority, deadline_ms,
                    [{"id": name, "pool": target_pool,
                      "repeatable": repeatable}])


def model_pools(ports, zones, generators):
    return [pool(ports, zones, "encoders", 3, 16),
            pool(ports, zones, "retrievers", 3, 16),
            pool(ports, zones, "rerankers", 3, 8),
            pool(ports, zones, "generators", generators, 8, bulk_reserve=3,
                 checks_orders=True)]


MODELS = [{"id": "embed", "versions": ["2"]},
          {"id": "rank", "versions": ["1"]},
          {"id": "writer", "versions": ["3"], "adapters": ["spa", "clubs"]},
          {"id": "chat", "versions": ["5"]}]


def kowhai(generation):
    zones = ["akl-1", "akl-2", "wlg-1", "chc-1"]
    ports = PortAllocator(21000)
    return {
        "generation": generation,
        "resend_horizon_ms": 6000,
        "zones": zones,
        "models": MODELS,
        "pools": model_pools(ports, zones, 11) + [
            pool(ports, zones, "booking", 4, 8),
            pool(ports, zones, "loyalty", 5, 8),
            pool(ports, zones, "rostering", 5, 8),
            pool(ports, zones, "payments", 5, 8)],
        "pipelines": [
            pipeline("itinerary", "bulk", 4000, model_stages("writer:3+spa")),
            pipeline("voucher-message", "standard", 4000,
                     model_stages("writer:3+spa")),
            pipeline("chat", "urgent", 4000, model_stages("chat:5")),
            single_stage("availability", "urgent", 1000, "rostering",
                         True),
            single_stage("points", "standard", 1000, "loyalty", True),
            single_stage("redeem", "urgent", 2000, "booking", False),
            single_stage("pay", "urgent", 2000, "payments", False)],
        "accounts": [
            {"id": "front-desk", "weight": 8},
            {"id": "online", "weight": 4, "rate_per_s": 500, "burst": 500},
            {"id": "head-office", "weight": 1, "rate_per_s": 200,
             "burst": 200},
            {"id": "partners", "weight": 1, "rate_per_s": 50, "burst": 50},
            {"id": "night-batch", "weight": 1, "rate_per_s": 100,
             "burst": 100}]}


def clubs(generation):
    zones = ["sjo-1", "sjo-2", "lir-1"]
    ports = PortAllocator(24000)
    return {
        "generation": generation,
        "resend_horizon_ms": 6000,
        "zones": zones,
        "models": MODELS,
        "pools": model_pools(ports, zones, 11) + [
            pool(ports, zones, "seats", 3, 8),
            pool(ports, zones, "directory", 5, 8),
            pool(ports, zones, "notifications", 5, 8),
            pool(ports, zones, "rostering", 5, 8)],
        "pipelines": [
            pipeline("summary-draft", "bulk", 30000,
                     model_stages("writer:3+clubs")),
            pipeline("answer-parent", "standard", 4000,
                     model_stages("chat:5")),
            single_stage("seat-hold", "urgent", 2000, "seats", False),
            single_stage("payment-check", "urgent", 1000, "seats", True),
            single_stage("confirm", "urgent", 3000, "notifications", False),
            single_stage("member", "standard", 1000, "directory", True),
            single_stage("volunteers", "standard", 1000, "rostering", True)],
        "accounts": [
            {"id": "coordinators", "weight": 8},
            {"id": "parents", "weight": 4, "rate_per_s": 300, "burst": 300},
            {"id": "volunteers", "weight": 2, "rate_per_s": 100,
             "burst": 100},
            {"id": "season-batch", "weight": 1, "rate_per_s": 50,
             "burst": 50},
            {"id": "treasurer", "weight": 4, "rate_per_s": 50,
             "burst": 50}]}


def main():
    if len(sys.argv) < 2 or sys.argv[1] not in ("kowhai", "clubs"):
        sys.exit(__doc__)
    build = {"kowhai": kowhai, "clubs": clubs}[sys.argv[1]]
    generation = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    print(json.dumps(build(generation), indent=1))


if __name__ == "__main__":
    main()
