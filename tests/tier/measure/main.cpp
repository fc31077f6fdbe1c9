// tier_measure: prints the tables of docs/measured/full-disks.md. Not a test. Exit codes: 0
// printed, 2 usage.
#include <CLI/CLI.hpp>
#include <cstdlib>

#include "measure/tables.h"

int main(int argc, char** argv) {
  using namespace shelflink::measure;
  constexpr int kUsage = 2;
  Wanted wanted;
  CLI::App app("Measures whole tiers on the virtual network");
  app.add_option("--seeds", wanted.seeds, "How many seeds a row");
  app.add_option("--proxies", wanted.proxies, "How many proxies");
  app.add_option("--mbit", wanted.megabits_per_second, "Of each machine's link, a second");
  app.add_option("--most-mb", wanted.most_megabytes, "Largest control state");
  app.require_subcommand(1);
  app.add_subcommand("ages")->callback([&] { PrintListAges(wanted); });
  app.add_subcommand("departures")->callback([&] { PrintDepartures(wanted); });
  app.add_subcommand("cores")->callback([&] { PrintCoreReturns(wanted); });
  app.add_subcommand("stores")->callback([&] { PrintStoreReturns(wanted); });
  app.add_subcommand("files")->callback([&] { PrintFileRecoveries(wanted); });
  app.add_subcommand("documents")->callback([&] { PrintLargeDocuments(wanted); });
  app.fallthrough();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : kUsage;
  }
  return EXIT_SUCCESS;
}
