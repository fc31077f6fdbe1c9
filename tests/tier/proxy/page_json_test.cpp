#define BOOST_TEST_MODULE page_json
#include <cjson/cJSON.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "tier/proxy/batch_requests.h"

namespace shelflink::proxy {
namespace {

BOOST_AUTO_TEST_CASE(an_empty_page) {
  BatchPage page;
  page.total = 40;
  BOOST_TEST(PageJson(page, 12) == R"({"total":40,"nextToken":12,"results":[]})");
}

BOOST_AUTO_TEST_CASE(results_in_their_order) {
  BatchPage page;
  page.total = 3;
  page.results = {{"i-2", true, "one\ntwo"}, {"i-1", false, ""}};
  BOOST_TEST(PageJson(page, 1) == R"({"total":3,"nextToken":3,"results":[)"
                                  R"({"id":"i-2","state":"completed","text":"one\ntwo"},)"
                                  R"({"id":"i-1","state":"dead_letter","text":""}]})");
}

BOOST_AUTO_TEST_CASE(any_text_leaves_the_page_readable) {
  BatchPage page;
  page.total = 1;
  page.results = {{"\"", true, std::string("a\0\xff\x1f\"\\", 6)}};
  cJSON* tree = cJSON_Parse(PageJson(page, 0).c_str());
  BOOST_REQUIRE(tree != nullptr);
  BOOST_TEST(cJSON_GetArraySize(cJSON_GetObjectItem(tree, "results")) == 1);
  cJSON_Delete(tree);
}

}  // namespace
}  // namespace shelflink::proxy
