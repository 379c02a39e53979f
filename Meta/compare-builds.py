#!/usr/bin/env python3
"""Plays days of the users' bench with several builds and compares their worth.

Each build is a checkout of its own, given as NAME=DIRECTORY; the first one is the reference. Every
day is played once with each seed and each build, without processor time. A play that is in the
results file already is not repeated, so that an interrupted comparison can be resumed.
"""

import argparse
import concurrent.futures
import dataclasses
import datetime
import json
import math
import pathlib
import statistics
import subprocess
import sys


@dataclasses.dataclass(frozen=True)
class Play:
    """One day of a site with one seed, played by one build."""

    build: str
    site: str
    day: str
    seed: int

    @property
    def pair(self) -> tuple[str, str, int]:
        """What plays of different builds have in common."""
        return (self.site, self.day, self.seed)


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--site", action="append", required=True, help="site file; may be repeated")
    parser.add_argument("--days", required=True, help="names of days, separated by commas")
    parser.add_argument("--seeds", required=True, help="seeds, separated by commas")
    parser.add_argument("--results", required=True, help="file with one line of JSON a play")
    parser.add_argument("--jobs", type=int, default=4, help="plays at the same time")
    parser.add_argument("--why", default="comparison of builds", help="reason for the journal")
    parser.add_argument("build", nargs="+", metavar="NAME=DIRECTORY")
    return parser.parse_args()


def load_results(path: pathlib.Path) -> dict[Play, dict]:
    if not path.exists():
        return {}
    results = {}
    for line in path.read_text().splitlines():
        row = json.loads(line)
        results[Play(row["build"], row["site"], row["day"], row["seed"])] = row
    return results


def find_journal_entry(directory: pathlib.Path, play: Play, begin: str) -> dict:
    """Returns the bench's record of a play that began at or after the given time."""
    for path in sorted((directory / "journal").glob("*.json"), reverse=True):
        if path.name[:15] < begin:
            break
        entry = json.loads(path.read_text())
        arguments = entry["argv"]
        if entry["site"] == play.site and play.day in arguments and str(play.seed) in arguments:
            return entry
    raise LookupError(f"the bench left no entry of {play}")


def run_play(options: argparse.Namespace, play: Play, site: str, directory: pathlib.Path) -> dict:
    begin = datetime.datetime.now(datetime.timezone.utc).strftime("%Y%m%dT%H%M%S")
    command = [options.bench, "run", site, play.day, "--seed", str(play.seed), "--no-cpu"]
    command += ["--jobs", "1", "--why", f"{options.why}: {play.build}"]
    subprocess.run(command, cwd=directory, stdout=subprocess.DEVNULL, check=False)
    day = find_journal_entry(directory, play, begin)["days"][0]
    return dataclasses.asdict(play) | {
        "worth": day["G"],
        "served": day["served"],
        "refused": day["refused"],
        "failed": day["failed"],
        "rules": day["rules"],
        "fault": day["fault"],
        "parts": day["parts"],
        "prices": day["prices"],
    }


def play_all(options: argparse.Namespace, builds: dict[str, pathlib.Path]) -> dict[Play, dict]:
    path = pathlib.Path(options.results)
    results = load_results(path)
    sites = {pathlib.Path(site).stem: site for site in options.site}
    wanted = [
        Play(build, site, day, int(seed))
        for seed in options.seeds.split(",")
        for day in options.days.split(",")
        for site in sites
        for build in builds
    ]
    with (
        concurrent.futures.ThreadPoolExecutor(options.jobs) as executor,
        path.open("a") as output,
    ):
        futures = [
            executor.submit(run_play, options, play, sites[play.site], builds[play.build])
            for play in wanted
            if play not in results
        ]
        for future in concurrent.futures.as_completed(futures):
            row = future.result()
            results[Play(row["build"], row["site"], row["day"], row["seed"])] = row
            print(json.dumps(row), file=output, flush=True)
            if row["rules"] or row["fault"]:
                print("broken:", row["build"], row["site"], row["day"], row["seed"], row["rules"],
                      row["fault"], file=sys.stderr)
    return {play: results[play] for play in wanted}


def standard_error(values: list[float]) -> float:
    return statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else math.nan


def print_table(results: dict[Play, dict], builds: list[str]) -> None:
    """Prints mean worths by day, and each build's difference from the first in pairs."""
    worth = {(play.build, play.pair): row["worth"] for play, row in results.items()}
    pairs = sorted({play.pair for play in results})
    for site in dict.fromkeys(pair[0] for pair in pairs):
        of_site = [pair for pair in pairs if pair[0] == site]
        days = list(dict.fromkeys(pair[1] for pair in of_site))
        print(f"\n| {site} | " + " | ".join(days) + " | mean | difference | error |")
        print("| --- " * (len(days) + 4) + "|")
        for build in builds:
            means = [
                statistics.mean(worth[build, pair] for pair in of_site if pair[1] == day)
                for day in days
            ]
            gains = [worth[build, pair] - worth[builds[0], pair] for pair in of_site]
            cells = [f"{value:.3f}" for value in [*means, statistics.mean(means)]]
            cells += [f"{statistics.mean(gains):+.4f}", f"{standard_error(gains):.4f}"]
            print(f"| {build} | " + " | ".join(cells) + " |")


def main() -> None:
    options = parse_arguments()
    builds = {
        name: pathlib.Path(directory)
        for name, directory in (build.split("=", 1) for build in options.build)
    }
    for directory in builds.values():
        subprocess.run([options.bench, "build"], cwd=directory, check=True)
    print_table(play_all(options, builds), list(builds))


if __name__ == "__main__":
    main()
