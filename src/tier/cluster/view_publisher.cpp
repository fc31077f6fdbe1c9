#include "tier/cluster/view_publisher.h"

namespace shelflink::cluster {

void ViewPublisher::Publish(const Push& push, const std::vector<net::Address>& targets) {
  if (push.version <= versions_[push.part]) return;
  versions_[push.part] = push.version;
  std::string& encoded = encoded_[static_cast<std::size_t>(push.part)];
  encoded = Encode(push);
  Send(push, encoded, targets);
}

std::size_t ViewPublisher::Publish(const ConfigurationHistory::Pointer& configuration,
                                   const std::vector<net::Address>& targets) {
  const Version version{0, configuration->version};
  if (version <= versions_[Part::kConfiguration]) return 0;
  versions_[Part::kConfiguration] = version;
  const std::uint64_t before = configuration_.version();
  configuration_.Advance(configuration);
  const Push update{Part::kConfiguration, version, configuration_.UpdateSince(before)};
  Send(update, Encode(update), targets);
  return update.body.size();
}

void ViewPublisher::Send(const Push& push, const std::string& encoded,
                         const std::vector<net::Address>& targets) {
  for (const net::Address& target : targets) {
    hub_.Send(target, kPushKind, encoded, DeliveryOf(push));
  }
}

Result<std::string> ViewPublisher::Answer(std::string_view body) const {
  const Result<Fetch> fetch = DecodeFetch(body);
  if (!fetch) return fetch.error();
  const Part part = fetch.value().part;
  if (versions_[part] == Version() || versions_[part] < fetch.value().least) {
    return MakeError(ErrorCode::kNotFound, "no such version of the part here");
  }
  std::string answer = encoded_[static_cast<std::size_t>(part)];
  if (part == Part::kConfiguration) {
    answer =
        Encode(Push{part, versions_[part], configuration_.BodySince(fetch.value().have.count)});
  }
  if (answer.size() > kLargeAnswer && hub_.queued_bytes() + answer.size() > kMostWaiting) {
    return MakeError(ErrorCode::kExhausted, "too much waits to leave this process");
  }
  return answer;
}

}  // namespace shelflink::cluster
