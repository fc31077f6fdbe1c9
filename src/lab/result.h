// Parts of a result (schema shelflab.result.1), shared by the experiment and the load tool.
#ifndef SHELFLAB_LAB_RESULT_H_
#define SHELFLAB_LAB_RESULT_H_

#include <nlohmann/json.hpp>

#include "emulator/account.h"
#include "lab/lateness.h"
#include "lab/plan.h"
#include "lab/tally.h"

namespace shelflab {

// How well the tools kept time: what a result may be trusted for.
struct ToolState {
  Lateness load;
  Lateness fleet;
  std::uint64_t arrivals = 0;
  std::uint64_t starved = 0;  // Found every client busy.
  std::uint64_t crashes = 0;  // Sidecars that ended by themselves.
};

class Emulation;
class LoadRun;
ToolState StateOf(const LoadRun& load, const Emulation& emulation);

// What all runs of a plan have in common; `runs` is empty.
nlohmann::json HeadOf(const Plan& plan);
// A run: windows, classes, tenants and totals of the tally, the account, the tools.
nlohmann::json RunOf(const Plan& plan, const Tally& tally, const Account& account,
                     const ToolState& tools);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_RESULT_H_
