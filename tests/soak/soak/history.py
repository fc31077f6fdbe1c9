"""What was seen from outside in one seed. The judge reads nothing else."""
import enum
import time
from dataclasses import dataclass, field


class TroubleKind(enum.Enum):
    """What may be made to happen."""

    KILL = "killed"
    FREEZE = "frozen"
    TERMINATE = "told to end"
    KILL_CORE = "all core processes killed"
    WIPE = "killed, disk wiped"
    FULL_DISK = "disk full"
    FULL_IN_TURN = "disks full in turn"
    FULL_AT_ONCE = "disks full at once"
    CUT = "cut off"
    ENDPOINT_LEAVES = "endpoint leaves"
    RELEASE = "endpoints replaced in turn"
    PLATFORM_DOWN = "platform down"
    PLATFORM_SLOW = "platform slow"
    PLATFORM_LOSES = "platform loses answers"
    ANSWERS_LOST = "callers lose answers"


PLATFORM_TROUBLES = frozenset({TroubleKind.PLATFORM_DOWN, TroubleKind.PLATFORM_SLOW,
                               TroubleKind.PLATFORM_LOSES})


@dataclass
class Trouble:
    """One trouble on `machines` (none: outside); `end` is moved on while it lasts."""

    kind: TroubleKind
    machines: frozenset[str]
    begin: float
    end: float = float("inf")
    detail: str = ""
    isolates: bool = False  # A cut of core processes that leaves the one struck no other of them.


class OrderState(enum.Enum):
    """What an operator knows of an order."""

    OPEN = "open"
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"


@dataclass
class ConfigurationOrder:
    """A change of the configuration; its `tag` stands in a route of its document."""

    tag: str
    base: int
    version: int
    sent: float
    state: OrderState = OrderState.OPEN
    answered: float = float("inf")


@dataclass(frozen=True)
class ConfigurationRead:
    """A whole configuration as it was read back."""

    sent: float
    version: int
    tag: str
    answered: float


@dataclass(frozen=True)
class OperatorAnswer:
    """What a core process answered to one try of an operator; `tag` empty: a read."""

    core: str
    tag: str
    sent: float
    at: float
    status: int


@dataclass(frozen=True)
class Recovery:
    """A core process that was cut off answered `after` seconds after the cut's end."""

    machine: str
    end: float
    after: float


class RequestKind(enum.Enum):
    """How a live request may be repeated, and how it is answered."""

    IDEMPOTENT = "get"
    ONCE = "post"
    STREAM = "stream"
    RESUMABLE = "resume"

    @property
    def runs_once(self) -> bool:
        """Whether a second run breaks a rule."""
        return self in (RequestKind.ONCE, RequestKind.STREAM)


@dataclass
class LiveRequest:
    """One try of a client and what came back."""

    request_id: str
    kind: RequestKind
    target: str
    machine: str
    sent: float
    status: int = 0
    answered_id: str = ""
    stamp: str = ""
    body: bytes = b""
    complete: bool = False


@dataclass
class EndpointRun:
    """One run of a request; `body` is what the endpoint meant to answer in whole."""

    request_id: str
    endpoint: str
    stamp: str
    at: float
    target: str = ""
    status: int = 200
    body: bytes = b""
    broken: bool = False


@dataclass(frozen=True)
class Leaving:
    """The list shows the endpoint as draining from then on."""

    endpoint: str
    shown: float


@dataclass(frozen=True)
class BatchResult:
    """What stood at a position."""

    item_id: str
    state: str
    text: str


@dataclass(frozen=True)
class BatchRead:
    """A page of results as one reader got it."""

    job_id: str
    at: float
    first: int
    total: int
    results: tuple[BatchResult, ...]


@dataclass
class BatchJob:
    """A batch job: item ids to the text each of them has to give."""

    job_id: str
    texts: dict[str, str]
    accepted: float | None = None
    end_asked: bool = False
    read_back: bool = False  # Its results were read from the start in the end.
    answer_in_calm: int = 0  # The status of the last try to read it back.


@dataclass(frozen=True)
class UsageReport:
    """A usage report that the platform took."""

    window: int
    counts: str


@dataclass(frozen=True)
class Fence:
    """A duty call's fence."""

    subject: str
    fence: int
    holder: str


@dataclass(frozen=True)
class ProcessEnd:
    """A process that ended without a signal or order of the soak."""

    process: str
    machine: str
    at: float
    status: int  # Negative: the signal.


@dataclass(frozen=True)
class LogFinding:
    """A line in which a process reports a violated invariant or a sanitizer's finding."""

    process: str
    line: str


@dataclass(frozen=True)
class ListAge:
    """What a process told of its list of endpoints; `age` None: it does not know."""

    machine: str
    role: str
    at: float
    answered: bool
    age: float | None


@dataclass(frozen=True)
class DriverLag:
    """The driver came to a step of its own so much later than it was due."""

    at: float
    by: float


@dataclass
class Calm:
    """What came of the time after the last trouble."""

    begin: float = float("inf")
    acknowledged_after: float | None = None  # Seconds until an order was acknowledged.
    read_back: bool = False
    not_ready: list[str] = field(default_factory=list)
    asked: int = 0
    served: int = 0


@dataclass
class History:
    """All of one seed. Times are seconds since its start."""

    troubles: list[Trouble] = field(default_factory=list)
    orders: list[ConfigurationOrder] = field(default_factory=list)
    reads: list[ConfigurationRead] = field(default_factory=list)
    answers: list[OperatorAnswer] = field(default_factory=list)
    recoveries: list[Recovery] = field(default_factory=list)
    requests: dict[str, LiveRequest] = field(default_factory=dict)
    runs: dict[str, list[EndpointRun]] = field(default_factory=dict)
    unasked: list[str] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    jobs: dict[str, BatchJob] = field(default_factory=dict)
    batch_reads: list[BatchRead] = field(default_factory=list)
    wrong_bodies: list[str] = field(default_factory=list)
    usage: list[UsageReport] = field(default_factory=list)
    fences: list[Fence] = field(default_factory=list)
    ends: list[ProcessEnd] = field(default_factory=list)
    log_findings: list[LogFinding] = field(default_factory=list)
    calm: Calm = field(default_factory=Calm)
    list_ages: list[ListAge] = field(default_factory=list)
    lags: list[DriverLag] = field(default_factory=list)  # Which bear on every timing verdict.
    started: float = field(default_factory=time.monotonic)

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started

    def longest_lag(self, begin: float = 0.0, end: float = float("inf")) -> float:
        """Of the driver itself within a span."""
        return max((lag.by for lag in self.lags if begin <= lag.at and lag.at - lag.by <= end),
                   default=0.0)
