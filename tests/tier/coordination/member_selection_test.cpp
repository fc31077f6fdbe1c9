// Which disks the next record names.
#define BOOST_TEST_MODULE coordination_choice
#include "tier/coordination/member_selection.h"

#include <boost/test/unit_test.hpp>

namespace shelflink::coordination {
namespace {

// "a1@x" is the disk a1 in zone x; its machine is its first letter.
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
std::string Replicas(const std::vector<std::string>& staying,
                     const std::vector<std::string>& silent,
                     const std::vector<std::string>& joining) {
  return TextOf(ChooseReplicas({MembersOf(staying), MembersOf(silent), MembersOf(joining), 2, 3}));
}
std::string Witnesses(const std::vector<std::string>& present,
                      const std::vector<std::string>& there, std::size_t failures = 1) {
  return TextOf(ChooseWitnesses(MembersOf(present), MembersOf(there), failures));
}

BOOST_AUTO_TEST_CASE(silent_replicas_leave_while_enough_remain) {
  BOOST_TEST(Replicas({"a", "b", "c"}, {}, {}) == "a b c");
  BOOST_TEST(Replicas({"a", "b"}, {"c"}, {}) == "a b");
  BOOST_TEST(Replicas({"a"}, {"b", "c"}, {}) == "a b");
  BOOST_TEST(Replicas({"a"}, {"b"}, {"d"}) == "a d");
  BOOST_TEST(Replicas({"a", "b"}, {"c"}, {"d"}) == "a b d");
  BOOST_TEST(Replicas({"a", "b", "c"}, {}, {"d"}) == "a b c");
}

BOOST_AUTO_TEST_CASE(newcomers_of_zones_not_covered_come_first) {
  BOOST_TEST(Replicas({"a@x", "b@y"}, {}, {"c@x", "d@z"}) == "a b d");
  BOOST_TEST(Replicas({"a@x"}, {}, {"b@x", "c@y", "d@z"}) == "a c d");
  BOOST_TEST(Replicas({"a@x"}, {}, {"b@x", "c@x"}) == "a b c");
}

BOOST_AUTO_TEST_CASE(witnesses_are_odd_in_number_and_there_if_they_can_be) {
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

// Half of them may be lost at one time: one witness alone would take all control with it.
BOOST_AUTO_TEST_CASE(where_no_majority_outlives_the_losses_all_disks_are_witnesses) {
  BOOST_TEST(Witnesses({}, {"a", "b"}) == "a b");
  BOOST_TEST(Witnesses({}, {"a", "b", "c", "d"}, 2) == "a b c d");
  BOOST_TEST(Witnesses({"a", "b", "c", "d"}, {"a", "b"}, 2) == "a b c d");
  BOOST_TEST(Witnesses({"a1", "b1", "c", "d"}, {"c", "d", "a2", "b2"}, 2) == "c d a2 b2");
  BOOST_TEST(Witnesses({"a", "b", "c"}, {"a", "b", "c", "d"}, 2) == "a b c d");
  BOOST_TEST(Witnesses({}, {"a", "b", "c", "d", "e", "f"}, 2) == "a b c d e");
}

BOOST_AUTO_TEST_CASE(a_disk_whose_machine_has_another_is_gone_for_good) {
  BOOST_TEST(Witnesses({"a", "b", "c1"}, {"a", "b", "c2"}) == "a b c2");
  BOOST_TEST(Witnesses({"a", "b1", "c1"}, {"a", "c2"}) == "a c2 b1");
}

}  // namespace
}  // namespace shelflink::coordination
