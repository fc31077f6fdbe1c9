#include "tier/cluster/view_publisher.h"

namespace shelflink::cluster {

void ViewPublisher::Publish(const Push& push, const std::vector<net::Address>& targets) {
  if (push.version <= versions_[push.part]) return;
  versions_[push.part] = push.version;
  std::string& encoded = encoded_[static_cast<std::size_t>(push.part)];
  encoded = Encode(push);
  for (const net::Address& target : targets) {
    hub_.Send(target, kPushKind, encoded, DeliveryOf(push.part));
  }
}

Result<std::string> ViewPublisher::Answer(std::string_view body) const {
  const Result<Fetch> fetch = DecodeFetch(body);
  if (!fetch) return fetch.error();
  const Part part = fetch.value().part;
  if (versions_[part] == Version() || versions_[part] < fetch.value().least) {
    return MakeError(ErrorCode::kNotFound, "no such version of the part here");
  }
  return encoded_[static_cast<std::size_t>(part)];
}

}  // namespace shelflink::cluster
