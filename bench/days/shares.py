#!/usr/bin/env python3
"""Tells where worth is lost on days of one site, from reports of the bench.

    shares.py SITE FILE... [--rows N]       e.g. shares.py .../fcc-junction.toml OUT/*.txt

A FILE is what `fleetbench run` printed, or a `run`'s entry of the journal; what holds no report is named and left out. Prints

- each class's and each clients' zone's worth (0 to 1) on each day and its ratio to the mean of the quiet days, lowest first;
- worth lost by cause, in parts of the worth owed, means over the days that aren't quiet, largest first;
- the parts of the score: how much of it each takes by what it falls short of 1, times its weight.
"""
import argparse
import json
import re
import tomllib
from collections import defaultdict
from pathlib import Path

PART = re.compile(r"([a-z ]+?) ([0-9.]+) \(weight ([0-9.]+)\)")
PRICE = re.compile(r"^  (-[0-9.]+)  [0-9.]+ (.+)$", re.M)
REFUSED = re.compile(r"^not served, last try '(\d+)': (\d+);", re.M)


def report(path):
    """The text of a report, or None where the file holds none."""
    text = path.read_text()
    if path.suffix == ".json":
        text = json.loads(text).get("digest", "")
    return text if re.search(r"^clients' zone  ", text, re.M) else None


def rows(text, head):
    """The lines of the report's table that begins with `head`, as name: column: number; up to the empty line."""
    found, columns = {}, None
    for line in text.splitlines():
        if line.startswith(head + "  "):
            columns = ("asked", "in aim", "late", "refused", "failed", "not owed", "worth")
        elif columns and not line.strip():
            break
        elif columns:
            name, *values = line.split()
            found[name] = dict(zip(columns, map(float, values)))
    return found


def losses(text, classes):
    """Worth lost by cause, each a part of all that was owed on the day; prices as the bench takes them off.

    Refusals beyond a tenant's limit are asked but not owed, and the report doesn't count them apart: what was owed is reckoned
    back from the class's worth. What is served after a refusal earns half and falls under refusals here.
    """
    answers = defaultdict(int, {code: int(n) for code, n in REFUSED.findall(text)})
    lost, owed, refusals = defaultdict(float), 0.0, 0.0
    for name, row in rows(text, "class").items():
        worth, late = classes[name]
        earned = worth * row["in aim"] + late * row["late"]
        class_owed = earned / row["worth"] if row["worth"] else worth * (row["asked"] - row["not owed"])
        refused = max(0.0, class_owed - worth * (row["in aim"] + row["late"] + row["failed"]))
        owed += class_owed
        lost["late"] += (worth - late) * row["late"]
        lost["failed"] += worth * row["failed"]
        lost["refused"] += refused
        refusals += refused / worth
    # a 503 is owed always, a 429 only below the limit
    share = min(1.0, answers["503"] / refusals) if refusals else 0.0
    refused = lost.pop("refused")
    lost["refused, 503"], lost["refused, 429 and others"] = refused * share, refused * (1 - share)
    lost = defaultdict(float, {cause: part / owed for cause, part in lost.items()})
    for cost, name in PRICE.findall(text):
        lost["price: " + name] -= float(cost)
    return lost


def short(text):
    """By how much each part of the score falls short of 1, times its weight."""
    line = re.search(r"^worth [0-9.]+ = (.*)$", text, re.M).group(1)
    return {name.strip(): float(weight) * (1 - float(part)) for name, part, weight in PART.findall(line)}


def mean_table(title, tables, kept):
    """Prints the means of the columns of several tables, largest first."""
    names = {name for table in tables for name in table}
    means = {name: sum(table.get(name, 0.0) for table in tables) / len(tables) for name in names}
    print(f"\n{title}, mean of {len(tables)} days")
    for name, mean in sorted(means.items(), key=lambda item: (-item[1], item[0]))[:kept]:
        print(f"{mean:8.4f}  {name}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=Path)
    parser.add_argument("files", type=Path, nargs="+")
    parser.add_argument("--rows", type=int, default=12)
    options = parser.parse_args()
    site = tomllib.loads(options.site.read_text())
    classes = {c["name"]: (c["worth"], c["late_worth"]) for c in site["classes"]}
    quiet, troubled = defaultdict(list), []
    for path in options.files:
        text = report(path)
        if text is None or not set(rows(text, "class")) <= set(classes):
            print(f"no report of this site: {path.name}")
            continue
        name = path.stem if path.suffix == ".txt" else text.splitlines()[1].split("  ")[0]
        cells = [(head, n, row["worth"]) for head in ("class", "clients' zone") for n, row in rows(text, head).items()]
        if name.startswith("quiet"):
            for head, n, worth in cells:
                quiet[head, n].append(worth)
        else:
            troubled.append((name, text, cells))
    if not quiet or not troubled:
        raise SystemExit("a quiet day and another are needed")
    usual = {cell: sum(worths) / len(worths) for cell, worths in quiet.items()}
    table = [(worth / usual[head, n], worth, name, n) for name, _, cells in troubled for head, n, worth in cells]
    print(f"{len(troubled)} days, {len(table)} cells, {sum(ratio < 0.9 for ratio, *_ in table)} below 0.9 of the quiet day's")
    print("ratio  worth  day, cell")
    for ratio, worth, name, n in sorted(table)[:options.rows]:
        print(f"{ratio:.3f}  {worth:.3f}  {name}, {n}")
    mean_table("worth lost by cause", [losses(text, classes) for _, text, _ in troubled], 99)
    mean_table("score lost by part", [short(text) for _, text, _ in troubled], 99)


if __name__ == "__main__":
    main()
