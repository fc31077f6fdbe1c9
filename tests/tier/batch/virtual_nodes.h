// Processes of a batch test on the virtual network: a machine with a hub, and a store that answers
// as a test scripts it.
#ifndef SHELFLINK_TESTS_TIER_BATCH_VIRTUAL_NODES_H_
#define SHELFLINK_TESTS_TIER_BATCH_VIRTUAL_NODES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/virtual.h"
#include "tier/batch/messages.h"
#include "tier/cluster/view.h"
#include "tier/transport/hub.h"

namespace shelflink::batch {

constexpr std::uint32_t kFirstHost = 0x0a000001;  // 10.0.0.1

struct Node {
  Node(net::VirtualNet& net, std::uint32_t number, const std::string& role)
      : host(kFirstHost + number), process(net, host, role, 200) {
    transport::PeerIdentity self;
    self.node = role + "-" + std::to_string(number);
    self.role = role;
    self.zone = "zone-1";
    self.address = net::Address::V4(host, 7000);
    self.incarnation = number + 1;
    hub = std::make_unique<transport::Hub>(process, self, transport::Hub::Options());
  }
  ~Node() { process.Kill(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  net::Address address() const { return hub->self().address; }

  std::uint32_t host;
  net::VirtualProcess process;
  std::unique_ptr<transport::Hub> hub;
};

inline std::shared_ptr<cluster::Placement> PlacementOf(const std::vector<net::Address>& primaries,
                                                       std::uint64_t epoch) {
  auto placement = std::make_shared<cluster::Placement>();
  placement->version = {epoch, 1};
  for (const net::Address& primary : primaries) {
    cluster::PartitionRow row;
    row.epoch = epoch;
    row.primary = primary;
    placement->rows.push_back(row);
  }
  return placement;
}

// Keeps every question it is asked; `answer` decides, none leaves the caller without an answer.
struct StandInStore : Node {
  using Answer =
      std::function<std::optional<Result<std::string>>(MessageKind kind, std::string_view body)>;
  struct Question {
    MessageKind kind;
    std::string body;
  };

  StandInStore(net::VirtualNet& net, std::uint32_t number) : Node(net, number, "store") {
    for (const MessageKind kind : {kSubmit, kRead, kBody, kEnd, kOffer, kAdopt, kFinished}) {
      hub->HandleCall(kind, [this, kind](const transport::PeerIdentity&, std::string_view body,
                                         transport::Hub::Reply reply) {
        questions.push_back({kind, std::string(body)});
        auto result = answer(kind, body);
        if (result) {
          reply(std::move(*result));
        } else {
          unanswered.push_back(std::move(reply));
        }
      });
    }
  }

  std::size_t Count(MessageKind kind) const {
    std::size_t count = 0;
    for (const Question& question : questions) count += question.kind == kind ? 1 : 0;
    return count;
  }
  // The newest message of that kind.
  template <typename Message>
  Message Last(MessageKind kind) const {
    for (auto question = questions.rbegin(); question != questions.rend(); ++question) {
      if (question->kind == kind) return Decode<Message>(question->body).value();
    }
    throw std::runtime_error("no such question");
  }

  Answer answer = [](MessageKind, std::string_view) {
    return Result<std::string>(MakeError(ErrorCode::kUnavailable, "not the primary"));
  };
  std::vector<Question> questions;
  std::vector<transport::Hub::Reply> unanswered;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TESTS_TIER_BATCH_VIRTUAL_NODES_H_
