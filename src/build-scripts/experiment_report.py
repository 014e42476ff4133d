"""Prints the results of one or two policies side by side and draws them."""
import csv
import os
import subprocess

SMOOTHED_ROWS = 5  # Rows of 100 ms that the plot of goodput averages.
GOODPUT_TARGET, ORDERS_TARGET, RECOVERY_TARGET_S, WASTED_TARGET, UNKNOWN_TARGET = 0.90, 0.999, 2.0, 0.05, 0.001
PLOT_TIMEOUT_S = 60


def sum_of(report, part, critical, field):
    """Adds up a field of the critical kinds."""
    return sum(report[part][kind][field] if field in report[part][kind] else report[part][kind]["ends"][field]
               for kind in critical)


def share_of(report, part, critical, end):
    """Returns the share of critical requests with an end."""
    requests = sum_of(report, part, critical, "requests")
    return sum_of(report, part, critical, end) / requests if requests else 0.0


def percent(share):
    """Formats a share."""
    return f"{share * 100:.2f} %"


def bottleneck_use(report, service):
    """Returns the share of a service's slot time that was useful."""
    return report["slotUse"].get(service, {}).get("usefulShare", 0.0)


def rows_of(report, critical, bottleneck, overloads):
    """Returns the rows (name, text, whether the bench target is met or None) of one policy.

    `overloads` says whether the scenario saturates the bottleneck, so that its use can be judged.
    """
    surged = report["recovery"] is not None
    part = "surgeKinds" if surged else "kinds"
    audit = report["audit"]
    rows = []
    if surged:
        use, recovery = bottleneck_use(report, bottleneck), report["recovery"]["seconds"]
        orders = share_of(report, part, critical, "completed")
        wasted = report["surgeWork"]["wastedShare"]
        rows += [(f"useful share of {bottleneck}'s slots in the surge", percent(use),
                  use >= GOODPUT_TARGET if overloads else None),
                 ("orders completed, of those in the surge", percent(orders), orders >= ORDERS_TARGET),
                 ("recovery", "not within the run" if recovery is None else f"{recovery:.1f} s",
                  recovery is not None and recovery <= RECOVERY_TARGET_S),
                 ("wasted work in the surge", percent(wasted), wasted < WASTED_TARGET)]
    unknown = share_of(report, "kinds", critical, "unknown")
    rows += [("wasted work in the whole run", percent(report["work"]["wastedShare"]), None),
             ("orders completed in the whole run", percent(share_of(report, "kinds", critical, "completed")), None),
             ("orders that ended unknown", percent(unknown), unknown < UNKNOWN_TARGET),
             ("orders that ended without an answer", percent(share_of(report, "kinds", critical, "no-answer")), None),
             ("orders that ended not-run", percent(share_of(report, "kinds", critical, "not-run")), None),
             ("orders that failed (completed, status not 2xx)", percent(share_of(report, "kinds", critical, "failed")), None),
             ("duplicate executions", str(audit["duplicates"]), audit["duplicates"] == 0),
             ("false not-run answers", str(audit["falseNotRun"]), audit["falseNotRun"] == 0),
             ("completed without an execution", str(audit["phantom"]), audit["phantom"] == 0),
             ("foreign or cut answers", str(audit["foreign"]), audit["foreign"] == 0),
             ("most extra executions of one root", str(report["attempts"]["maxExtra"]), None)]
    for phase in report["phases"]:
        rows.append((f"goodput in {phase['name']} (offered {phase['offeredPerSecond']:.0f}/s)",
                     f"{phase['goodPerSecond']:.1f}/s", None))
    costs = report["nodesUnderLoad"]
    rows += [("CPU of a node under load, mean", f"{costs['cpuPercent']['mean']:.1f} % of a core", None),
             ("memory of a node, most", f"{costs['memoryMb']['max']:.0f} MB", None),
             ("control traffic of a node, most", f"{costs['controlBytesPerSecond']['max'] / 1000:.1f} KB/s", None),
             ("CPU of the whole mesh", f"{report['meshCores']:.1f} cores", None),
             ("store calls", f"{sum(report['storeCallsPerSecond'].values()):.1f}/s", None)]
    rows += [(f"bytes {pair}", f"{rate / 1000:.0f} KB/s", None) for pair, rate in report["regionBytesPerSecond"].items()]
    rows.append(("delay of first attempts in the load tool, p99", f"{report['sendDelayMs']['p99']:.1f} ms", None))
    rows.append(("load average of the machine", f"{report['loadAverage']:.1f}", None))
    return rows


def comparison(reports, critical, bottleneck, overloads):
    """Returns the table of all policies as text; `reports` maps policy to report."""
    tables = {policy: rows_of(report, critical, bottleneck, overloads) for policy, report in reports.items()}
    lines = [f"{'':<52}" + "".join(f"{policy:>30}" for policy in tables)]
    for index, row in enumerate(next(iter(tables.values()))):
        cells = []
        for rows in tables.values():
            _, text, met = rows[index]
            cells.append(f"{text + {True: '  (met)', False: '  (MISSED)', None: ''}[met]:>30}")
        lines.append(f"{row[0]:<52}" + "".join(cells))
    return "\n".join(lines) + "\n"


def smooth_goodput(source, target):
    """Writes goodput and arrivals per second, averaged over some rows, for the plot."""
    with open(source, encoding="utf-8") as file:
        rows = list(csv.DictReader(file))
    with open(target, "w", encoding="utf-8") as file:
        for begin in range(0, len(rows) - SMOOTHED_ROWS + 1, SMOOTHED_ROWS):
            part = rows[begin:begin + SMOOTHED_ROWS]
            seconds = 0.1 * SMOOTHED_ROWS
            file.write(f"{float(part[0]['time_s']) + seconds / 2} {sum(int(row['good']) for row in part) / seconds} "
                       f"{sum(int(row['arrived']) for row in part) / seconds}\n")


def draw(out, title, policies, length_s, span, faults):
    """Draws goodput and latency over time into OUT/plot.png; returns an error text or None."""
    marks = "".join(f"set arrow from {fault.at_ms / 1000},graph 0 to {fault.at_ms / 1000},graph 1 nohead dt 3 lc 'gray'\n"
                    for fault in faults)
    if span:
        marks += f"set object rectangle from {span[0]},graph 0 to {span[1]},graph 1 fc rgb '#fff0d0' fs noborder behind\n"
    goodput, latency = [], []
    for index, policy in enumerate(policies):
        folder = os.path.join(out, policy)
        smooth_goodput(os.path.join(folder, "goodput.csv"), os.path.join(folder, "goodput.dat"))
        if index == 0:
            goodput.append(f"'{folder}/goodput.dat' using 1:3 with lines lc 'gray' title 'arrivals ({policy})'")
        goodput.append(f"'{folder}/goodput.dat' using 1:2 with lines lw 2 title 'goodput ({policy})'")
        for column, name in ((4, "p50"), (5, "p99")):
            latency.append(f"'{folder}/latency.csv' using 1:{column} every ::1 with lines lw 2 title '{name} ({policy})'")
    script = (f"set terminal pngcairo size 1200,800\nset output '{out}/plot.png'\nset multiplot layout 2,1 title '{title}'\n"
              f"set grid\nset key outside right\n{marks}set xlabel 'seconds'\nset ylabel 'whole requests per second'\n"
              f"set xrange [0:{length_s}]\nset lmargin 10\nset yrange [0:*]\nplot {', '.join(goodput)}\n"
              f"set ylabel 'latency from the intended start, ms'\nset logscale y\nset yrange [*:*]\n"
              f"set datafile separator ','\nplot {', '.join(latency)}\n")
    path = os.path.join(out, "plot.gp")
    with open(path, "w", encoding="utf-8") as file:
        file.write(script)
    try:
        done = subprocess.run(["gnuplot", path], capture_output=True, text=True, timeout=PLOT_TIMEOUT_S, check=False)
    except (FileNotFoundError, subprocess.TimeoutExpired) as error:
        return str(error)
    return None if done.returncode == 0 else done.stderr.strip()
