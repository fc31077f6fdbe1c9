// The corpus of the serving tier's targets, in every build: no target finds anything in it. Whoever
// fuzzes adds to it.
#define BOOST_TEST_MODULE fuzz_corpus
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>

#include "fuzz/tier_targets.h"

namespace fuzz {

// For the names of the cases.
std::ostream& operator<<(std::ostream& out, const Target& target) { return out << target.name; }

namespace {

constexpr std::size_t kFewestEntries = 3;

std::string Read(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

BOOST_DATA_TEST_CASE(the_corpus_breaks_nothing, boost::unit_test::data::make(TierTargets())) {
  std::size_t played = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(std::string(CORPUS) + "/" + sample.name)) {
    BOOST_TEST_CONTEXT(entry.path().filename().string()) {
      BOOST_CHECK_NO_THROW(sample.play(Read(entry.path())));
    }
    ++played;
  }
  BOOST_TEST(played >= kFewestEntries);
}

}  // namespace
}  // namespace fuzz
