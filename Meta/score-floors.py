#!/usr/bin/env python3
"""Scores deployments one after the other and prints how far each kind of request, each zone and each
day is from its floor.

A deployment that the results file has already is not scored again, so that an interrupted run can
be resumed. Run it alone on the machine: processor time is measured.
"""

import argparse
import dataclasses
import json
import pathlib
import subprocess
import tomllib


@dataclasses.dataclass(frozen=True)
class Part:
    """The share of the owed worth that a part of a day earned, and the least share it has to earn."""

    site: str
    day: str
    name: str
    earned: float
    floor: float

    @property
    def distance(self) -> float:
        return self.earned - self.floor


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--results", required=True, help="file with one line of JSON a deployment")
    parser.add_argument("--jobs", type=int, default=4, help="days played at the same time")
    parser.add_argument("--why", default="floors of all deployments", help="reason for the journal")
    parser.add_argument("site", nargs="+", help="site file")
    return parser.parse_args()


def load_results(path: pathlib.Path) -> dict[str, dict]:
    if not path.exists():
        return {}
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    return {row["site"]: row for row in rows}


def score(options: argparse.Namespace, site: str) -> dict:
    """Scores a deployment and returns the bench's record."""
    before = set(pathlib.Path("journal").glob("*.json"))
    command = [options.bench, "score", site, "--jobs", str(options.jobs), "--why", options.why]
    subprocess.run(command, stdout=subprocess.DEVNULL, check=False)
    for path in sorted(set(pathlib.Path("journal").glob("*.json")) - before, reverse=True):
        entry = json.loads(path.read_text())
        if entry["cmd"] == "score" and entry["site"] == pathlib.Path(site).stem:
            return entry
    raise LookupError(f"the bench left no score of {site}")


def read_parts(site: dict, entry: dict) -> list[Part]:
    """Returns the parts of all standard days that have floors."""
    days = {day["name"]: day for day in site["day"]}
    classes = [kind["name"] for kind in site["classes"]]
    zones = [zone["name"] for zone in site["zones"]]
    parts = []
    for played in entry["days"]:
        day = days.get(played["name"].split()[0])
        if day is None:
            continue
        groups = [
            (["whole day"], [played["served"]], day.get("goal", {}).get("floor")),
            (classes, played["by_class"], (day.get("floor_classes") or [None])[0]),
            (zones, played["by_zone"], (day.get("floor_zones") or [None])[0]),
        ]
        for names, earned, floor in groups:
            parts += [
                Part(entry["site"], day["name"], name, share, floor)
                for name, share in zip(names, earned)
                if share is not None and floor is not None
            ]
    return parts


def print_site(entry: dict, parts: list[Part]) -> None:
    gate = "passed" if all(day["gate"] for day in entry["days"]) else "FAILED"
    rules = {day["name"]: day["rules"] for day in entry["days"] if day["rules"]}
    print(f"\n{entry['site']}: score {entry['score']}, gate {gate}, broken rules {rules or 'none'}")
    print("| day | worth | served | lowest parts: earned, floor, distance |")
    print("| --- | --- | --- | --- |")
    for day in entry["days"]:
        name = day["name"].split()[0]
        lowest = sorted((part for part in parts if part.day == name), key=lambda p: p.distance)[:3]
        cells = "; ".join(
            f"{p.name} {p.earned:.3f}, {p.floor:.2f}, {p.distance:+.3f}" for p in lowest
        )
        print(f"| {name} | {day['G']:.3f} | {day['served']:.3f} | {cells} |")


def main() -> None:
    options = parse_arguments()
    path = pathlib.Path(options.results)
    results = load_results(path)
    everything = []
    for name in options.site:
        stem = pathlib.Path(name).stem
        if stem not in results:
            results[stem] = score(options, name)
            with path.open("a") as output:
                print(json.dumps(results[stem]), file=output)
        site = tomllib.loads(pathlib.Path(name).read_text())
        parts = read_parts(site, results[stem])
        everything += parts
        print_site(results[stem], parts)
    print("\nLowest distances of all:")
    for part in sorted(everything, key=lambda p: p.distance)[:10]:
        print(f"{part.site} {part.day} {part.name}: {part.earned:.3f}, floor {part.floor:.2f},"
              f" distance {part.distance:+.3f}")


if __name__ == "__main__":
    main()
