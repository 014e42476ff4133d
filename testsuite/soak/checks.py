"""Checks of what the platform's pages promise, made from the record alone."""
import bisect
from collections import defaultdict

from record import UNSAFE, seal_of
from deployment import BOUNDS

CONTACT_S = BOUNDS["contactWindowS"]
SLACK_S = 0.5  # Of the harness itself, which shares the machine with everything else.
PROMISED = (408, 421, 429, 503)
DISTURBING = ("term", "kill", "freeze", "link", "store", "store_cut")
MOST_LATE_ARRIVALS = 3  # "more than a few"
RECOVERED_SHARE = 0.9


class Findings:
    """What was found wrong, by rule."""

    def __init__(self):
        self.by_rule = defaultdict(list)

    def add(self, rule, text):
        """Notes a finding."""
        self.by_rule[rule].append(text)

    def __bool__(self):
        return bool(self.by_rule)


class Checker:
    """Goes through a record."""

    def __init__(self, record, site):
        self.record = record
        self.site = site
        self.findings = Findings()

    def check(self, recovery_from):
        """Makes all checks."""
        for attempt in self.record.attempts.values():
            self.check_runs(attempt)
            self.check_answer(attempt)
            self.check_configuration(attempt)
            self.check_lost(attempt)
        self.check_unasked()
        self.check_leaves()
        self.check_gone()
        self.check_budget()
        self.check_recovery(recovery_from)
        for time, node, what in self.record.exits:
            self.findings.add("EXIT", f"{time:.3f} {node}: {what}")
        return self.findings

    def is_calm(self, node, begin, end, kinds=DISTURBING):
        """Returns whether neither the node nor what all share was disturbed in the time and before it."""
        return not any(each.kind in kinds and each.node in (node, "") and each.begin <= end
                       and each.end >= begin - CONTACT_S for each in self.record.disturbances)

    def runs_of(self, attempt):
        """Returns the arrivals of a request that ran."""
        return [run for run in self.record.runs.get(attempt.id, []) if run.ran]

    def check_runs(self, attempt):
        """An order runs once at most, and not at all after a promise; a request runs where a route leads."""
        runs = self.runs_of(attempt)
        if attempt.kind == UNSAFE and len(runs) > 1:
            self.findings.add("TWICE", f"{attempt.id} ran {len(runs)} times: {[run.server for run in runs]}")
        if attempt.kind == UNSAFE and attempt.status in PROMISED and runs:
            self.findings.add("REFUSED", f"{attempt.id} was answered {attempt.status} and ran")
        allowed = {version.services.get(attempt.route) for version in self.record.versions}
        for run in runs:
            if run.service not in allowed:
                self.findings.add("ROUTE", f"{attempt.id} of route {attempt.route} ran at {run.service}")
            if run.reason:
                self.findings.add("UNASKED", f"{attempt.id}: {run.reason}")

    def check_answer(self, attempt):
        """A success is the whole sealed answer to this request; a sealed failure is the one that was given."""
        if attempt.foreign:
            self.findings.add("MIXED", f"{attempt.id} got bytes that are no answer: {attempt.foreign}")
        if attempt.end != "answered":
            return
        given = [run for run in self.runs_of(attempt)
                 if attempt.seal == seal_of(run.server, attempt.id, attempt.answer) and run.status == attempt.status]
        if attempt.status // 100 == 2 and not given:
            self.findings.add("MIXED", f"{attempt.id} got a success that no backend server gave")
        elif attempt.seal and not given:
            self.findings.add("MIXED", f"{attempt.id} got {attempt.status} with a seal that does not belong to it")

    def version_before(self, time):
        """Returns the newest version that has been in force everywhere for long enough at a time."""
        settled = time - BOUNDS["configApplyS"] - SLACK_S
        place = bisect.bisect_right([version.time for version in self.record.versions], settled)
        return self.record.versions[place - 1] if place else None

    def check_configuration(self, attempt):
        """Where a version is in force, no older one is followed."""
        version = self.version_before(attempt.sent)
        if version is None or not self.is_calm(attempt.node, attempt.sent, attempt.sent):
            return
        later = {each.services.get(attempt.route) for each in self.record.versions if each.time >= version.time}
        for run in self.runs_of(attempt):
            if run.service not in later:
                self.findings.add("CONFIG", f"{attempt.id} at {attempt.sent:.3f} by {attempt.node} ran at {run.service}"
                                  f" after version {version.number}")
        if attempt.status == 404:
            self.findings.add("DENIED", f"{attempt.id} was answered 404 by {attempt.node}")

    def check_lost(self, attempt):
        """A planned stop breaks off no request that has been passed on."""
        if attempt.end != "closed" or not self.runs_of(attempt) or attempt.is_call:
            return
        stops = [each for each in self.record.disturbances if each.kind == "term" and each.node == attempt.node
                 and each.begin - 1 <= attempt.ended <= each.end]
        others = [kind for kind in DISTURBING if kind != "term"] + ["backend", "leave"]
        if stops and self.is_calm(attempt.node, attempt.sent, attempt.ended, others):
            self.findings.add("LOST", f"{attempt.id} was cut at {attempt.ended:.3f} by the stop of {attempt.node}")

    def check_unasked(self):
        """Only what was sent runs."""
        for attempt, runs in self.record.runs.items():
            if attempt and attempt not in self.record.attempts:
                self.findings.add("UNASKED", f"{attempt} ran at {runs[0].server}, nobody sent it")

    def check_leaves(self):
        """A backend server whose leave was confirmed gets nothing new after a while."""
        left = {}
        for leave in self.record.leaves:
            left.setdefault(leave.server, leave)
        for attempt, runs in self.record.runs.items():
            for run in runs:
                leave = left.get(run.server)
                if leave and run.ran and run.time > leave.time + BOUNDS["drainDeadlineS"] + SLACK_S:
                    self.findings.add("DRAIN", f"{attempt} ran at {run.server} {run.time - leave.time:.2f} s after"
                                      f" {leave.node} had confirmed its leave")

    def check_gone(self):
        """Work does not start for callers that have left."""
        late = []
        for attempt in self.record.attempts.values():
            if attempt.end == "left" and self.is_calm(attempt.node, attempt.sent, attempt.ended + 1):
                late += [attempt.id for run in self.runs_of(attempt) if run.time > attempt.ended + 0.5 + SLACK_S]
        if len(late) > MOST_LATE_ARRIVALS:
            self.findings.add("GONE", f"{len(late)} requests ran after their callers had left: {late[:5]}")

    def check_budget(self):
        """Repeats stay within the site's budget in each window."""
        window = BOUNDS["budgetWindowS"]
        extra, first = defaultdict(list), defaultdict(list)
        service_of = {name: service for version in self.record.versions for name, service in version.services.items()}
        for attempt in self.record.attempts.values():
            first[service_of[attempt.route]].append(attempt.sent)
        for runs in self.record.runs.values():
            for run in runs[1:]:
                extra[run.service].append(run.time)
        for service, times in extra.items():
            times.sort()
            sent = sorted(first[service])
            for end in times:
                count = bisect.bisect_right(times, end) - bisect.bisect_left(times, end - window)
                asked = max(bisect.bisect_right(sent, at) - bisect.bisect_left(sent, at - window)
                            for at in (end, end - window / 2, end - window))
                if count > BOUNDS["budgetRatio"] * asked + BOUNDS["budgetSlack"]:
                    self.findings.add("BUDGET", f"{service}: {count} repeats for {asked} requests until {end:.3f}")
                    break

    def check_recovery(self, since):
        """After the last fault requests are served again."""
        sent = [attempt for attempt in self.record.attempts.values() if attempt.sent > since and not attempt.is_call
                and attempt.end != "left"]
        served = sum(attempt.status // 100 == 2 for attempt in sent)
        if not sent or served < RECOVERED_SHARE * len(sent):
            self.findings.add("RECOVER", f"{served} of {len(sent)} requests were served after the last fault")
