#include "tier_seeds/batch_clients.h"

#include <cjson/cJSON.h>

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

#include "tier_seeds/configurations.h"

namespace shelflink::tier_seeds {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kBatchStream = 9;
constexpr milliseconds kPatience{3500};
constexpr milliseconds kEndBound{
    1500};  // Beyond cancelMs: an end reaches all, runs are on the way.
constexpr std::size_t kMostItems = 10;

struct TreeFree {
  void operator()(cJSON* tree) const { cJSON_Delete(tree); }
};
using Tree = std::unique_ptr<cJSON, TreeFree>;

std::string TextAt(const cJSON* object, const char* name) {
  const cJSON* member = cJSON_GetObjectItemCaseSensitive(object, name);
  return cJSON_IsString(member) ? member->valuestring : "";
}

double NumberAt(const cJSON* object, const char* name) {
  const cJSON* member = cJSON_GetObjectItemCaseSensitive(object, name);
  return cJSON_IsNumber(member) ? member->valuedouble : -1;
}

std::string WholeText(const std::string& target) {
  std::string text;
  for (int number = 1; number <= EventCount(target); ++number) {
    if (number > 1) text += '\n';
    text += EventData(target, number);
  }
  return text;
}

std::string Base64Of(const std::string& bytes) {
  constexpr const char* kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      group = group << 8U | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      text += index <= count ? kLetters[group >> (18 - 6 * index) & 63U] : '=';
    }
  }
  return text;
}

std::string SubmissionOf(const std::vector<BatchItem>& items) {
  std::string text = R"({"requests":[)";
  for (const BatchItem& item : items) {
    if (&item != &items.front()) text += ",";
    text += R"({"id":")" + item.id + R"(","path":")" + item.target + R"(","headers":{"X-Item":")" +
            item.id + R"("},"body":")" + Base64Of(item.body) + R"(","tokens":)" +
            std::to_string(item.tokens) + "}";
  }
  return text + "]}";
}

}  // namespace

BatchClients::BatchClients(net::VirtualNet& net, Journal& journal, Ledger& ledger,
                           const Proxies& proxies, Ingress& ingress, HttpCallers& callers,
                           const Deployment& deployment)
    : net_(net),
      journal_(journal),
      ledger_(ledger),
      proxies_(proxies),
      ingress_(ingress),
      callers_(callers),
      deployment_(deployment),
      random_(deployment.seed, kBatchStream) {}

const BatchItem* BatchClients::ItemOf(const BatchJob& job, const std::string& id) {
  for (const BatchItem& item : job.items) {
    if (item.id == id) return &item;
  }
  return nullptr;
}

bool BatchClients::IsListed(const BatchJob& job, const std::string& id) {
  return std::any_of(job.read.begin(), job.read.end(),
                     [&](const BatchResultSeen& result) { return result.id == id; });
}

void BatchClients::Start(net::Time until, net::Time end) { Next(until, end); }

void BatchClients::Next(net::Time until, net::Time end) {
  if (net_.Now() >= until) return;
  net_.At(net_.Now() + milliseconds(100 + random_.Below(900)), [this, until, end] {
    Submit(DrawJob(), 0, end);
    Next(until, end);
  });
}

BatchClients::Job BatchClients::DrawJob() {
  auto job = std::make_shared<BatchJob>();
  job->id = "j" + std::to_string(jobs_.size() + 1);
  const bool first = random_.Chance(0.6);
  job->key = first ? kFirstKey : kSecondKey;
  job->tenant = first ? kFirstTenant : kSecondTenant;
  const std::size_t count = 1 + random_.Below(kMostItems);
  for (std::size_t index = 0; index < count; ++index) {
    BatchItem item;
    item.id = job->id + "-" + std::to_string(index);
    item.target = "/jobs/" + item.id;
    item.body = item.id + std::string(random_.Below(2000), 'b');
    item.tokens = 50 + random_.Below(400);
    AskedRequest asked;
    asked.method = "POST";
    asked.target = item.target;
    asked.body = item.body;
    asked.tenant = job->tenant;
    asked.service = "svc-b";
    asked.events = true;
    asked.resumable = true;
    asked.is_item = true;
    asked.doomed = random_.Chance(0.03);
    ledger_.Ask(item.id, asked);
    job->items.push_back(std::move(item));
  }
  job->body = SubmissionOf(job->items);
  jobs_.push_back(job);
  journal_.Count("batch jobs");
  return job;
}

void BatchClients::Ask(const std::string& method, const std::string& target, const Job& job,
                       const std::string& headers, const std::string& body,
                       const HttpConnection::Done& done) {
  HttpRequestText text{method, target, kHostname, headers, body};
  text.headers += "Shelflink-Credential: " + job->key + "\r\n";
  const std::size_t proxy = ingress_.Pick();
  const std::string what = method + " " + target;
  callers_.Ask(
      proxies_[proxy]->front(), text, kPatience,
      [this, what, proxy, done](const HttpOutcome& outcome) {
        journal_.Note([&] {
          return what + " at " + proxies_[proxy]->node() + ": " + std::to_string(outcome.status()) +
                 (outcome.whole ? " whole " : " part ") + outcome.answer.body.substr(0, 160);
        });
        if (outcome.whole) {
          journal_.Count("batch " + what.substr(0, what.find('/', 8)).substr(0, 12) + " " +
                         std::to_string(outcome.status()));
        }
        done(outcome);
      });
}

void BatchClients::Submit(const Job& job, int attempt, net::Time end) {
  if (net_.Now() >= end || job->given_up) return;
  Ask("POST", "/jobs/" + job->id, job,
      "Shelflink-Request-Id: " + job->id + "\r\nContent-Type: application/json\r\n", job->body,
      [this, job, attempt, end](const HttpOutcome& outcome) {
        const int status = outcome.whole ? outcome.status() : 0;
        if (status == 202) return Accepted(job, end);
        const bool refused = status == 429 || status == 503;
        if (!refused) job->unclear = true;
        if (status / 100 == 4 && status != 429) {
          journal_.Report("DENIED", job->id + " is answered " + std::to_string(status) + " " +
                                        outcome.answer.body.substr(0, 100));
        }
        // Some clients give up after a refusal.
        if (refused && !job->accepted && random_.Chance(0.2)) {
          job->given_up = true;
          return;
        }
        net_.At(net_.Now() + milliseconds(30 + 50 * std::min(attempt, 10) + random_.Below(200)),
                [this, job, attempt, end] { Submit(job, attempt + 1, end); });
      });
}

void BatchClients::Accepted(const Job& job, net::Time end) {
  const bool is_first = !job->accepted;
  if (is_first) {
    journal_.Count("batch jobs accepted");
    job->accepted = net_.Now();
    CheckQuota(*job);
    Follow(job, end);
  }
  // Sent once more, perhaps, by another client of the tenant.
  if (random_.Chance(0.15)) {
    net_.At(net_.Now() + milliseconds(random_.Below(4000)),
            [this, job, end] { Submit(job, 0, end); });
  }
}

// By what its endpoints have answered.
bool BatchClients::MayBeDead(const BatchItem& item) const {
  return ledger_.RunsAnswered(item.id, 422) > 0 ||
         ledger_.RunsAnswered(item.id, 500) >= static_cast<std::size_t>(kMostItemAttempts);
}

bool BatchClients::MayBeOver(const BatchItem& item) const {
  return ledger_.HasWholeRun(item.id) || MayBeDead(item);
}

// By the count that is kindest to the tier: what an endpoint has finished, what is listed and what
// was ended does not count.
void BatchClients::CheckQuota(const BatchJob& accepted) {
  if (accepted.tenant != kSecondTenant) return;
  std::uint64_t tokens = 0;
  for (const Job& job : jobs_) {
    if (job->tenant != kSecondTenant || !job->accepted || job->end_asked) continue;
    for (const BatchItem& item : job->items) {
      if (!IsListed(*job, item.id) && !MayBeOver(item)) tokens += item.tokens;
    }
  }
  const double most = kMostQueuedTokens * (1 + deployment_.base.bounds.quota_overage);
  if (static_cast<double>(tokens) > most) {
    journal_.Report("QUOTA",
                    accepted.id + " is accepted with " + std::to_string(tokens) + " tokens queued");
  }
}

// Reads twice a second, at times from an earlier position; asks for bodies; ends some.
void BatchClients::Follow(const Job& job, net::Time end) {
  if (net_.Now() >= end) return;
  net_.At(net_.Now() + milliseconds(200 + random_.Below(600)), [this, job, end] {
    if (net_.Now() >= end) return;
    const bool listed = job->read.size() >= job->items.size();
    const double draw = random_.Unit();
    if (draw < 0.04 && !listed) End(job, end);
    if (draw > 0.85 && !listed && !job->end_asked) AskForBody(job, end, false);
    const bool earlier = listed || random_.Chance(0.2);
    if (!listed || random_.Chance(0.15)) {
      Read(job, earlier ? random_.Below(job->read.size() + 1) : job->read.size(), end, false);
    }
    Follow(job, end);
  });
}

void BatchClients::Read(const Job& job, std::size_t from, net::Time end, bool must) {
  const net::Time sent = net_.Now();
  Ask("GET", "/lots/" + job->id + "?afterId=" + std::to_string(from), job,
      random_.Chance(0.5) ? "Shelflink-Wait-Ms: 1000\r\n" : "", "",
      [this, job, from, end, must, sent](const HttpOutcome& outcome) {
        const int status = outcome.whole ? outcome.status() : 0;
        if (status == 200) return TookPage(job, from, outcome.answer.body);
        const bool settled = sent > *job->accepted + deployment_.base.bounds.settle;
        if (settled && (status == 404 || status == 410)) {
          journal_.Report("LOST",
                          job->id + " was accepted and is answered " + std::to_string(status));
        }
        if (must && net_.Now() < end) Read(job, from, end, must);
      });
}

void BatchClients::TookPage(const Job& job, std::size_t from, const std::string& json) {
  const Tree tree(cJSON_ParseWithLength(json.data(), json.size()));
  const cJSON* results = cJSON_GetObjectItemCaseSensitive(tree.get(), "results");
  if (tree == nullptr || !cJSON_IsArray(results)) {
    journal_.Report("MIXED", job->id + " is answered with " + json.substr(0, 100));
    return;
  }
  if (NumberAt(tree.get(), "total") != static_cast<double>(job->items.size())) {
    journal_.Report("MIXED", job->id + " has a wrong total: " + json.substr(0, 60));
  }
  const auto count = static_cast<std::size_t>(cJSON_GetArraySize(results));
  if (NumberAt(tree.get(), "nextToken") != static_cast<double>(from + count)) {
    journal_.Report("MIXED", job->id + " has a wrong nextToken: " + json.substr(0, 60));
  }
  std::size_t position = from;
  const cJSON* result = nullptr;
  cJSON_ArrayForEach(result, results) {
    TookResult(job, position++,
               {TextAt(result, "id"), TextAt(result, "state"), TextAt(result, "text")});
  }
}

void BatchClients::TookResult(const Job& job, std::size_t position, const BatchResultSeen& result) {
  if (position > job->read.size()) {
    // Read from a position behind what this client has had: nobody does.
    journal_.Report("MIXED", job->id + " lists position " + std::to_string(position));
    return;
  }
  if (position < job->read.size()) {
    if (job->read[position] == result) return;
    journal_.Report("TWICE", job->id + " position " + std::to_string(position) + " held " +
                                 job->read[position].id + " and holds " + result.id + " " +
                                 result.state);
    return;
  }
  if (IsListed(*job, result.id)) {
    journal_.Report("TWICE", result.id + " stands at two positions of " + job->id);
  }
  job->read.push_back(result);
  journal_.Count("results " + result.state);
  CheckResult(*job, result);
}

void BatchClients::CheckResult(const BatchJob& job, const BatchResultSeen& result) {
  const BatchItem* item = ItemOf(job, result.id);
  if (item == nullptr) {
    journal_.Report("MIXED", job.id + " lists " + result.id + ", which is none of its items");
    return;
  }
  if (result.state == "completed") {
    const std::string whole = WholeText(item->target);
    if (result.text != whole) {
      journal_.Report("MIXED", result.id + " is completed with \"" + result.text.substr(0, 200) +
                                   "\" instead of \"" + whole.substr(0, 200) + "\"");
    }
    return;
  }
  const bool has_reason = job.end_asked || MayBeDead(*item);
  if (result.state != "dead_letter" || !has_reason) {
    journal_.Report("MIXED", result.id + " is \"" + result.state + "\" without a reason");
  }
}

void BatchClients::AskForBody(const Job& job, net::Time end, bool must) {
  const BatchItem& item = job->items[random_.Below(job->items.size())];
  if (IsListed(*job, item.id)) return;
  const net::Time sent = net_.Now();
  Ask("GET", "/items/" + job->id + "?id=" + item.id, job, "", "",
      [this, job, &item, end, must, sent](const HttpOutcome& outcome) {
        const int status = outcome.whole ? outcome.status() : 0;
        if (status == 200 && outcome.answer.body != item.body) {
          journal_.Report("MIXED", item.id + ": its body is returned with other bytes");
        }
        const bool settled = sent > *job->accepted + deployment_.base.bounds.settle;
        if (settled && (status == 404 || status == 410) && !job->end_asked && !MayBeOver(item)) {
          journal_.Report("LOST", item.id + " is not finished and its body is answered " +
                                      std::to_string(status));
        }
        if (must && status != 200 && status != 404 && net_.Now() < end) AskForBody(job, end, must);
      });
}

void BatchClients::End(const Job& job, net::Time end) {
  job->end_asked = true;
  if (net_.Now() >= end) return;
  Ask("DELETE", "/lots/" + job->id, job, "", "", [this, job, end](const HttpOutcome& outcome) {
    const int status = outcome.whole ? outcome.status() : 0;
    if (status == 200) {
      if (!job->end_acknowledged) job->end_acknowledged = net_.Now();
      if (random_.Chance(0.7)) return;
    } else if (status / 100 == 4 && status != 429) {
      journal_.Report("LOST", "the end of " + job->id + " is answered " + std::to_string(status));
    }
    net_.At(net_.Now() + milliseconds(100 + random_.Below(400)),
            [this, job, end] { End(job, end); });
  });
}

void BatchClients::ReadBack(net::Time end) {
  for (const Job& job : jobs_) {
    if (!job->accepted) continue;
    Read(job, 0, end, true);
    if (job->read.size() < job->items.size() && !job->end_asked) AskForBody(job, end, true);
  }
}

// What ran though it was never accepted, or long after its end.
void BatchClients::CheckRuns(const BatchJob& job) {
  for (const BatchItem& item : job.items) {
    const auto last = ledger_.LastRun(item.id);
    if (!last) continue;
    if (!job.accepted && job.given_up && !job.unclear) {
      journal_.Report("REFUSED", item.id + " ran though every try for " + job.id + " was refused");
    }
    if (job.end_acknowledged &&
        *last > *job.end_acknowledged + deployment_.base.bounds.cancel + kEndBound) {
      journal_.Report("UNASKED", item.id + " ran long after the end of " + job.id);
    }
  }
}

void BatchClients::Judge() {
  for (const Job& job : jobs_) {
    CheckRuns(*job);
    if (!job->accepted || job->end_asked) continue;
    for (const BatchItem& item : job->items) {
      if (IsListed(*job, item.id)) continue;
      journal_.Report("LOST", item.id + " is not listed in the end");
    }
  }
}

}  // namespace shelflink::tier_seeds
