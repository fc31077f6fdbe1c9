// Documents in the replicated map: they come back byte by byte, and a change writes little of a
// long one, wherever it is made.
#define BOOST_TEST_MODULE document_store
#include "tier/configuration/document_store.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <random>
#include <string>

namespace shelflink::configuration {
namespace {

using coordination::Contents;
using coordination::Write;

constexpr std::size_t kLong = 1U << 20;

struct Written {
  std::size_t bytes = 0;
  std::size_t removed = 0;
};

Written Store(Contents& contents, const std::string& document) {
  Written written;
  for (const Write& write : WritesOfDocument(contents, document)) {
    BOOST_TEST(write.key.starts_with("config/"));
    if (write.value) {
      written.bytes += write.key.size() + write.value->size();
      contents[write.key] = *write.value;
    } else {
      BOOST_TEST(contents.erase(write.key) == 1U);
      ++written.removed;
    }
  }
  BOOST_REQUIRE(StoredDocument(contents).has_value());
  BOOST_REQUIRE((*StoredDocument(contents) == document));
  return written;
}

std::size_t BytesIn(const Contents& contents) {
  std::size_t bytes = 0;
  for (const auto& [key, value] : contents) bytes += key.size() + value.size();
  return bytes;
}

std::string Items(std::size_t bytes, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string document;
  while (document.size() < bytes) {
    document += R"({"name":"r-)" + std::to_string(random()) + R"(","timeoutMs":4000},)";
  }
  return document;
}

BOOST_AUTO_TEST_CASE(documents_of_every_length_come_back) {
  BOOST_TEST(!StoredDocument({}).has_value());
  Contents contents;
  for (const std::size_t length : {std::size_t{0}, std::size_t{1}, kLeastChunk - 1, kLeastChunk,
                                   kLeastChunk + 1, kLargestChunk, 3 * kLargestChunk + 7, kLong}) {
    Store(contents, Items(length, length).substr(0, length));
    Store(contents, std::string(length, 'n'));
  }
  Store(contents, "");
  BOOST_TEST(contents.size() == 1U);  // The list alone.
}

BOOST_AUTO_TEST_CASE(a_change_writes_the_chunks_that_it_touches) {
  Contents contents;
  std::string document = Items(kLong, 1);
  Store(contents, document);
  std::mt19937_64 random(2);
  std::size_t in_all = 0;
  constexpr int kChanges = 100;
  for (int change = 0; change < kChanges; ++change) {
    const std::size_t at = change == 0 ? 0 : random() % document.size();
    if (random() % 2 == 0) {
      document.insert(at, R"({"name":"more"},)");
    } else {
      document.erase(at, random() % 300);
    }
    const Written written = Store(contents, document);
    BOOST_TEST(written.bytes <= 4 * kLargestChunk);
    in_all += written.bytes;
  }
  BOOST_TEST(in_all / kChanges < kLong / 25);
  BOOST_TEST(BytesIn(contents) < document.size() * 11 / 10);
}

// Chunks with equal content are stored once and read back at each place.
BOOST_AUTO_TEST_CASE(equal_chunks_are_stored_once) {
  Contents contents;
  Store(contents, std::string(kLong, 'n'));
  BOOST_TEST(BytesIn(contents) < 2 * kLargestChunk);
  BOOST_TEST(Store(contents, std::string(kLong + kLargestChunk, 'n')).bytes < 1000U);
}

BOOST_AUTO_TEST_CASE(a_document_of_an_earlier_program_is_read_and_replaced) {
  Contents contents;
  contents[std::string(kWholeDocumentKey)] = "as it was";
  BOOST_TEST(*StoredDocument(contents) == "as it was");
  Store(contents, "as it is");
  BOOST_TEST(!contents.contains(kWholeDocumentKey));
}

}  // namespace
}  // namespace shelflink::configuration
