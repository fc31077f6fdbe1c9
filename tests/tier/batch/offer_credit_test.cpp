#define BOOST_TEST_MODULE offer_credit
#include "tier/batch/offer_credit.h"

#include <boost/test/unit_test.hpp>

namespace shelflink::batch {
namespace {

void Use(OfferCredit& credit, std::uint32_t items) {
  for (std::uint32_t i = 0; i < items; ++i) credit.OnAssigned();
}

BOOST_AUTO_TEST_CASE(doubles_while_all_is_used) {
  OfferCredit credit;
  std::uint32_t expected = OfferCredit::kFirst;
  while (expected <= OfferCredit::kMost) {
    BOOST_TEST(credit.Grant(1000) == expected);
    Use(credit, expected);
    BOOST_TEST(credit.used_up());
    expected *= 2;
  }
  BOOST_TEST(credit.Grant(1000) == OfferCredit::kMost);
}

BOOST_AUTO_TEST_CASE(halves_while_none_is_used_and_stays_otherwise) {
  OfferCredit credit;
  Use(credit, credit.Grant(1000));
  Use(credit, credit.Grant(1000));
  BOOST_TEST(credit.Grant(1000) == 16U);
  Use(credit, 1);
  BOOST_TEST(credit.Grant(1000) == 16U);
  BOOST_TEST(credit.Grant(1000) == 8U);
  BOOST_TEST(credit.Grant(1000) == 4U);
  BOOST_TEST(credit.Grant(1000) == OfferCredit::kLeast);
  BOOST_TEST(credit.Grant(1000) == OfferCredit::kLeast);
}

BOOST_AUTO_TEST_CASE(never_more_than_the_room) {
  OfferCredit credit;
  BOOST_TEST(credit.Grant(3) == 3U);
  BOOST_TEST(credit.Grant(0) == 0U);
  BOOST_TEST(!credit.used_up());
  Use(credit, 2);  // More than granted: an earlier grant was still open at the store.
  BOOST_TEST(credit.left() == 0U);
}

BOOST_AUTO_TEST_CASE(no_room_is_no_sign_of_hunger) {
  OfferCredit credit;
  for (int i = 0; i < 10; ++i) credit.Grant(0);
  BOOST_TEST(credit.Grant(1000) == OfferCredit::kFirst);
}

}  // namespace
}  // namespace shelflink::batch
