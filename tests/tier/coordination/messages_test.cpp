// Encoding of messages. Messages survive a round trip; a damaged message is rejected or decoded as
// another valid message.
#define BOOST_TEST_MODULE coordination_messages
#include "tier/coordination/messages.h"

#include <boost/test/unit_test.hpp>

namespace shelflink::coordination {
namespace {

CoreMember MemberOf(const std::string& disk) {
  return {"node-" + disk, "zone-" + disk, disk, *net::Address::Parse("10.0.0.1:7361")};
}

Record SomeRecord() {
  return {
      7, "a", 42, {MemberOf("a"), MemberOf("b")}, {MemberOf("a"), MemberOf("b"), MemberOf("c")}};
}

std::vector<Message> OneOfEach() {
  const Ballot ballot{3, "a", 42};
  const Entry entry{{7, 9}, {{"key", "value"}, {"gone", std::nullopt}}};
  const KeyRange range{"from", "until"};
  return {Prepare{SomeRecord(), ballot},
          PrepareReply{8, ballot, true, ballot, 250, ballot, SomeRecord()},
          PrepareReply{},
          Accept{SomeRecord(), ballot, SomeRecord()},
          AcceptReply{8, ballot, true, ballot, 1},
          Decided{SomeRecord()},
          Renew{7, 123456789, true},
          RenewReply{7, 123456789, true},
          Hello{7, true, true},
          Leave{},
          Append{7, {7, 8}, {entry, entry}, 8},
          AppendReply{7, true, 9, 3, 11},
          CatchUpRequest{7, 11, true, {range}, {range, range}},
          CatchUpReply{7,
                       11,
                       false,
                       {7, 9},
                       {{range, 1, 2, 3}, {range, 0, 0, 0, false}},
                       {{range, {{"key", "value"}}}}}};
}

BOOST_AUTO_TEST_CASE(every_message_survives_encoding_and_decoding) {
  for (const Message& message : OneOfEach()) {
    const std::string encoded = Encode(message);
    const auto decoded = DecodeMessage(encoded);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->index() == message.index());
    BOOST_TEST(Encode(*decoded) == encoded);
  }
}

BOOST_AUTO_TEST_CASE(a_message_that_ends_early_is_refused) {
  for (const Message& message : OneOfEach()) {
    const std::string encoded = Encode(message);
    for (std::size_t length = 0; length < encoded.size(); ++length) {
      BOOST_TEST(!DecodeMessage(std::string_view(encoded).substr(0, length)).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(one_changed_byte_never_does_more_than_change_the_message) {
  std::size_t refused = 0;
  std::size_t read = 0;
  for (const Message& message : OneOfEach()) {
    const std::string encoded = Encode(message);
    for (std::size_t at = 0; at < encoded.size(); ++at) {
      for (const int change : {0x01, 0x20, 0x80, 0xff}) {
        std::string mutated = encoded;
        mutated[at] = static_cast<char>(mutated[at] ^ change);
        const auto decoded = DecodeMessage(mutated);
        ++(decoded ? read : refused);
        // A message that was decoded can be encoded and decoded again.
        if (decoded) BOOST_TEST(DecodeMessage(Encode(*decoded)).has_value());
      }
    }
  }
  BOOST_TEST(refused > 1000U);
  BOOST_TEST(read > 1000U);
}

BOOST_AUTO_TEST_CASE(a_record_is_described_by_its_node_names) {
  BOOST_TEST(DescriptionOf(SomeRecord()) ==
             "epoch 7, primary node-a, replicas node-a node-b, witnesses node-a node-b node-c");
  BOOST_TEST(DescriptionOf(Record()) == "epoch 0, primary none, replicas, witnesses");
}

BOOST_AUTO_TEST_CASE(unknown_kinds_are_refused_and_later_fields_ignored) {
  BOOST_TEST(!DecodeMessage("").has_value());
  BOOST_TEST(!DecodeMessage(cbor::Writer().Array(1).Uint(99).Take()).has_value());
  cbor::Writer longer;
  longer.Array(5).Uint(Message(Hello{}).index()).Uint(7).Bool(true).Bool(false).Text("later");
  const auto decoded = DecodeMessage(longer.data());
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(std::get<Hello>(*decoded).epoch == 7U);
}

BOOST_AUTO_TEST_CASE(entries_survive_encoding_and_decoding) {
  const Entry entry{{7, 9}, {{"key", "value"}, {"gone", std::nullopt}}};
  const auto read = DecodeEntry(EncodeEntry(entry));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->position == entry.position));
  BOOST_TEST(read->writes.size() == 2U);
  BOOST_TEST(!read->writes[1].value.has_value());
  BOOST_TEST(!DecodeEntry("x").has_value());
}

}  // namespace
}  // namespace shelflink::coordination
