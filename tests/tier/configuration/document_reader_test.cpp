// Documents that are read one after the other are read as if each were the first: random changes of
// a document, valid and not, against a reader that knows nothing.
#define BOOST_TEST_MODULE document_reader
#include "tier/configuration/document_reader.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "configuration/sample.h"
#include "tier/configuration/json.h"

namespace shelflink::configuration {
namespace {

bool SameFindings(const Findings& left, const Findings& right) {
  if (left.size() != right.size()) return false;
  for (std::size_t i = 0; i < left.size(); ++i) {
    if (left[i].place != right[i].place || left[i].expected != right[i].expected) return false;
  }
  return true;
}

void CheckSame(const ParseResult& read, const ParseResult& parsed) {
  BOOST_REQUIRE(read.has_value() == parsed.has_value());
  if (!read) {
    BOOST_TEST(SameFindings(read.error(), parsed.error()));
    return;
  }
  BOOST_TEST(read.value().version == parsed.value().version);
  BOOST_TEST((read.value().routes == parsed.value().routes));
  BOOST_TEST((read.value().services == parsed.value().services));
  BOOST_TEST((read.value().tenants == parsed.value().tenants));
  BOOST_TEST((read.value().limits == parsed.value().limits));
  BOOST_TEST(read.value().has_tenants == parsed.value().has_tenants);
}

BOOST_AUTO_TEST_CASE(a_document_is_read_as_it_is_parsed) {
  DocumentReader reader;
  CheckSame(reader.Read(kSample), Parse(kSample));
  CheckSame(reader.Read(kSample), Parse(kSample));
  const std::string changed = With(kSample, R"("timeoutMs":1000)", R"("timeoutMs":1001)");
  CheckSame(reader.Read(changed), Parse(changed));
  BOOST_TEST((reader.Read(changed).value().RouteNamed("deep")->timeout == milliseconds(1001)));
  BOOST_TEST(reader.Read(changed).value().FindRoute("stream.example", "/a/b/c")->name == "deep");
}

// A faulty item is reported again with each document, at its position in that document.
BOOST_AUTO_TEST_CASE(an_item_that_is_wrong_is_told_each_time) {
  DocumentReader reader;
  const std::string wrong = With(kSample, R"("timeoutMs":1000)", R"("timeoutMs":0)");
  BOOST_REQUIRE(!Parse(wrong));
  for (int round = 0; round < 3; ++round) CheckSame(reader.Read(wrong), Parse(wrong));
  const std::string moved =
      With(wrong, R"("routes":[)",
           R"("routes":[{"name":"more","hostname":"more.example","pathPrefix":"/",)"
           R"("routeKind":"idempotent","timeoutMs":1,"service":"big"},)");
  CheckSame(reader.Read(moved), Parse(moved));
  CheckSame(reader.Read(kSample), Parse(kSample));
}

// An unchanged item may become invalid because another item has changed.
BOOST_AUTO_TEST_CASE(items_that_have_not_changed_are_checked_against_the_others) {
  DocumentReader reader;
  CheckSame(reader.Read(kSample), Parse(kSample));
  for (
      const std::string& document :
      {With(kSample, R"({"name":"small"})", R"({"name":"tiny"})"),
       With(kSample, R"("key-three")", R"("key-one")"),
       With(
           kSample, R"("name":"once","hostname":"other.example")",
           R"("name":"once","hostname":"batch.example","pathPrefix":"/lots/","x":0,"hostname2":"")"),
       With(kSample, R"("name":"deep")", R"("name":"once")")}) {
    const ParseResult parsed = Parse(document);
    BOOST_TEST(!parsed.has_value());
    CheckSame(reader.Read(document), parsed);
  }
}

std::string AnyReplacement(std::mt19937_64& random, std::string text) {
  static const std::vector<std::string> kPieces = {"null", "[]",   "{}",           "\"\"",
                                                   "0",    "-1",   "1.5",          "\"big\"",
                                                   "true", "[{}]", "\"a\\u0041\"", "[1,2]"};
  // A value of the document, wherever it stands.
  std::vector<std::size_t> starts;
  for (std::size_t at = 0; at + 1 < text.size(); ++at) {
    if (text[at] == ':' || text[at] == '[') starts.push_back(at + 1);
  }
  const std::size_t start = starts[random() % starts.size()];
  std::size_t end = start;
  while (end < text.size() && text[end] != ',' && text[end] != '}' && text[end] != ']') ++end;
  return text.replace(start, end - start, kPieces[random() % kPieces.size()]);
}

BOOST_AUTO_TEST_CASE(random_documents_are_read_as_they_are_parsed) {
  DocumentReader reader;
  std::mt19937_64 random(20261202);
  std::size_t valid = 0;
  std::size_t invalid = 0;
  for (int round = 0; round < 3000; ++round) {
    std::string document = kSample;
    for (std::uint64_t changes = random() % 3 + 1; changes > 0; --changes) {
      document = AnyReplacement(random, document);
    }
    Findings findings;
    if (json::ReadWhole(document, findings) == nullptr) continue;  // Not what it is made for.
    const ParseResult parsed = Parse(document);
    CheckSame(reader.Read(document), parsed);
    ++(parsed ? valid : invalid);
  }
  BOOST_TEST(valid > 100U);
  BOOST_TEST(invalid > 100U);
}

}  // namespace
}  // namespace shelflink::configuration
