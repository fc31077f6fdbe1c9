#include <cstdio>
#include <optional>
#include <string>

#include "measure/large_documents.h"
#include "measure/tables.h"

namespace shelflink::measure {
namespace {

std::string TextOf(const std::optional<net::Span>& span) {
  return span ? std::to_string(*span / milliseconds(1)) : "never";
}

}  // namespace

void PrintLargeDocuments(const Wanted& wanted) {
  std::printf(
      "| members | routes | large in force, ms | MB | small in force, ms | KB | core serves, ms | "
      "nine "
      "in ten ready | configuration everywhere | jobs readable | MB by cores | jobs missing |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t routes : {500U, 1000U, 2000U, 4000U, 8000U}) {
    const LargeDocumentFigures figures = PlayLargeDocument(LargeFleet(wanted.proxies, 1), routes);
    std::printf(
        "| %zu | %zu | %s | %.1f | %s | %.1f | %s | %s | %s | %s | %.2f | %zu of %zu |\n",
        wanted.proxies, static_cast<std::size_t>(routes), TextOf(figures.large_in_force).c_str(),
        static_cast<double>(figures.large_bytes) / 1e6, TextOf(figures.small_in_force).c_str(),
        static_cast<double>(figures.small_bytes) / 1e3, TextOf(figures.core_serves).c_str(),
        TextOf(figures.most_proxies_ready).c_str(), TextOf(figures.everywhere_again).c_str(),
        TextOf(figures.jobs_readable).c_str(),
        static_cast<double>(figures.core_bytes_of_return) / 1e6, figures.jobs_missing,
        figures.jobs_accepted);
    std::fflush(stdout);
  }
}

}  // namespace shelflink::measure
