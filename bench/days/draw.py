#!/usr/bin/env python3
"""Draws long days that end in a loss of disks, to find anything acknowledged that is lost.

    draw.py SITE OUT FIRST COUNT        e.g. draw.py .../fcc-junction.toml /tmp/days 1 24

Each day lasts 60 s and more: storms of changes all the while, gateways and core machines that end in order, and losses drawn
by lot (disks that are full, slow or hang, members that are wiped, replaced, cut off, left behind or without power), then a
closing loss of disks. The same site and number give the same day.
"""
import random
import sys
import tomllib
from pathlib import Path

from make import toml

LENGTH_S = 66.0
CLOSING_HOW = ("aimed", "timed", "taken", "oldest", "oldest timed", "aimed taken")
PLANNED = ("config_storm", "config_race", "roll_term", "evacuate", "release", "seed_turnover", "revoke")


def losses(rng, at):
    """One loss of the core at a time, with what goes with it."""
    kinds = [
        {"kind": "disk_full", "count": rng.choice((1, 2)), "for_s": rng.uniform(1, 6), "how": rng.choice(("leader", "turn"))},
        {"kind": "disk_full", "count": 3, "for_s": rng.uniform(0.5, 3)},
        {"kind": "disk_stall", "count": 1, "for_s": rng.uniform(1, 5), "how": rng.choice(("leader", "turn"))},
        {"kind": "disk_slow", "count": 1, "x": rng.choice((10, 40, 120)), "for_s": rng.uniform(2, 6)},
        {"kind": "after_ack_wipe", "for_s": rng.uniform(0.5, 3), "how": rng.choice(("", "oldest", "leader"))},
        {"kind": "after_ack_kill", "for_s": rng.uniform(0.5, 3), "how": rng.choice(("", "timed", "kill", "taken"))},
        {"kind": "replace_core", "x": rng.uniform(0.5, 3), "how": rng.choice(("oldest", "planned", "oldest planned", ""))},
        {"kind": "core_cut", "for_s": rng.uniform(2, 6),
         "how": rng.choice(("behind", "split", "oldest both", "relieve", "lure", "leader one_way", "leader race", "all"))},
        {"kind": "herd_kill", "on": "core", "for_s": rng.uniform(0.5, 1.5), "how": rng.choice(("off", "taken", "taken all", ""))},
        {"kind": "roll_term", "on": "core", "gap_s": rng.uniform(0.5, 2), "how": rng.choice(("busy", "", "leader"))},
        {"kind": "node_freeze", "on": "core", "count": 1, "for_s": rng.uniform(1, 4), "how": rng.choice(("leader", "turn"))},
        {"kind": "clock_step", "x": rng.choice((-30_000, 2_400_000, 2_000)), "for_s": 4},
    ]
    loss = rng.choice(kinds)
    yield at, loss
    if rng.random() < 0.35:
        yield at + rng.uniform(0.2, 3), rng.choice(kinds)


def day(site, number):
    """The text of one day."""
    rng = random.Random(f"{site['name']} {number}")
    gap_s = rng.choice((0.15, 0.3, 0.6))
    entries = [(2, {"kind": "config_storm", "for_s": LENGTH_S - 3, "gap_s": gap_s})]
    if rng.random() < 0.5:
        entries.append((2, {"kind": "config_storm", "for_s": LENGTH_S - 3, "gap_s": 2 * gap_s}))
    entries.append((rng.uniform(3, 20), {"kind": "roll_term", "share": 0.4, "x": rng.choice((1, 2, 4)), "gap_s": 1.0,
                                         "how": rng.choice(("", "busy"))}))
    entries.append((rng.uniform(10, 40), {"kind": "config_race", "count": 3, "gap_s": rng.uniform(1, 4)}))
    at = rng.uniform(4, 8)
    while at < LENGTH_S - 3:
        entries += losses(rng, at)
        at += rng.uniform(4, 12)
    if rng.random() < 0.7:
        # one that is under way at the end
        entries += losses(rng, LENGTH_S - rng.uniform(0.3, 3))
    closing = {"kind": "wipe_after_ack", "down_s": round(rng.uniform(0.6, 2), 2), "how": rng.choice(CLOSING_HOW)}
    parts = {"plan": [], "faults": []}
    for moment, entry in sorted(entries, key=lambda one: one[0]):
        shown = {k: round(v, 2) if isinstance(v, float) else v for k, v in entry.items() if v != ""}
        parts["plan" if entry["kind"] in PLANNED else "faults"].append({"at": round(moment, 2), **shown})
    lines = ["[[day]]", f'name = "losses-{number}"', 'slot = "trouble"', f"seed = {47_000_000 + number}"]
    lines += [f"closing = {toml(closing)}", "one = 0.85", "zero = 0.35", "goal = { floor = 0.0 }", "labels = []"]
    lines += ["wall = 40.0", "light = true", f"length_s = {LENGTH_S}"]
    for part, held in parts.items():
        lines += [f"{part} = [", *(f"  {toml(one)}," for one in held), "]"]
    return "\n".join(lines) + "\n"


def main():
    source, out, first, count = Path(sys.argv[1]), Path(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4])
    site = tomllib.loads(source.read_text())
    out.mkdir(parents=True, exist_ok=True)
    for number in range(first, first + count):
        (out / f"losses-{number}.toml").write_text(day(site, number))


if __name__ == "__main__":
    main()
