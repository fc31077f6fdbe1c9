#define BOOST_TEST_MODULE base64
#include "tier/batch/base64.h"

#include <glib.h>

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

namespace shelflink::batch {
namespace {

std::string EncodeByGlib(const std::string& bytes) {
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()), bytes.size());
  std::string copy(text);
  g_free(text);
  return copy;
}

std::string RandomBytes(std::mt19937_64& random, std::size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes) byte = static_cast<char>(random());
  return bytes;
}

BOOST_AUTO_TEST_CASE(decodes_the_examples_of_the_rfc) {
  BOOST_TEST(DecodeBase64("").value() == "");
  BOOST_TEST(DecodeBase64("Zg==").value() == "f");
  BOOST_TEST(DecodeBase64("Zm8=").value() == "fo");
  BOOST_TEST(DecodeBase64("Zm9v").value() == "foo");
  BOOST_TEST(DecodeBase64("Zm9vYg==").value() == "foob");
  BOOST_TEST(DecodeBase64("Zm9vYmE=").value() == "fooba");
  BOOST_TEST(DecodeBase64("Zm9vYmFy").value() == "foobar");
}

BOOST_AUTO_TEST_CASE(refuses_what_is_no_canonical_base64) {
  for (const char* text :
       {"Z", "Zg", "Zg=", "Zg===", "====", "=", "Zm9=v", "Zm=v", "Zm9v=", "Zm9v\n", " Zm9v",
        "Zm 9v", "Zm9-", "Zm9_", "Zh==", "Zm9=", "Z===", "Zm9vZg=v"}) {
    BOOST_TEST_CONTEXT(text) { BOOST_TEST(!DecodeBase64(text).has_value()); }
  }
  BOOST_TEST(!DecodeBase64(std::string_view("Zm\0v", 4)).has_value());
}

BOOST_AUTO_TEST_CASE(takes_back_what_another_encoder_wrote) {
  std::mt19937_64 random(1);
  for (std::size_t size = 0; size < 200; ++size) {
    const std::string bytes = RandomBytes(random, size);
    BOOST_TEST((DecodeBase64(EncodeByGlib(bytes)) == bytes));
  }
}

// A damaged text is refused or, where the damage is another digit, decoded to other bytes of the
// same length: never to the same ones.
BOOST_AUTO_TEST_CASE(no_two_texts_stand_for_the_same_bytes) {
  std::mt19937_64 random(2);
  for (int round = 0; round < 20'000; ++round) {
    const std::string bytes = RandomBytes(random, random() % 40);
    const std::string text = EncodeByGlib(bytes);
    std::string damaged = text;
    if (damaged.empty() || random() % 4 == 0) {
      damaged.insert(random() % (damaged.size() + 1), 1, static_cast<char>(random()));
    } else if (random() % 3 == 0) {
      damaged.erase(random() % damaged.size(), 1);
    } else {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    if (damaged == text) continue;
    const auto decoded = DecodeBase64(damaged);
    if (decoded) BOOST_TEST((*decoded != bytes));
    if (decoded) BOOST_TEST(EncodeByGlib(*decoded) == damaged);
  }
}

}  // namespace
}  // namespace shelflink::batch
