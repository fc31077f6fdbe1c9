// Parsers of the serving tier. What is taken is used, or written and read again.
#include <string>

#include "configuration/order_caller.h"
#include "fuzz/tier_targets.h"
#include "proxy/proxy_fixture.h"
#include "tier/batch/job_json.h"
#include "tier/batch/job_records.h"
#include "tier/batch/messages.h"
#include "tier/batch/replica_frame.h"
#include "tier/cluster/messages.h"
#include "tier/cluster/view_codec.h"
#include "tier/configuration/book.h"
#include "tier/configuration/model.h"
#include "tier/coordination/messages.h"
#include "tier/foundation/settings.h"
#include "tier/operator_api/messages.h"
#include "tier/operator_api/requests.h"
#include "tier/platform/instance_page.h"
#include "tier/transport/frames.h"

namespace fuzz {
namespace {

namespace batch = shelflink::batch;
namespace cluster = shelflink::cluster;
namespace configuration = shelflink::configuration;
namespace coordination = shelflink::coordination;
namespace operator_api = shelflink::operator_api;
namespace transport = shelflink::transport;
using proxy_test::milliseconds;

const char* const kInForce = R"({"configVersion":7,"routes":[
{"name":"stream","hostname":"a.example","pathPrefix":"/stream/","routeKind":"streaming",
 "timeoutMs":4000,"service":"svc","public":true,"resumable":true},
{"name":"post","hostname":"a.example","pathPrefix":"/post/","routeKind":"non_idempotent",
 "timeoutMs":1500,"trafficSplit":[{"service":"svc","weight":90},{"service":"other","weight":10}]}],
"services":[{"name":"svc","engine":{"slots":32}},{"name":"other"}],
"tenants":[{"name":"ten","apiKeys":["key-1"],"priority":1}]})";

// One that is taken is put in force at a proxy, which then serves a request with it.
void Use(const configuration::Configuration& taken) {
  proxy_test::ProxyFixture world;
  world.Add(proxy_test::RespondWith("served"));
  world.SetConfiguration(taken);
  auto client =
      world.SendRequest(proxy_test::Request("/post/a", "0a0b", "Shelflink-Credential: key-1\r\n"));
  world.Run(milliseconds(100));
  client->Disconnect();
  world.Run(std::chrono::seconds(1));
}

// What the book would write for the order, if it takes it; the document must be readable.
void Plan(const coordination::Contents& contents, const configuration::ChangeOrder& order) {
  coordination::Contents after = contents;
  const configuration::Outcome outcome = configuration::SendCopy(after, order);
  if (outcome.refusal || outcome.refusals_to_confirm > 0) return;
  const auto current = configuration::CurrentConfiguration(after);
  if (!current) throw Breach("a document was taken and is not there");
  const auto taken = configuration::Parse(current->document);
  if (!taken) throw Breach("a document that cannot be read was taken");
  Use(taken.value());
}

// Whoever can be read must be the same when it has been written and read once more.
template <typename Read, typename Write>
void MustLast(std::string_view bytes, const Read& read, const Write& write, const char* name) {
  const auto first = read(bytes);
  if (!first) return;
  const std::string text = write(first.value());
  const auto second = read(text);
  if (!second || write(second.value()) != text) throw Breach(std::string("does not last: ") + name);
}

template <typename Message>
void PlayBatch(std::string_view bytes) {
  MustLast(
      bytes, [](std::string_view text) { return batch::Decode<Message>(text); },
      [](const Message& message) { return batch::Encode(message); }, "batch message");
}

template <typename Record>
void PlayRecord(std::string_view bytes) {
  MustLast(
      bytes, [](std::string_view text) { return batch::DecodeRecord<Record>(text); },
      [](const Record& record) { return batch::EncodeRecord(record); }, "record");
}

template <typename Message, shelflink::Result<Message> (*kDecode)(std::string_view)>
void PlayCluster(std::string_view bytes) {
  MustLast(
      bytes, kDecode, [](const Message& message) { return cluster::Encode(message); },
      "cluster message");
}

void PlayCoordination(std::string_view bytes) {
  MustLast(
      bytes, coordination::DecodeMessage,
      [](const coordination::Message& message) { return coordination::Encode(message); },
      "coordination message");
}

void PlayEntry(std::string_view bytes) {
  MustLast(bytes, coordination::DecodeEntry, coordination::EncodeEntry, "entry");
}

void PlayReplica(std::string_view bytes) {
  MustLast(
      bytes, batch::DecodeReplicaFrame,
      [](const batch::ReplicaFrame& frame) { return batch::Encode(frame); }, "replica frame");
}

void PlayOperatorOrder(std::string_view bytes) {
  MustLast(bytes, operator_api::DecodeOrder, operator_api::EncodeOrder, "order");
}

void PlayOperatorAnswer(std::string_view bytes) {
  MustLast(bytes, operator_api::DecodeAnswer, operator_api::EncodeAnswer, "answer");
}

void PlayView(std::string_view bytes) {
  MustLast(bytes, cluster::DecodeEndpoints, cluster::EncodeEndpoints, "endpoints");
  MustLast(bytes, cluster::DecodePlacement, cluster::EncodePlacement, "placement");
  MustLast(bytes, cluster::DecodeMembers, cluster::EncodeMembers, "members");
  MustLast(bytes, cluster::DecodeRow, cluster::EncodeRow, "row");
}

void PlayFrame(std::string_view bytes) { (void)transport::DecodeFrame(bytes); }

void PlayInstances(std::string_view bytes) { (void)shelflink::platform::ParseInstancePage(bytes); }

void PlayRecordKey(std::string_view bytes) { (void)batch::ParseRecordKey(bytes); }

constexpr void (*kMessages[])(std::string_view) = {
    PlayFrame,
    PlayCoordination,
    PlayEntry,
    PlayReplica,
    PlayView,
    PlayOperatorOrder,
    PlayOperatorAnswer,
    PlayInstances,
    PlayRecordKey,
    PlayCluster<cluster::Renewal, cluster::DecodeRenewal>,
    PlayCluster<cluster::Detour, cluster::DecodeDetour>,
    PlayCluster<cluster::RenewalAnswer, cluster::DecodeRenewalAnswer>,
    PlayCluster<cluster::Push, cluster::DecodePush>,
    PlayCluster<cluster::Fetch, cluster::DecodeFetch>,
    PlayCluster<cluster::BackupReport, cluster::DecodeBackupReport>,
    PlayBatch<batch::Submit>,
    PlayBatch<batch::SubmitAnswer>,
    PlayBatch<batch::Read>,
    PlayBatch<batch::ReadAnswer>,
    PlayBatch<batch::JobRef>,
    PlayBatch<batch::ItemRef>,
    PlayBatch<batch::Offer>,
    PlayBatch<batch::OfferAnswer>,
    PlayBatch<batch::WorkWaits>,
    PlayBatch<batch::Adopt>,
    PlayBatch<batch::AdoptAnswer>,
    PlayBatch<batch::Finished>,
    PlayBatch<batch::Assign>,
    PlayBatch<batch::Revoke>,
    PlayRecord<batch::JobHeader>,
    PlayRecord<batch::Payload>,
    PlayRecord<batch::Attempts>,
    PlayRecord<batch::Listed>,
};

}  // namespace

void PlaySettings(std::string_view bytes) {
  const auto settings = shelflink::ParseSettings(bytes);
  if (!settings && settings.error().empty()) throw Breach("refused without a finding");
  if (!settings) return;
  (void)shelflink::InternalAddress(settings.value(), shelflink::ProcessKind::kStore);
}

void PlayConfiguration(std::string_view bytes) {
  Plan({}, {configuration::ChangeMethod::kPut, 0, std::string(bytes)});
}

void PlayPatch(std::string_view bytes) {
  coordination::Contents contents;
  const configuration::Outcome outcome =
      configuration::SendCopy(contents, {configuration::ChangeMethod::kPut, 0, kInForce});
  if (outcome.refusal) {
    throw Breach("the document in force was not taken: " + outcome.refusal->text);
  }
  Plan(contents, {configuration::ChangeMethod::kPatch, 7, std::string(bytes)});
}

void PlayJob(std::string_view bytes) {
  static const configuration::Configuration kSample = proxy_test::SampleConfiguration();
  const configuration::Route& route = kSample.routes.back();
  const auto items = batch::ParseSubmission(bytes, kSample, route, "a.example");
  if (!items && items.error().empty()) throw Breach("refused without a finding");
  if (items) (void)batch::ContentDigest(items.value());
}

void PlayMessages(std::string_view bytes) {
  if (bytes.empty()) return;
  const auto which = static_cast<unsigned char>(bytes[0]) % std::size(kMessages);
  kMessages[which](bytes.substr(1));
}

// The first line: method, path and If-Match with blanks between; the rest is the body.
void PlayOrder(std::string_view bytes) {
  const auto take = [&bytes](char end) {
    const std::size_t at = std::min(bytes.find(end), bytes.size());
    const std::string_view word = bytes.substr(0, at);
    bytes.remove_prefix(std::min(at + 1, bytes.size()));
    return word;
  };
  operator_api::HttpRequest request;
  request.method = take(' ');
  request.path = take(' ');
  const std::string_view match = take('\n');
  if (!match.empty()) request.if_match = match;
  request.body = bytes;
  const auto wanted = operator_api::OrderOf(request);
  if (const auto* refusal = std::get_if<operator_api::HttpAnswer>(&wanted)) {
    if (refusal->status < 400) throw Breach("refused with " + std::to_string(refusal->status));
    return;
  }
  PlayOperatorOrder(operator_api::EncodeOrder(std::get<operator_api::Order>(wanted)));
}

const std::vector<Target>& TierTargets() {
  static const std::vector<Target> targets = {{"control", PlayControl},
                                              {"front", PlayFront},
                                              {"ready", PlayReady},
                                              {"hub", PlayHub},
                                              {"answer", PlayAnswer},
                                              {"settings", PlaySettings},
                                              {"configuration", PlayConfiguration},
                                              {"patch", PlayPatch},
                                              {"job", PlayJob},
                                              {"messages", PlayMessages},
                                              {"order", PlayOrder}};
  return targets;
}

}  // namespace fuzz
