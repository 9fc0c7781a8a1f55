#!/usr/bin/env python3
"""Writes days of our own, one file each, from the tables in `pairs.toml` and a site file.

    make.py SITE OUT        e.g. make.py .../fcc-junction.toml /tmp/days

Writes into the folder OUT, for each amount of traffic (x1: the site's, x2: twice that):

- `alone-KIND-N`: entry N of the site's own `troubles` list, in mid-day and again right before the closing fault;
- `pair-A-B`: every pair of the named troubles of the core, both in force together, with each closing fault in turn;
- `trap-NAME`: the days of `[[trap]]`, those whose `site` is left out or names this one.

The same site and table give the same files.
"""
import sys
import tomllib
import zlib
from itertools import combinations
from pathlib import Path

PLANNED = ("config_change", "config_storm", "config_race", "revoke", "evacuate", "release", "scale_in", "roll_term",
           "seed_turnover")
CLOSINGS = (
    {"kind": "power_off_all", "down_s": 1.5},
    {"kind": "wipe_after_ack", "down_s": 1.0, "how": "aimed"},
    {"kind": "kill_all", "down_s": 1.0},
)


def toml(value):
    """A value as TOML on one line; strings here need no escapes."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{k} = {toml(v)}" for k, v in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)


def day(site, name, entries, closing, times):
    """The text of one day; `times` is the factor of the site's traffic."""
    parts = {"plan": [], "faults": []}
    for entry in entries:
        parts["plan" if entry["kind"] in PLANNED else "faults"].append(entry)
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {zlib.crc32(name.encode())}"]
    lines.append(f"closing = {toml(closing)}")
    lines += ["one = 0.85", "zero = 0.35", "goal = { floor = 0.3 }", "labels = []", "wall = 8.0", "light = true"]
    for part, held in parts.items():
        lines += [f"{part} = [", *(f"  {toml(e)}," for e in held), "]"]
    if times != 1:
        lines += ["traffic = [", *(f"  {toml({**t, 'per_s': t['per_s'] * times})}," for t in site["traffic"]), "]"]
    return "\n".join(lines) + "\n"


def days(site, table):
    """All days as (name, entries, closing)."""
    zones = [z["name"] for z in site["zones"]]
    core = [m["zone"] for m in site["machines"] if m["class"] == "core"]
    fill = {"$core": core[0], "$other": next(z for z in zones if z not in core), "$far": zones[-1]}

    def at(moment, entry):
        return {"at": moment, **{k: fill.get(v, v) if isinstance(v, str) else v for k, v in entry.items()}}

    for n, entry in enumerate(site["troubles"]):
        yield f"alone-{entry['kind']}-{n}", [at(9, entry), at(27, entry)], CLOSINGS[n % 3]
    named = table["core"]
    for n, (a, b) in enumerate(combinations(named, 2)):
        # the second begins while the first is at work; both again so that the closing fault finds the first under way
        entries = [at(9, named[a]), at(10, named[b]), at(18, named[b]), at(19.2, named[a]), at(29, named[a])]
        yield f"pair-{a}-{b}", entries, CLOSINGS[n % 3]
    for trap in table["trap"]:
        if trap.get("site", site["name"]) == site["name"]:
            yield f"trap-{trap['name']}", [at(e["at"], e) for e in trap["entries"]], trap["closing"]


def main():
    source, out = Path(sys.argv[1]), Path(sys.argv[2])
    site = tomllib.loads(source.read_text())
    table = tomllib.loads(Path(__file__).with_name("pairs.toml").read_text())
    out.mkdir(parents=True, exist_ok=True)
    for name, entries, closing in days(site, table):
        for times in (1, 2):
            full = f"{name}-x{times}"
            (out / f"{full}.toml").write_text(day(site, full, entries, closing, times))


if __name__ == "__main__":
    main()
