// A child process that cannot outlive its owner: it is killed when the object goes, and by the
// kernel if this process dies without a word.
#ifndef SHELFLAB_LAB_PROCESS_H_
#define SHELFLAB_LAB_PROCESS_H_

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace shelflab {

class Process {
 public:
  Process() = default;
  // Throws std::system_error if it cannot be started. Its standard output and error go to
  // `log_path`, appended; an empty path leaves them as they are. It gets a process group of its
  // own, so that Ctrl-C at the terminal reaches only the lab, which ends it in order. Must be
  // called on a thread that lives as long as the child should.
  Process(const std::vector<std::string>& command, const std::map<std::string, std::string>& env,
          const std::string& log_path);
  Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}
  Process& operator=(Process&& other) noexcept;
  ~Process() { Kill(); }

  bool running();
  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  // Ends it at once and waits for that.
  void Kill();
  // Its status once it has ended, as waitpid tells it.
  std::optional<int> Ended();

 private:
  pid_t pid_ = -1;
};

struct ProcessUse {
  double cpu_seconds = 0;  // User and system, since its start.
  double resident_kb = 0;
};
// Throws std::runtime_error if there is no such process.
ProcessUse UseOf(pid_t pid);

// The folder of this program's file, where its companions are built too.
std::string ProgramFolder();

}  // namespace shelflab

#endif  // SHELFLAB_LAB_PROCESS_H_
