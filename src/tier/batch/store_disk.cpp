#include "tier/batch/store_disk.h"

#include <algorithm>
#include <utility>

#include "tier/foundation/log.h"
#include "tier/foundation/steady_time.h"

namespace shelflink::batch {
namespace {

constexpr std::string_view kLogName = "batch.store";
constexpr std::string_view kProbeKey = "probe";
// As large as the smallest thing that a file system hands out.
constexpr std::size_t kProbeBytes = 4096;

}  // namespace

StoreDisk::StoreDisk(net::Loop& loop, Open open, Work work)
    : loop_(loop),
      open_(std::move(open)),
      work_(std::move(work)),
      timer_(loop.NewTimer([this] { OnTimer(); })) {
  ArmIn(milliseconds(0));
}

StoreDisk::~StoreDisk() {
  *alive_ = false;
  EndWait();
  if (state_ == State::kWorking || state_ == State::kLeaving) work_.stop();
}

void StoreDisk::Leave(std::function<void()> done) {
  ends_ = true;
  ended_ = std::move(done);
  if (state_ == State::kWorking) {
    BeginLeave();
  } else if (state_ != State::kLeaving) {
    timer_->Cancel();
    End();
  }
}

void StoreDisk::End() {
  state_ = State::kEnded;
  EndWait();
  if (ended_) ended_();
}

void StoreDisk::OnTimer() {
  if (state_ == State::kLooking) Look();
  if (state_ == State::kWorking) CheckDisk();
}

// --- Room ---------------------------------------------------------------------------------------

void StoreDisk::Look() {
  ++looks_;
  if (storage_ == nullptr) storage_ = open_();
  const Result<void> recovered = storage_->Recover();
  if (!recovered) {
    OnRefused(recovered.error().text);
    return;
  }
  storage::Batch probe;
  probe.Put(std::string(kProbeKey), std::string(kProbeBytes, '\0'));
  storage_->Apply(probe);
  storage_->Sync([this, alive = alive_](const Result<void>& synced) {
    if (*alive) OnProbed(synced);
  });
}

void StoreDisk::OnProbed(const Result<void>& synced) {
  if (state_ != State::kLooking) return;
  if (!synced) {
    OnRefused(synced.error().text);
    return;
  }
  pauses_.Reset();
  if (!taking_since_) taking_since_ = loop_.Now();
  if (loop_.Now() - *taking_since_ < probation_) {
    ArmIn(kFirstPause);
    return;
  }
  // Not from inside the storage's call.
  loop_.Post([this, alive = alive_] {
    if (*alive && state_ == State::kLooking) StartWork();
  });
}

void StoreDisk::OnRefused(const std::string& why) {
  taking_since_.reset();
  TellChange(false, "the disk takes no writes, looking for room: " + why);
  Wait();
  ArmIn(pauses_.NextPause());
}

void StoreDisk::Wait() {
  if (waits_ || !work_.wait) return;
  try {
    work_.wait(*storage_);
    waits_ = true;
  } catch (const net::Error& error) {
    TellAtTimes("wait", std::string("the core is not told that the disk refuses: ") + error.what());
  }
}

void StoreDisk::EndWait() {
  if (std::exchange(waits_, false)) work_.end_wait();
}

// --- Work ---------------------------------------------------------------------------------------

void StoreDisk::StartWork() {
  TellChange(true, "the disk takes writes");
  EndWait();
  if (!TryStart()) {
    taking_since_.reset();
    ArmIn(kLongestPause);
    return;
  }
  state_ = State::kWorking;
  started_at_ = loop_.Now();
  ++starts_;
  ArmIn(kDiskCheck);
}

// What stands in the way, as an address that another process took meanwhile, may go away. At the
// first start it is a fault of the settings, and ends the process.
bool StoreDisk::TryStart() {
  try {
    work_.start(*storage_);
    return true;
  } catch (const net::Error& error) {
    if (starts_ == 0) throw;
    TellAtTimes("start", std::string("the store cannot begin again: ") + error.what());
    return false;
  }
}

// A disk that failed is vouched for no more: the leases go back, so that others take over.
void StoreDisk::CheckDisk() {
  if (!storage_->failed()) {
    ArmIn(kDiskCheck);
    return;
  }
  TellChange(false,
             "the disk takes no writes any more, the leases go back: " + storage_->failure_text());
  LengthenProbation();
  BeginLeave();
}

void StoreDisk::BeginLeave() {
  state_ = State::kLeaving;
  work_.leave([this, alive = alive_] {
    if (!*alive) return;
    // Not from inside a call of the work, which ends here.
    loop_.Post([this, alive] {
      if (*alive) OnLeft();
    });
  });
}

void StoreDisk::OnLeft() {
  if (state_ != State::kLeaving) return;
  work_.stop();
  if (ends_) {
    End();
    return;
  }
  state_ = State::kLooking;
  taking_since_.reset();
  pauses_.Reset();
  ArmIn(kFirstPause);
}

void StoreDisk::LengthenProbation() {
  const bool failed_soon = loop_.Now() - started_at_ < kSteady;
  const milliseconds longer = std::clamp(probation_ * 2, kFirstProbation, kLongestProbation);
  probation_ = failed_soon ? longer : milliseconds(0);
}

void StoreDisk::TellChange(bool takes_writes, const std::string& text) {
  const bool is_change = told_taking_ != takes_writes;
  told_taking_ = takes_writes;
  if (!is_change) return;
  log::Line(takes_writes ? log::Level::kInfo : log::Level::kError, kLogName, text);
}

void StoreDisk::TellAtTimes(const std::string& key, const std::string& text) const {
  log::Bounded(log::Level::kError, kLogName, key, text, SteadyMicros(loop_.Now()));
}

void StoreDisk::ArmIn(net::Span span) { timer_->ArmAt(loop_.Now() + span); }

}  // namespace shelflink::batch
