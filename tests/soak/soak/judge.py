"""Judges a history by what RULES say, and only where the soak can be sure of it."""
import re
from collections import Counter, defaultdict
from dataclasses import dataclass

from soak.deployment import BOUNDS, machine_counts
from soak.endpoints import event_count, event_text
from soak.history import (PLATFORM_TROUBLES, BatchJob, BatchResult, ConfigurationOrder,
                          EndpointRun, History, Leaving, LiveRequest, OperatorAnswer, OrderState,
                          RequestKind, Trouble, TroubleKind)

SERVED_SHARE = 0.8
# A request's arrival is noted by the driver, some time after it came.
DRIVER_SLACK_S = 0.25
LEASE_S = 1.0  # Of the core's primary at the soak's bounds.
REFUSALS = frozenset({400, 404, 409, 412})
VOUCHED = REFUSALS | {200}  # Answers that need a lease.
PROMISES = frozenset({408, 421, 429, 503})
OUTSIDE_TROUBLES = PLATFORM_TROUBLES | {TroubleKind.ENDPOINT_LEAVES, TroubleKind.RELEASE,
                                        TroubleKind.ANSWERS_LOST}
DISK_TROUBLES = frozenset({TroubleKind.FULL_DISK, TroubleKind.FULL_IN_TURN,
                           TroubleKind.FULL_AT_ONCE})
OWN_END_SLACK_S = 1.0
PLATFORM_HOLDS_BACK_S = 2.0  # A core process may wait so long for a call that was lost.


@dataclass(frozen=True)
class Finding:
    """A rule that was broken, and how. `timed`: a busy machine bears on it."""

    rule: str
    text: str
    timed: bool = False


def judge(history: History) -> list[Finding]:
    """All findings."""
    rules = (lost_configurations, wrong_acknowledgements, refusals_of_old_state,
             answers_in_isolation, late_recoveries, repeated_runs, broken_promises,
             mixed_answers, late_at_leaving, lost_batches, changed_results, wrong_results,
             unasked, duties, own_ends, log_findings, calm)
    return [finding for rule in rules for finding in rule(history)]


# ---- Configurations ----

def lost_configurations(history: History) -> list[Finding]:
    """What is read is the newest acknowledged, or newer, and as it was sent."""
    acknowledged = [order for order in history.orders if order.state is OrderState.ACKNOWLEDGED]
    findings = []
    for read in history.reads:
        newest = max((order.version for order in acknowledged if order.answered <= read.sent),
                     default=0)
        if read.version < newest:
            findings.append(Finding("CONFIG", f"version {read.version} is read at {read.sent:.3f}"
                                              f" s, {newest} had been acknowledged"))
        findings += _document_findings(history.orders, acknowledged, read.version, read.tag)
    return findings


def _document_findings(orders: list[ConfigurationOrder], acknowledged: list[ConfigurationOrder],
                       version: int, tag: str) -> list[Finding]:
    sent = [order for order in orders if (order.version, order.tag) == (version, tag)]
    if version and not sent:
        return [Finding("CONFIG", f"version {version} is read with tag {tag!r}, never sent so")]
    if any(order.state is OrderState.REFUSED for order in sent):
        return [Finding("CONFIG", f"{tag} was refused and is in force as version {version}")]
    others = [order.tag for order in acknowledged
              if order.version == version and order.tag != tag]
    return [Finding("CONFIG", f"version {version} is read as {tag}, {other} was acknowledged")
            for other in others]


def wrong_acknowledgements(history: History) -> list[Finding]:
    """Of all orders on one version at most one is acknowledged."""
    by_base: dict[int, list[str]] = defaultdict(list)
    for order in history.orders:
        if order.state is OrderState.ACKNOWLEDGED:
            by_base[order.base].append(order.tag)
    return [Finding("CONFIG", f"{', '.join(tags)} are all acknowledged on version {base}")
            for base, tags in by_base.items() if len(tags) > 1]


def refusals_of_old_state(history: History) -> list[Finding]:
    """An order is refused only where another one that was sent may have taken its place, or before
    its base is in force."""
    orders = {order.tag: order for order in history.orders}
    findings = []
    for answer in history.answers:
        order = orders.get(answer.tag)
        if answer.status not in REFUSALS or (order and _may_be_refused(history, order, answer)):
            continue
        if order is None and not _configuration_before(history, answer.sent):
            continue
        what = f"{order.tag} on version {order.base}" if order else "a read"
        findings.append(Finding("CONFIG", f"{what} is answered {answer.status} by {answer.core} at"
                                          f" {answer.at:.3f} s, by no state that there was"))
    return findings


def _may_be_refused(history: History, refused: ConfigurationOrder, answer: OperatorAnswer) -> bool:
    return (any(order.version > refused.base and order.tag != refused.tag
                and order.sent < answer.at for order in history.orders)
            or _base_may_be_missing(history, refused, answer))


def _base_may_be_missing(history: History, refused: ConfigurationOrder,
                         answer: OperatorAnswer) -> bool:
    """The base is that of an order which had not been acknowledged, nor read back, when it was asked."""
    return refused.base > 0 and not (
        any(order.version == refused.base and order.state is OrderState.ACKNOWLEDGED
            and order.answered < answer.sent for order in history.orders)
        or any(read.version >= refused.base and read.answered < answer.sent
               for read in history.reads))


def _configuration_before(history: History, at: float) -> bool:
    return any(order.state is OrderState.ACKNOWLEDGED and order.answered < at
               for order in history.orders)


def answers_in_isolation(history: History) -> list[Finding]:
    """A core process that reaches no other one vouches for nothing once its lease has run out."""
    findings = []
    for trouble in history.troubles:
        if not trouble.isolates:
            continue
        findings += [Finding("CONFIG", f"{answer.core} is cut off from {trouble.begin:.3f} s on and"
                                       f" answers {answer.status} at {answer.at:.3f} s, asked at"
                                       f" {answer.sent:.3f} s", timed=True)
                     for answer in history.answers
                     if answer.core in trouble.machines and answer.status in VOUCHED
                     and answer.sent > trouble.begin + LEASE_S + DRIVER_SLACK_S
                     and answer.at < trouble.end]
    return findings


def late_recoveries(history: History) -> list[Finding]:
    """A core process is right again within a lease after a cut."""
    return [Finding("RECOVER", f"{recovery.machine} answers an operator {recovery.after:.2f} s after"
                               f" the end of its cut at {recovery.end:.3f} s", timed=True)
            for recovery in history.recoveries if recovery.after > LEASE_S + DRIVER_SLACK_S]


# ---- Requests ----

def repeated_runs(history: History) -> list[Finding]:
    """A request that may run once has not run twice."""
    findings = []
    for request_id, runs in history.runs.items():
        request = history.requests.get(request_id)
        if request and request.kind.runs_once and len(runs) > 1:
            places = ", ".join(f"{run.endpoint} at {run.at:.3f} s" for run in runs)
            findings.append(Finding("TWICE", f"{request_id} {request.target} ran at {places}"))
    return findings


def broken_promises(history: History) -> list[Finding]:
    """What was refused with "not run" has not run, where it may run once."""
    return [Finding("REFUSED", f"{request.request_id} was answered {request.status} and has run")
            for request in history.requests.values()
            if request.kind.runs_once and request.complete and request.status in PROMISES
            and not request.stamp and request.request_id in history.runs]


def mixed_answers(history: History) -> list[Finding]:
    """Every answer belongs to its request and is the endpoint's whole answer."""
    findings = []
    for request in history.requests.values():
        if request.answered_id not in ("", request.request_id):
            findings.append(Finding("MIXED", f"{request.request_id} is answered as"
                                             f" {request.answered_id}"))
        if request.complete and 200 <= request.status < 300:
            findings += _success_findings(request, history.runs.get(request.request_id, []))
    return findings


def _success_findings(request: LiveRequest, runs: list[EndpointRun]) -> list[Finding]:
    stamped = [run for run in runs if run.stamp == request.stamp]
    if not stamped:
        return [Finding("MIXED", f"{request.request_id} {request.status} with stamp"
                                 f" {request.stamp!r} of no run of it")]
    if request.body != _expected_body(request, stamped[0]):
        rule = "ORDER" if request.target.startswith(("/stream/", "/resume/")) else "MIXED"
        return [Finding(rule, f"{request.request_id} {request.target}: not the whole answer of"
                              f" {request.stamp}: {request.body[-60:]!r}")]
    return []


def _expected_body(request: LiveRequest, run: EndpointRun) -> bytes:
    if request.kind is not RequestKind.RESUMABLE:
        return run.body
    numbers = range(1, event_count(request.target) + 1)
    return "".join(event_text(request.target, number) for number in numbers).encode()


def unasked(history: History) -> list[Finding]:
    """Nothing that no client sent, and no body but the one that was sent."""
    findings = [Finding("UNASKED", f"nobody sent {text}") for text in history.unasked]
    for request_id, runs in history.runs.items():
        request = history.requests.get(request_id)
        findings += [Finding("UNASKED", f"{request_id} arrives as {run.target}")
                     for run in runs if request and run.target != request.target]
    return findings + [Finding("MIXED", f"another body of item {text}")
                       for text in history.wrong_bodies]


# ---- Draining ----

def overlap(trouble: Trouble, begin: float, end: float) -> float:
    """Seconds of the trouble within a span."""
    return max(0.0, min(trouble.end, end) - max(trouble.begin, begin))


def in_touch(history: History, machine: str, at: float) -> bool:
    """No trouble on it, on the core or on a store throughout `contactMs` before."""
    return not any(
        trouble.begin <= at and trouble.end > at - BOUNDS.contact
        for trouble in history.troubles
        if trouble.kind not in OUTSIDE_TROUBLES and _bears_on(trouble, machine))


def _bears_on(trouble: Trouble, machine: str) -> bool:
    # A machine at either end of a cut is in trouble: any cut counts for all.
    if trouble.kind is TroubleKind.CUT or machine in trouble.machines:
        return True
    return any(machine_counts(name) for name in trouble.machines)


def late_at_leaving(history: History) -> list[Finding]:
    """No request of a machine in touch reaches an endpoint long after the list shows it leaves."""
    shown = {leaving.endpoint: leaving for leaving in history.leavings}
    findings = []
    for request_id, runs in history.runs.items():
        request = history.requests.get(request_id)
        for run in runs:
            leaving = shown.get(run.endpoint)
            if request and leaving:
                findings += _late_findings(history, request, run, leaving)
    return findings


def _late_findings(history: History, request: LiveRequest, run: EndpointRun,
                   leaving: Leaving) -> list[Finding]:
    platform = sum(overlap(trouble, leaving.shown, run.at) + PLATFORM_HOLDS_BACK_S
                   for trouble in history.troubles if trouble.kind in PLATFORM_TROUBLES
                   and trouble.end > leaving.shown and trouble.begin < run.at)
    late = run.at - leaving.shown - platform
    if late <= BOUNDS.drain + DRIVER_SLACK_S or not in_touch(history, request.machine, run.at):
        return []
    return [Finding("DRAIN", f"{request.request_id} reaches {run.endpoint} at {run.at:.3f} s"
                             f" through {request.machine}, {late * 1000:.0f} ms after the list"
                             f" shows that it leaves{_sight(history, request, run, leaving)}",
                    timed=True)]


def _sight(history: History, request: LiveRequest, run: EndpointRun, leaving: Leaving) -> str:
    """What tells a list that was old from a driver that was late."""
    ages = [f"{each.at:.2f}: {'unknown' if each.age is None else f'{each.age:.2f} s'}"
            for each in history.list_ages
            if each.machine == request.machine and each.role == "proxy" and each.answered
            and run.at - BOUNDS.drain <= each.at <= run.at]
    lag = history.longest_lag(leaving.shown, run.at)
    return (f"; sent by the client at {request.sent:.3f} s; driver late by {lag * 1000:.0f} ms at"
            f" most since then; age of that proxy's list: {', '.join(ages[-6:]) or 'not told'}")


# ---- Batch jobs ----

def lost_batches(history: History) -> list[Finding]:
    """In the calm all items of what was accepted are listed."""
    findings = []
    for job in history.jobs.values():
        if job.accepted is not None and not job.read_back and not _may_be_forgotten(history, job):
            listed = len(_results_by_position(history, job))
            findings.append(Finding(
                "LOST", f"batch job {job.job_id}, accepted at {job.accepted:.3f} s: {listed} of"
                        f" {len(job.texts)} results were ever seen, the last try to read it gave"
                        f" {job.answer_in_calm}", timed=job.answer_in_calm != 404))
    return findings


def _may_be_forgotten(history: History, job: BatchJob) -> bool:
    """Jobs that have ended are kept for `statusS`: plays that last longer outlive some of them."""
    read_by = history.calm.begin + BOUNDS.recovery + BOUNDS.finish
    return job.answer_in_calm == 404 and read_by > job.accepted + BOUNDS.status


def _results_by_position(history: History, job: BatchJob) -> dict[int, set[BatchResult]]:
    positions: dict[int, set[BatchResult]] = defaultdict(set)
    for read in history.batch_reads:
        if read.job_id == job.job_id:
            for offset, result in enumerate(read.results):
                positions[read.first + offset].add(result)
    return positions


def changed_results(history: History) -> list[Finding]:
    """A position holds one result for ever, an item stands at one position."""
    findings = []
    for job in history.jobs.values():
        positions = _results_by_position(history, job)
        for position, results in positions.items():
            if len(results) > 1:
                findings.append(Finding("TWICE", f"position {position} of {job.job_id} held"
                                                 f" {sorted(map(str, results))}"))
        items = Counter(item for results in positions.values()
                        for item in {result.item_id for result in results})
        findings += [Finding("TWICE", f"item {item} stands at {count} positions")
                     for item, count in items.items() if count > 1]
    return findings


def wrong_results(history: History) -> list[Finding]:
    """A completed item gives its whole output; none is given up that may still be done."""
    findings = []
    for job in history.jobs.values():
        for results in _results_by_position(history, job).values():
            for result in results:
                findings += _result_findings(history, job, result)
    findings += [Finding("MIXED", f"batch job {read.job_id}: total {read.total}")
                 for read in history.batch_reads
                 if read.total != len(history.jobs[read.job_id].texts)]
    return findings


def _result_findings(history: History, job: BatchJob, result: BatchResult) -> list[Finding]:
    if result.item_id not in job.texts:
        return [Finding("MIXED", f"{job.job_id} lists {result.item_id}, which is not its own")]
    if result.state == "completed" and result.text != job.texts[result.item_id]:
        return [Finding("MIXED", f"{result.item_id} is completed as {result.text!r}")]
    failures = sum(run.status == 500 for run in history.runs.get(result.item_id, []))
    if result.state == "dead_letter" and failures < 3 and not job.end_asked:
        return [Finding("MIXED", f"{result.item_id} is a dead letter after {failures} failures")]
    return []


# ---- Duties ----

def duties(history: History) -> list[Finding]:
    """One count a window, one holder a fence."""
    counts: dict[int, set[str]] = defaultdict(set)
    for report in history.usage:
        counts[report.window].add(report.counts)
    holders: dict[tuple[str, int], set[str]] = defaultdict(set)
    for fence in history.fences:
        holders[fence.subject, fence.fence].add(fence.holder)
    findings = [Finding("ONE", f"window {window} is reported as {sorted(texts)}")
                for window, texts in counts.items() if len(texts) > 1]
    return findings + [Finding("ONE", f"{subject}: fence {number} of {sorted(names)}")
                       for (subject, number), names in holders.items() if len(names) > 1]


# ---- Processes ----

def own_ends(history: History) -> list[Finding]:
    """No process ends by itself, save with an exit status while its own disk takes nothing."""
    return [Finding("ENDED", f"{end.process} ended by itself at {end.at:.3f} s with status"
                             f" {end.status}")
            for end in history.ends if end.status < 0 or not _disk_was_full(history, end)]


def _disk_was_full(history: History, end) -> bool:
    return any(trouble.begin <= end.at <= trouble.end + OWN_END_SLACK_S
               for trouble in history.troubles
               if trouble.kind in DISK_TROUBLES and end.machine in trouble.machines)


def log_findings(history: History) -> list[Finding]:
    """No invariant is violated and no sanitizer speaks."""
    return [Finding("INVARIANT" if re.search("violated:", each.line) else "SANITIZER",
                    f"{each.process}: {each.line}") for each in history.log_findings]


# ---- The calm ----

def calm(history: History) -> list[Finding]:
    """After the last trouble all comes back within `recoveryS`."""
    seen = history.calm
    findings = []
    if seen.acknowledged_after is None or seen.acknowledged_after > BOUNDS.recovery:
        findings.append(Finding("RECOVER", "no order is acknowledged within"
                                           f" {BOUNDS.recovery:.0f} s of calm", timed=True))
    if not seen.read_back:
        findings.append(Finding("CONFIG", "the configuration is not read back at every core"
                                          " process in the calm", timed=True))
    if seen.not_ready:
        findings.append(Finding("RECOVER", f"not ready after {BOUNDS.recovery:.0f} s of calm:"
                                           f" {', '.join(seen.not_ready)}", timed=True))
    if seen.served < SERVED_SHARE * seen.asked or not seen.asked:
        findings.append(Finding("RECOVER", f"{seen.served} of {seen.asked} live requests are"
                                           " served in the calm", timed=True))
    return findings
