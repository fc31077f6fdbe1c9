#define BOOST_TEST_MODULE json_text
#include "tier/foundation/json_text.h"

#include <cjson/cJSON.h>
#include <glib.h>

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

namespace shelflink {
namespace {

std::string Written(std::string_view text) {
  std::string out;
  AppendJsonString(out, text);
  return out;
}

std::string ReadBack(const std::string& json) {
  cJSON* tree = cJSON_Parse(json.c_str());
  BOOST_REQUIRE(cJSON_IsString(tree));
  std::string text = tree->valuestring;
  cJSON_Delete(tree);
  return text;
}

BOOST_AUTO_TEST_CASE(escapes_what_json_demands) {
  BOOST_TEST(Written("") == "\"\"");
  BOOST_TEST(Written("plain, /slash") == "\"plain, /slash\"");
  BOOST_TEST(Written("a\"b\\c") == R"("a\"b\\c")");
  BOOST_TEST(Written("1\n2\r3\t4") == R"("1\n2\r3\t4")");
  BOOST_TEST(Written(std::string_view("\0\x01\x1f\x7f", 4)) == "\"\\u0000\\u0001\\u001f\x7f\"");
}

BOOST_AUTO_TEST_CASE(appends_behind_what_is_there) {
  std::string out = "{\"text\":";
  AppendJsonString(out, "x");
  BOOST_TEST(out == "{\"text\":\"x\"");
}

BOOST_AUTO_TEST_CASE(keeps_characters_of_every_length) {
  const std::string text =
      "\xc2\x80 \xc3\xa9 \xe0\xa0\x80 \xe2\x82\xac \xed\x9f\xbf \xee\x80\x80 "
      "\xf0\x90\x80\x80 \xf0\x9f\x98\x80 \xf4\x8f\xbf\xbf";
  BOOST_TEST(Written(text) == "\"" + text + "\"");
}

BOOST_AUTO_TEST_CASE(replaces_each_byte_that_is_no_utf8) {
  const std::string replaced = "\xef\xbf\xbd";
  BOOST_TEST(Written("a\x80z") == "\"a" + replaced + "z\"");
  BOOST_TEST(Written("\xc3") == "\"" + replaced + "\"");
  BOOST_TEST(Written("\xc0\xaf") == "\"" + replaced + replaced + "\"");  // Overlong.
  BOOST_TEST(Written("\xe0\x9f\x80") == "\"" + replaced + replaced + replaced + "\"");
  BOOST_TEST(Written("\xed\xa0\x80") ==
             "\"" + replaced + replaced + replaced + "\"");  // Surrogate.
  BOOST_TEST(Written("\xe2\x82") == "\"" + replaced + replaced + "\"");
  BOOST_TEST(Written("\xf4\x90\x80\x80") ==
             "\"" + replaced + replaced + replaced + replaced + "\"");
  BOOST_TEST(Written("\xf0\x9f\x98q") == "\"" + replaced + replaced + replaced + "q\"");
}

BOOST_AUTO_TEST_CASE(whatever_the_bytes_the_answer_can_be_read) {
  std::mt19937_64 random(3);
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes(random() % 24, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random() % 3 == 0 ? 0x80 + random() % 128 : 1 + random() % 127);
    }
    const std::string json = Written(bytes);
    BOOST_TEST(g_utf8_validate(json.data(), static_cast<gssize>(json.size()), nullptr));
    const std::string back = ReadBack(json);
    if (g_utf8_validate(bytes.data(), static_cast<gssize>(bytes.size()), nullptr)) {
      BOOST_TEST(back == bytes);
    } else {
      BOOST_TEST(back != bytes);
    }
  }
}

}  // namespace
}  // namespace shelflink
