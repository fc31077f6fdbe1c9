// Drives running stores as a proxy would and prints what it measures: submits jobs, completes each
// item at once, reads the results. Not a test; docs/measured/batch.md says how it is run.
//
//   SHELFLINK_CONFIG=proxy.conf tier_store_load JOBS ITEMS BODY_BYTES AT_ONCE [hold]
//
// hold: the items are left waiting.
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/glib_loop.h"
#include "tier/batch/messages.h"
#include "tier/batch/partition.h"
#include "tier/cluster/agent.h"
#include "tier/foundation/settings.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {
namespace {

constexpr std::size_t kTextBytes = 4000;
constexpr milliseconds kCallTimeout{5000};

struct Plan {
  std::uint64_t jobs = 0;
  std::uint64_t items = 0;
  std::size_t body_bytes = 0;
  std::uint64_t at_once = 1;
  bool hold = false;
};

transport::PeerIdentity IdentityOf(const ProcessSettings& settings) {
  transport::PeerIdentity self;
  self.node = settings.node;
  self.role = "proxy";
  self.zone = settings.zone;
  self.address = InternalAddress(settings, ProcessKind::kProxy);
  self.incarnation = std::random_device()();
  return self;
}

class Load {
 public:
  Load(net::GlibLoop& loop, const ProcessSettings& settings, Plan plan)
      : loop_(loop),
        plan_(plan),
        hub_(loop, IdentityOf(settings), {}),
        agent_(loop, hub_, settings, Changes()),
        offers_(loop.NewTimer([this] { OfferAll(); })) {
    hub_.Handle(kAssign, [this](const transport::PeerIdentity&, std::string_view body) {
      const Result<Assign> assign = Decode<Assign>(body);
      if (assign) Complete(assign.value());
    });
    offers_->ArmAt(loop_.Now());
  }

 private:
  cluster::Agent::Changes Changes() {
    cluster::Agent::Changes changes;
    changes.placement = [this] { Begin(); };
    return changes;
  }

  void Begin() {
    if (begun_ || !agent_.view().placement || agent_.view().placement->rows.empty()) return;
    begun_ = true;
    started_ = loop_.Now();
    for (std::uint64_t number = 0; number < plan_.at_once; ++number) SubmitNext();
  }

  const cluster::PartitionRow& RowOf(const JobRef& job) const {
    return agent_.view().placement->rows[job.partition];
  }

  void SubmitNext() {
    if (next_job_ == plan_.jobs) return;
    const std::uint64_t number = next_job_++;
    Submit submit;
    submit.job.tenant = "tenant-" + std::to_string(number % 50);
    submit.job.job = run_ + std::to_string(number);
    submit.job.partition = PartitionOf(submit.job.tenant, "", agent_.view().placement->rows.size());
    submit.route = "load";
    submit.run_aim = milliseconds(10000);
    submit.keep = milliseconds(100000);
    for (std::uint64_t index = 0; index < plan_.items; ++index) {
      Item item;
      item.id = submit.job.job + "-" + std::to_string(index);
      item.path = "/load/" + item.id;
      item.headers = {{"Shelflink-Model", "m"}, {"Shelflink-Token-Count", "540,400"}};
      item.body = std::string(plan_.body_bytes, 'b');
      item.tokens = 940;
      submit.items.push_back(std::move(item));
    }
    Send(std::make_shared<Submit>(std::move(submit)), loop_.Now());
  }

  void Send(const std::shared_ptr<Submit>& submit, net::Time first_sent) {
    hub_.Call(RowOf(submit->job).primary, kSubmit, Encode(*submit), kCallTimeout,
              [this, submit, first_sent](const Result<std::string>& result) {
                if (!result) {
                  ++refused_;
                  Again([this, submit, first_sent] { Send(submit, first_sent); });
                  return;
                }
                accepted_after_.push_back(loop_.Now() - first_sent);
                if (plan_.hold && accepted_after_.size() == plan_.jobs) End();
                SubmitNext();
              });
  }

  // As clients do, not at once.
  void Again(std::function<void()> step) {
    pauses_.push_back(loop_.NewTimer(std::move(step)));
    pauses_.back()->ArmAt(loop_.Now() + milliseconds(200));
  }

  void Complete(const Assign& assign) {
    Finished finished{assign.item, assign.lease, RunOutcome::kComplete, {}};
    finished.output = {std::string(kTextBytes, 't'), 20, 19};
    hub_.Call(RowOf(assign.item.job).primary, kFinished, Encode(finished), kCallTimeout,
              [this](const Result<std::string>& result) {
                if (result) ++finished_;
                OfferAll();
                if (finished_ == plan_.jobs * plan_.items) End();
              });
  }

  void OfferAll() {
    offers_->ArmAt(loop_.Now() + milliseconds(250));
    if (!begun_ || offers_under_way_ > 0) return;
    std::map<net::Address, bool> primaries;
    for (const auto& row : agent_.view().placement->rows) primaries[row.primary] = true;
    for (const auto& [store, unused] : primaries) {
      ++offers_under_way_;
      Offer offer;
      offer.items = plan_.hold ? 0 : 64;
      offer.room = offer.items;
      hub_.Call(store, kOffer, Encode(offer), milliseconds(1000),
                [this](const Result<std::string>&) { --offers_under_way_; });
    }
  }

  void End() {
    const double seconds = std::chrono::duration<double>(loop_.Now() - started_).count();
    std::sort(accepted_after_.begin(), accepted_after_.end());
    const auto at = [&](double share) {
      const auto index =
          static_cast<std::size_t>(share * static_cast<double>(accepted_after_.size() - 1));
      return std::chrono::duration<double, std::milli>(accepted_after_[index]).count();
    };
    std::cout << "jobs " << plan_.jobs << " of " << plan_.items << " items of " << plan_.body_bytes
              << " bytes, " << plan_.at_once << " at once: accepted after " << at(0.5)
              << " ms (median), " << at(0.99) << " ms (99 %); "
              << static_cast<double>(finished_) / seconds << " items a second; sent "
              << hub_.counters().bytes_out << " bytes, received " << hub_.counters().bytes_in
              << "; tries again " << refused_ << '\n';
    loop_.Stop();
  }

  net::GlibLoop& loop_;
  Plan plan_;
  transport::Hub hub_;
  cluster::Agent agent_;
  net::TimerPtr offers_;
  std::string run_ = std::to_string(std::random_device()()) + "-";
  bool begun_ = false;
  net::Time started_{};
  std::uint64_t next_job_ = 0;
  std::uint64_t finished_ = 0;
  std::uint64_t refused_ = 0;
  int offers_under_way_ = 0;
  std::vector<net::Span> accepted_after_;
  std::vector<net::TimerPtr> pauses_;
};

}  // namespace
}  // namespace shelflink::batch

int main(int argc, char** argv) {
  const char* const path = std::getenv("SHELFLINK_CONFIG");
  if (argc < 5 || path == nullptr) {
    std::cerr
        << "usage: SHELFLINK_CONFIG=FILE tier_store_load JOBS ITEMS BODY_BYTES AT_ONCE [hold]\n";
    return 2;
  }
  const auto settings = shelflink::ReadSettings(path);
  if (!settings) {
    std::cerr << shelflink::TextOf(settings.error()) << '\n';
    return 1;
  }
  shelflink::batch::Plan plan{std::stoull(argv[1]), std::stoull(argv[2]), std::stoull(argv[3]),
                              std::stoull(argv[4]), argc > 5};
  net::GlibLoop loop;
  shelflink::batch::Load load(loop, settings.value(), plan);
  loop.Run();
  return 0;
}
