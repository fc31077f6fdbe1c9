// The subcommands of shelflab. Each parses its options and calls what does the work.
#ifndef SHELFLAB_LAB_COMMANDS_H_
#define SHELFLAB_LAB_COMMANDS_H_

#include <CLI/App.hpp>

namespace shelflab {

// The commands throw BadPlan for bad input, any other std::exception where a run went wrong.
void AddCommands(CLI::App& app);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_COMMANDS_H_
