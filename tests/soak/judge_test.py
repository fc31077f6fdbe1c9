"""The soak's judge: each rule is seen to fire on a made-up history, and not to fire without cause."""
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from soak.endpoints import event_count, event_text, whole_text  # noqa: E402
from soak.history import (BatchJob, BatchRead, BatchResult, ConfigurationOrder,  # noqa: E402
                          ConfigurationRead, DriverLag, EndpointRun, Fence, History, Leaving,
                          ListAge, LiveRequest, LogFinding, OperatorAnswer, OrderState,
                          ProcessEnd, Recovery, RequestKind, Trouble, TroubleKind, UsageReport)
from soak.judge import judge  # noqa: E402

CALM_AT = 100.0
JOB = "00112233445566aa"
ITEM = JOB + "00"
TARGET = f"/jobs/{JOB}/0"


def healthy() -> History:
    """A history in which all went well."""
    history = History()
    history.calm.begin = CALM_AT
    history.calm.acknowledged_after = 0.5
    history.calm.read_back = True
    history.calm.asked = history.calm.served = 50
    return history


def order(tag: str, base: int, version: int,
          state: OrderState = OrderState.ACKNOWLEDGED) -> ConfigurationOrder:
    """An order sent at 1 s and answered at 2 s."""
    return ConfigurationOrder(tag, base, version, 1.0, state, 2.0)


def read_back(sent: float, version: int, tag: str) -> ConfigurationRead:
    """A read that is answered after 0.1 s."""
    return ConfigurationRead(sent, version, tag, sent + 0.1)


def served(history: History, kind: RequestKind = RequestKind.ONCE,
           target: str = "/post/1") -> tuple[LiveRequest, EndpointRun]:
    """Adds a request with one run and its whole answer."""
    request = LiveRequest("a1", kind, target, "edge-north-2", 10.0, 200, "a1", "s1", b"whole", True)
    run = EndpointRun("a1", "i-1", "s1", 10.1, target, 200, b"whole")
    history.requests["a1"] = request
    history.runs["a1"] = [run]
    return request, run


def with_job(history: History) -> BatchJob:
    """Adds a batch job of one item, accepted and read back."""
    job = BatchJob(JOB, {ITEM: whole_text(TARGET)}, accepted=5.0, read_back=True)
    history.jobs[JOB] = job
    read(history, BatchResult(ITEM, "completed", whole_text(TARGET)))
    return job


def read(history: History, *results: BatchResult, first: int = 0, total: int = 1) -> None:
    """Adds a page that a reader got."""
    history.batch_reads.append(BatchRead(JOB, 20.0, first, total, results))


class JudgeTest(unittest.TestCase):
    def setUp(self):
        self.history = healthy()

    def expect(self, *rules):
        self.assertEqual([finding.rule for finding in judge(self.history)], list(rules))


class Configurations(JudgeTest):
    def test_newest_acknowledged_is_read(self):
        self.history.orders = [order("t1", 0, 2), order("t2", 2, 3)]
        self.history.reads = [read_back(3.0, 3, "t2")]
        self.expect()

    def test_acknowledged_is_lost(self):
        self.history.orders = [order("t1", 0, 2), order("t2", 2, 3)]
        self.history.reads = [read_back(3.0, 2, "t1")]
        self.expect("CONFIG")

    def test_older_is_read_before_the_acknowledgement(self):
        self.history.orders = [order("t1", 0, 2), order("t2", 2, 3)]
        self.history.reads = [read_back(1.5, 2, "t1")]
        self.expect()

    def test_another_document_under_the_version(self):
        self.history.orders = [order("t1", 0, 2), order("t2", 0, 2, OrderState.OPEN)]
        self.history.reads = [read_back(3.0, 2, "t2")]
        self.expect("CONFIG")

    def test_never_sent(self):
        self.history.reads = [read_back(3.0, 2, "t9")]
        self.expect("CONFIG")

    def test_refused_is_in_force(self):
        self.history.orders = [order("t1", 0, 2, OrderState.REFUSED)]
        self.history.reads = [read_back(3.0, 2, "t1")]
        self.expect("CONFIG")

    def test_two_acknowledged_on_one_version(self):
        self.history.orders = [order("t1", 4, 5), order("t2", 4, 6)]
        self.expect("CONFIG")


class CutOff(JudgeTest):
    def setUp(self):
        super().setUp()
        self.history.orders = [order("t1", 0, 2), order("t2", 2, 3, OrderState.REFUSED)]
        self.history.troubles = [Trouble(TroubleKind.CUT, frozenset({"edge-north-1"}), 10.0, 20.0,
                                         isolates=True)]

    def answer(self, tag, status, sent=15.0, core="edge-north-1"):
        self.history.answers = [OperatorAnswer(core, tag, sent, sent + 0.1, status)]

    def test_refused_by_no_state_that_there_was(self):
        self.answer("t2", 412, core="edge-east-1")
        self.expect("CONFIG")

    def test_refused_for_another_order(self):
        self.history.orders.append(order("t3", 2, 4, OrderState.OPEN))
        self.answer("t2", 412, core="edge-east-1")
        self.expect()

    def test_refused_before_its_base_was_acknowledged(self):
        self.history.orders = [order("t1", 0, 2, OrderState.OPEN),
                               order("t2", 2, 3, OrderState.REFUSED)]
        self.answer("t2", 412, core="edge-east-1")
        self.expect()

    def test_refused_after_its_base_was_read(self):
        self.history.orders = [order("t1", 0, 2, OrderState.OPEN),
                               order("t2", 2, 3, OrderState.REFUSED)]
        self.history.reads = [read_back(3.0, 2, "t1")]
        self.answer("t2", 412, core="edge-east-1")
        self.expect("CONFIG")

    def test_refused_while_its_base_was_on_its_way_to_a_reader(self):
        """A read that was asked first and answered last tells of a later moment than the refusal."""
        self.history.orders = [order("t1", 0, 2, OrderState.OPEN),
                               order("t2", 2, 3, OrderState.REFUSED)]
        self.history.reads = [ConfigurationRead(14.9, 2, "t1", 15.2)]
        self.answer("t2", 412, core="edge-east-1")
        self.expect()

    def test_refused_after_its_base_was_read_a_moment_before(self):
        self.history.orders = [order("t1", 0, 2, OrderState.OPEN),
                               order("t2", 2, 3, OrderState.REFUSED)]
        self.history.reads = [read_back(14.8, 2, "t1")]
        self.answer("t2", 412, core="edge-east-1")
        self.expect("CONFIG")

    def test_refused_before_the_other_order_was_sent(self):
        self.history.orders.append(ConfigurationOrder("t3", 2, 4, 30.0))
        self.answer("t2", 412, core="edge-east-1")
        self.expect("CONFIG")

    def test_nothing_is_found_after_an_acknowledgement(self):
        self.answer("", 404, core="edge-east-1")
        self.expect("CONFIG")

    def test_nothing_is_found_before_any_acknowledgement(self):
        self.answer("", 404, sent=1.0, core="edge-east-1")
        self.expect()

    def test_vouches_while_it_is_cut_off(self):
        self.answer("t1", 200)
        self.expect("CONFIG")

    def test_vouches_within_its_lease(self):
        self.answer("t1", 200, sent=11.0)
        self.expect()

    def test_cannot_tell_while_it_is_cut_off(self):
        self.answer("t1", 503)
        self.expect()

    def test_another_one_vouches(self):
        self.answer("t1", 200, core="edge-east-1")
        self.expect()

    def test_right_again_late(self):
        self.history.recoveries = [Recovery("edge-north-1", 20.0, 1.3)]
        self.expect("RECOVER")

    def test_right_again_in_time(self):
        self.history.recoveries = [Recovery("edge-north-1", 20.0, 1.2)]
        self.expect()


class Requests(JudgeTest):
    def test_whole_answer(self):
        served(self.history)
        self.expect()

    def test_runs_twice(self):
        _, run = served(self.history)
        self.history.runs["a1"].append(EndpointRun("a1", "i-2", "s2", 10.2, run.target))
        self.expect("TWICE")

    def test_idempotent_runs_twice(self):
        served(self.history, RequestKind.IDEMPOTENT, "/get/1")
        self.history.runs["a1"].append(EndpointRun("a1", "i-2", "s2", 10.2, "/get/1"))
        self.expect()

    def test_refused_and_has_run(self):
        request, _ = served(self.history)
        request.status, request.stamp = 503, ""
        self.expect("REFUSED")

    def test_answer_of_another(self):
        request, _ = served(self.history)
        request.answered_id = "b2"
        self.expect("MIXED")

    def test_stamp_of_no_run(self):
        request, _ = served(self.history)
        request.stamp = "s9"
        self.expect("MIXED")

    def test_part_of_a_body(self):
        request, _ = served(self.history)
        request.body = b"who"
        self.expect("MIXED")

    def test_stream_lacks_an_event(self):
        request, _ = served(self.history, RequestKind.STREAM, "/stream/1")
        request.body = b""
        self.expect("ORDER")

    def test_continued_stream_has_all_events(self):
        target = "/resume/1"
        request, run = served(self.history, RequestKind.RESUMABLE, target)
        events = [event_text(target, number).encode()
                  for number in range(1, event_count(target) + 1)]
        request.body, run.body = b"".join(events), events[-1]
        self.expect()
        request.body += events[-1]
        self.expect("ORDER")

    def test_nobody_sent_it(self):
        self.history.unasked = ["c3 GET /get/1"]
        self.expect("UNASKED")

    def test_arrives_with_another_target(self):
        _, run = served(self.history)
        run.target = "/post/2"
        self.expect("UNASKED")


class Leavings(JudgeTest):
    def setUp(self):
        super().setUp()
        self.request, self.run = served(self.history)
        self.history.leavings = [Leaving("i-1", self.run.at - 3.5)]

    def trouble(self, kind, begin, end, *machines):
        self.history.troubles.append(Trouble(kind, frozenset(machines), begin, end))

    def test_late(self):
        self.expect("DRAIN")

    def test_a_late_one_is_told_with_what_bears_on_it(self):
        self.history.list_ages = [ListAge("edge-north-2", "proxy", 9.5, True, 2.75)]
        self.history.lags = [DriverLag(9.0, 0.4)]
        [finding] = judge(self.history)
        self.assertIn("driver late by 400 ms", finding.text)
        self.assertIn("9.50: 2.75 s", finding.text)

    def test_in_time(self):
        self.history.leavings = [Leaving("i-1", self.run.at - 2.9)]
        self.expect()

    def test_platform_was_down(self):
        self.trouble(TroubleKind.PLATFORM_DOWN, 7.0, 8.0)
        self.expect()

    def test_sender_was_in_trouble(self):
        self.trouble(TroubleKind.FREEZE, 7.0, 7.5, "edge-north-2")
        self.expect()

    def test_another_proxy_was_in_trouble(self):
        self.trouble(TroubleKind.FREEZE, 7.0, 7.5, "edge-east-2")
        self.expect("DRAIN")

    def test_core_was_in_trouble(self):
        self.trouble(TroubleKind.FULL_DISK, 5.0, 7.5, "edge-east-1")
        self.expect()

    def test_core_was_in_trouble_long_ago(self):
        self.trouble(TroubleKind.FULL_DISK, 2.0, 7.0, "edge-east-1")
        self.expect("DRAIN")


class BatchJobs(JudgeTest):
    def setUp(self):
        super().setUp()
        self.job = with_job(self.history)

    def test_listed(self):
        self.expect()

    def test_never_listed(self):
        self.job.read_back = False
        self.expect("LOST")

    def test_forgotten_after_its_time(self):
        self.job.read_back, self.job.answer_in_calm = False, 404
        self.history.calm.begin = self.job.accepted + 300.0
        self.expect()

    def test_forgotten_before_its_time(self):
        self.job.read_back, self.job.answer_in_calm = False, 404
        self.history.calm.begin = self.job.accepted + 200.0
        self.expect("LOST")

    def test_not_accepted(self):
        self.job.read_back, self.job.accepted = False, None
        self.expect()

    def test_position_changes(self):
        self.job.end_asked = True
        read(self.history, BatchResult(ITEM, "dead_letter", ""))
        self.expect("TWICE")

    def test_item_at_two_positions(self):
        read(self.history, BatchResult(ITEM, "completed", whole_text(TARGET)), first=1)
        self.expect("TWICE")

    def test_part_of_the_output(self):
        self.history.batch_reads.clear()
        read(self.history, BatchResult(ITEM, "completed", whole_text(TARGET)[:-1]))
        self.expect("MIXED")

    def test_dead_without_cause(self):
        self.history.batch_reads.clear()
        read(self.history, BatchResult(ITEM, "dead_letter", ""))
        self.expect("MIXED")

    def test_dead_after_its_attempts(self):
        self.history.batch_reads.clear()
        self.history.runs[ITEM] = [EndpointRun(ITEM, "i-1", str(n), 9.0, TARGET, 500)
                                   for n in range(3)]
        read(self.history, BatchResult(ITEM, "dead_letter", ""))
        self.expect()

    def test_item_of_another_job(self):
        read(self.history, BatchResult("ff", "completed", "x"), first=1)
        self.expect("MIXED")

    def test_wrong_total(self):
        read(self.history, total=2)
        self.expect("MIXED")

    def test_another_body(self):
        self.history.wrong_bodies = [f"{ITEM}: b'y'"]
        self.expect("MIXED")


class Duties(JudgeTest):
    def test_two_counts_of_a_window(self):
        self.history.usage = [UsageReport(7, "{}"), UsageReport(7, "{}"), UsageReport(8, "{}")]
        self.expect()
        self.history.usage.append(UsageReport(7, '{"a": 1}'))
        self.expect("ONE")

    def test_two_holders_of_a_fence(self):
        self.history.fences = [Fence("usage", 3, "edge-north-1"), Fence("usage", 4, "edge-east-1")]
        self.expect()
        self.history.fences.append(Fence("usage", 3, "edge-east-1"))
        self.expect("ONE")


class Processes(JudgeTest):
    def test_ends_by_itself(self):
        self.history.ends = [ProcessEnd("edge-east-1.core", "edge-east-1", 9.0, 1)]
        self.expect("ENDED")

    def test_ends_with_a_status_while_its_disk_is_full(self):
        full = Trouble(TroubleKind.FULL_DISK, frozenset({"edge-east-1"}), 8.0, 10.0)
        self.history.troubles = [full]
        self.history.ends = [ProcessEnd("edge-east-1.core", "edge-east-1", 9.0, 1)]
        self.expect()

    def test_ends_by_a_signal_while_its_disk_is_full(self):
        full = Trouble(TroubleKind.FULL_DISK, frozenset({"edge-east-1"}), 8.0, 10.0)
        self.history.troubles = [full]
        self.history.ends = [ProcessEnd("edge-east-1.core", "edge-east-1", 9.0, -6)]
        self.expect("ENDED")

    def test_violated_invariant(self):
        self.history.log_findings = [LogFinding("edge-east-1.core", "violated: member_can_store")]
        self.expect("INVARIANT")

    def test_sanitizer(self):
        self.history.log_findings = [LogFinding("x", "ERROR: AddressSanitizer: heap-use")]
        self.expect("SANITIZER")


class CalmTime(JudgeTest):
    def test_no_order_acknowledged(self):
        self.history.calm.acknowledged_after = None
        self.expect("RECOVER")

    def test_order_acknowledged_too_late(self):
        self.history.calm.acknowledged_after = 12.5
        self.expect("RECOVER")

    def test_not_read_back(self):
        self.history.calm.read_back = False
        self.expect("CONFIG")

    def test_a_proxy_is_not_ready(self):
        self.history.calm.not_ready = ["edge-north-2"]
        self.expect("RECOVER")

    def test_few_are_served(self):
        self.history.calm.served = 39
        self.expect("RECOVER")

    def test_nothing_was_asked(self):
        self.history.calm.asked = self.history.calm.served = 0
        self.expect("RECOVER")


if __name__ == "__main__":
    unittest.main()
