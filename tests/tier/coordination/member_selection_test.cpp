// Selection of the disks that the next record names.
#define BOOST_TEST_MODULE coordination_member_selection
#include "tier/coordination/member_selection.h"

#include <boost/test/unit_test.hpp>

namespace shelflink::coordination {
namespace {

// "a1@x" is disk a1 in zone x. The first letter names the machine.
CoreMember MemberOf(const std::string& text) {
  const std::string disk = text.substr(0, text.find('@'));
  const std::string zone = text.find('@') == std::string::npos ? disk : text.substr(text.find('@'));
  const auto host = static_cast<std::uint32_t>(disk.front());
  return {disk.substr(0, 1), zone, disk, net::Address::V4(0x0a000000 + host, 7361)};
}
std::vector<CoreMember> MembersOf(const std::vector<std::string>& texts) {
  std::vector<CoreMember> members;
  for (const std::string& text : texts) members.push_back(MemberOf(text));
  return members;
}
std::string TextOf(const std::vector<CoreMember>& members) {
  std::string disks;
  for (const CoreMember& member : members) disks += (disks.empty() ? "" : " ") + member.disk;
  return disks;
}
std::string Replicas(const std::vector<std::string>& responsive,
                     const std::vector<std::string>& silent,
                     const std::vector<std::string>& caught_up) {
  return TextOf(
      ChooseReplicas({MembersOf(responsive), MembersOf(silent), MembersOf(caught_up), 2, 3}));
}
std::string Witnesses(const std::vector<std::string>& current,
                      const std::vector<std::string>& responsive, std::size_t failures = 1) {
  return TextOf(ChooseWitnesses(MembersOf(current), MembersOf(responsive), failures));
}

BOOST_AUTO_TEST_CASE(silent_replicas_are_dropped_while_enough_remain) {
  BOOST_TEST(Replicas({"a", "b", "c"}, {}, {}) == "a b c");
  BOOST_TEST(Replicas({"a", "b"}, {"c"}, {}) == "a b");
  BOOST_TEST(Replicas({"a"}, {"b", "c"}, {}) == "a b");
  BOOST_TEST(Replicas({"a"}, {"b"}, {"d"}) == "a d");
  BOOST_TEST(Replicas({"a", "b"}, {"c"}, {"d"}) == "a b d");
  BOOST_TEST(Replicas({"a", "b", "c"}, {}, {"d"}) == "a b c");
}

BOOST_AUTO_TEST_CASE(new_replicas_of_uncovered_zones_come_first) {
  BOOST_TEST(Replicas({"a@x", "b@y"}, {}, {"c@x", "d@z"}) == "a b d");
  BOOST_TEST(Replicas({"a@x"}, {}, {"b@x", "c@y", "d@z"}) == "a c d");
  BOOST_TEST(Replicas({"a@x"}, {}, {"b@x", "c@x"}) == "a b c");
}

BOOST_AUTO_TEST_CASE(witnesses_are_odd_in_number_and_responsive_if_possible) {
  BOOST_TEST(Witnesses({}, {"a"}) == "a");
  BOOST_TEST(Witnesses({}, {"a", "b"}, 0) == "a");
  BOOST_TEST(Witnesses({}, {"a", "b", "c", "d"}) == "a b c");
  BOOST_TEST(Witnesses({}, {"a", "b", "c", "d", "e"}) == "a b c d e");
  BOOST_TEST(Witnesses({"a", "b", "c"}, {"a", "b"}) == "a b c");
  BOOST_TEST(Witnesses({"a", "b", "c"}, {"a", "b", "d"}) == "a b d");
  BOOST_TEST(Witnesses({"a", "b", "c"}, {"b", "c", "d", "e"}) == "b c d");
  BOOST_TEST(Witnesses({"a", "b", "c"}, {"a", "b", "c", "d", "e"}) == "a b c d e");
  BOOST_TEST(Witnesses({"a", "b", "c", "d", "e"}, {"a", "b", "c"}) == "a b c d e");
  BOOST_TEST(Witnesses({}, {"a", "b", "c", "d", "e", "f", "g", "h", "i"}) == "a b c d e f g");
}

// Half of the disks may be lost at once. With a single witness, its loss would block all elections.
BOOST_AUTO_TEST_CASE(all_disks_are_witnesses_if_no_majority_survives_the_losses) {
  BOOST_TEST(Witnesses({}, {"a", "b"}) == "a b");
  BOOST_TEST(Witnesses({}, {"a", "b", "c", "d"}, 2) == "a b c d");
  BOOST_TEST(Witnesses({"a", "b", "c", "d"}, {"a", "b"}, 2) == "a b c d");
  BOOST_TEST(Witnesses({"a1", "b1", "c", "d"}, {"c", "d", "a2", "b2"}, 2) == "c d a2 b2");
  BOOST_TEST(Witnesses({"a", "b", "c"}, {"a", "b", "c", "d"}, 2) == "a b c d");
  BOOST_TEST(Witnesses({}, {"a", "b", "c", "d", "e", "f"}, 2) == "a b c d e");
}

BOOST_AUTO_TEST_CASE(a_disk_replaced_on_its_machine_is_dropped) {
  BOOST_TEST(Witnesses({"a", "b", "c1"}, {"a", "b", "c2"}) == "a b c2");
  BOOST_TEST(Witnesses({"a", "b1", "c1"}, {"a", "c2"}) == "a c2 b1");
}

}  // namespace
}  // namespace shelflink::coordination
