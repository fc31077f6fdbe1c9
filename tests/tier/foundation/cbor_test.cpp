// What is written is read back; what is damaged makes the reader fail and reads nothing beyond.
#define BOOST_TEST_MODULE cbor
#include "tier/foundation/cbor.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>

namespace {

using shelflink::cbor::Reader;
using shelflink::cbor::Writer;

std::string Sample() {
  Writer writer;
  writer.Array(7).Uint(70000).Int(-5).Bool(true).Double(0.25).Text("lease").Bytes(
      std::string("\0\xff", 2));
  return writer.Null().Take();
}

// Reads the sample; whether all of it was as written.
bool ReadsAsSample(std::string_view data) {
  Reader reader(data);
  const bool same = reader.Array() == 7 && reader.Uint() == 70000 && reader.Int() == -5 &&
                    reader.Bool() && reader.Double() == 0.25 && reader.Text() == "lease" &&
                    reader.Bytes() == std::string_view("\0\xff", 2) && reader.TakeNull();
  return same && reader.ok() && reader.AtEnd();
}

}  // namespace

BOOST_AUTO_TEST_CASE(ReadsBackWhatWasWritten) { BOOST_TEST(ReadsAsSample(Sample())); }

BOOST_AUTO_TEST_CASE(KeepsTheLimitsOfNumbers) {
  Writer writer;
  writer.Uint(std::numeric_limits<std::uint64_t>::max());
  writer.Int(std::numeric_limits<std::int64_t>::min());
  writer.Int(std::numeric_limits<std::int64_t>::max());
  Reader reader(writer.data());
  BOOST_TEST(reader.Uint() == std::numeric_limits<std::uint64_t>::max());
  BOOST_TEST(reader.Int() == std::numeric_limits<std::int64_t>::min());
  BOOST_TEST(reader.Int() == std::numeric_limits<std::int64_t>::max());
  BOOST_TEST(reader.ok());
}

BOOST_AUTO_TEST_CASE(FailsWhereverTheInputIsCutShort) {
  const std::string whole = Sample();
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_TEST(!ReadsAsSample(std::string_view(whole).substr(0, size)), "cut to " << size);
  }
}

BOOST_AUTO_TEST_CASE(NeverReadsAChangedByteAsTheSample) {
  const std::string whole = Sample();
  for (std::size_t at = 0; at < whole.size(); ++at) {
    for (int flip = 1; flip < 256; ++flip) {
      std::string changed = whole;
      changed[at] = static_cast<char>(changed[at] ^ flip);
      BOOST_TEST(!ReadsAsSample(changed), "byte " << at << " changed by " << flip);
    }
  }
}

BOOST_AUTO_TEST_CASE(FailsOnAnotherKindAndStaysFailed) {
  Writer writer;
  writer.Text("primary").Uint(3);
  Reader reader(writer.data());
  BOOST_TEST(reader.Uint() == 0U);
  BOOST_TEST(!reader.ok());
  BOOST_TEST(reader.Text().empty());
}

BOOST_AUTO_TEST_CASE(RefusesALengthThatTheInputDoesNotHold) {
  Reader list(std::string_view("\x9b\x00\x00\x00\x00\xff\xff\xff\xff", 9));
  BOOST_TEST(list.Array() == 0U);
  BOOST_TEST(!list.ok());
  Reader text(std::string_view("\x7b\x00\x00\x00\x00\xff\xff\xff\xff", 9));
  BOOST_TEST(text.Text().empty());
  BOOST_TEST(!text.ok());
}

BOOST_AUTO_TEST_CASE(SkipsOneWholeItem) {
  Writer writer;
  writer.Array(2).Array(2).Uint(1).Array(0).Text("later field").Uint(9);
  Reader reader(writer.data());
  reader.Skip();
  BOOST_TEST(reader.Uint() == 9U);
  BOOST_TEST(reader.ok());
}

BOOST_AUTO_TEST_CASE(SkipRefusesEndlessNesting) {
  const std::string nested(4096, '\x81');
  Reader reader(nested);
  reader.Skip();
  BOOST_TEST(!reader.ok());
}

BOOST_AUTO_TEST_CASE(RefusesNumbersThatAreNotFinite) {
  Reader reader(std::string_view("\xfb\x7f\xf0\x00\x00\x00\x00\x00\x00", 9));
  reader.Double();
  BOOST_TEST(!reader.ok());
}
