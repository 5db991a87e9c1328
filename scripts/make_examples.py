#!/usr/bin/env python3
"""Writes the example bundles of both deployments at their present sizes.

The keys are derived from the names of the teams, so the examples must only be
used for reading, demos and tests.
"""
import json
import pathlib
import subprocess
import sys

HERE = pathlib.Path(__file__).resolve().parent.parent


def public_key(binary, seed):
    out = subprocess.run([binary, "keys", f"--seed={seed}"], check=True,
                         capture_output=True, text=True).stdout
    return json.loads(out)["public"]


def service(name, region_names, base_port, per_region, slots, connections,
            **rest):
    upstreams = []
    for r, region in enumerate(region_names):
        for i in range(per_region):
            n = r * per_region + i + 1
            upstreams.append({
                "name": f"{name}-{n}",
                "address": f"127.0.0.1:{base_port + n}",
                "region": region,
                "failureDomain": f"{region}-{'ab'[i % 2]}",
                "slots": slots,
                "connections": connections,
            })
    return {"name": name, **rest, "upstreams": upstreams}


def shifts(name, regions, cap):
    """One shift for every pair of regions, for when the home region is full."""
    return [{"name": f"{name}-{a}-{b}", "service": name, "from": a, "to": b,
             "cap": cap} for a in regions for b in regions if a != b]


def write(folder, binary, teams, regions, cap, link_cap, blocks):
    out = HERE / "examples" / folder
    out.mkdir(parents=True, exist_ok=True)
    root = {
        "teams": [{"name": t, "publicKey": public_key(binary, f"{folder}-{t}")}
                  for t in teams],
        "regions": [{"name": r, "cap": cap,
                     "failureDomains": [f"{r}-a", f"{r}-b"]} for r in regions],
        "links": [{"from": a, "to": b, "cap": link_cap}
                  for a in regions for b in regions if a != b],
        "clients": [{"block": b, "region": r} for b, r in blocks],
    }
    sections = {"root": root, **teams}
    for team, section in sections.items():
        text = json.dumps(section, indent=1) + "\n"
        (out / f"{team}.json").write_text(text)


def main(binary):
    r = ["dfw", "hou", "sat"]
    write("lone-star", binary, {
        "stock": {"services": [service(
            "stock-lookup", r, 20100, 5, 10, 300, repeatable=True,
            deadlineMs=1000, maxDeadlineMs=2000, queueLimit=64)],
            "shifts": shifts("stock-lookup", r, 8)},
        "orders": {"services": [service(
            "order-booking", r, 20200, 4, 6, 300, repeatable=False,
            deadlineMs=2000, maxDeadlineMs=4000, queueLimit=48)],
            "shifts": shifts("order-booking", r, 6)},
        "sheets": {"services": [service(
            "load-sheets", r, 20300, 4, 3, 300, repeatable=True,
            deadlineMs=60000, maxDeadlineMs=600000, queueLimit=24,
            linkUnits=4)],
            "shifts": shifts("load-sheets", r, 3)},
    }, r, 84, 40, [("10.1.0.0/16", "dfw"), ("10.2.0.0/16", "hou"),
                   ("10.3.0.0/16", "sat")])
    r = ["noord", "midden", "zuid"]
    write("zuinig", binary, {
        "dossier": {"services": [service(
            "dossier-lookup", r, 21100, 7, 6, 400, repeatable=True,
            deadlineMs=1000, maxDeadlineMs=2000, queueLimit=64)],
            "shifts": shifts("dossier-lookup", r, 8)},
        "booking": {"services": [service(
            "booking-voucher", r, 21200, 4, 6, 400, repeatable=False,
            deadlineMs=2000, maxDeadlineMs=4000, queueLimit=48)],
            "shifts": shifts("booking-voucher", r, 6)},
        "archive": {"services": [service(
            "floor-plans", r, 21300, 4, 3, 400, repeatable=True,
            deadlineMs=60000, maxDeadlineMs=600000, queueLimit=24,
            linkUnits=4)],
            "shifts": shifts("floor-plans", r, 3)},
    }, r, 76, 40, [("10.11.0.0/16", "noord"), ("10.12.0.0/16", "midden"),
                   ("10.13.0.0/16", "zuid")])


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else str(HERE / "build/mustardspoke"))
