#include "lab/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>

namespace shelflab {
namespace {

std::vector<char*> Pointers(std::vector<std::string>& words) {
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& w : words) pointers.push_back(w.data());
  pointers.push_back(nullptr);
  return pointers;
}

std::vector<std::string> Environment(const std::map<std::string, std::string>& more) {
  std::vector<std::string> all;
  for (char** e = environ; *e != nullptr; ++e) {
    const std::string entry = *e;
    if (more.count(entry.substr(0, entry.find('='))) == 0) all.push_back(entry);
  }
  for (const auto& [name, value] : more) {
    std::string entry = name;
    entry += '=';
    entry += value;
    all.push_back(std::move(entry));
  }
  return all;
}

}  // namespace

Process::Process(const std::vector<std::string>& command,
                 const std::map<std::string, std::string>& env, const std::string& log_path) {
  // All that allocates comes before the fork: other threads may hold the allocator's locks.
  std::vector<std::string> words = command;
  std::vector<std::string> entries = Environment(env);
  const std::vector<char*> argv = Pointers(words);
  const std::vector<char*> envp = Pointers(entries);
  const int log = log_path.empty()
                      ? -1
                      : ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    ::setpgid(0, 0);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    if (log >= 0) {
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
    }
    ::close_range(3, ~0U, 0);
    ::execve(argv[0], argv.data(), envp.data());
    ::_exit(127);
  }
  if (log >= 0) ::close(log);
}

Process& Process::operator=(Process&& other) noexcept {
  if (this != &other) {
    Kill();
    pid_ = std::exchange(other.pid_, -1);
  }
  return *this;
}

std::optional<int> Process::Ended() {
  if (pid_ <= 0) return 0;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = -1;
  return status;
}

bool Process::running() { return pid_ > 0 && !Ended(); }

void Process::Signal(int signal) const {
  if (pid_ > 0) ::kill(pid_, signal);
}

void Process::Kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  int status = 0;
  while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  pid_ = -1;
}

ProcessUse UseOf(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  const std::size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) {
    throw std::runtime_error("process " + std::to_string(pid) + " is gone");
  }
  // Fields 14 and 15 are the times, 24 the resident pages (proc(5)); after the name comes field 3.
  std::istringstream fields(text.substr(name_end + 2));
  std::vector<std::string> words;
  for (std::string word; fields >> word;) words.push_back(word);
  const auto field = [&](std::size_t n) { return std::strtod(words.at(n - 3).c_str(), nullptr); };
  const double tick = static_cast<double>(::sysconf(_SC_CLK_TCK));
  const double page = static_cast<double>(::sysconf(_SC_PAGESIZE));
  return {(field(14) + field(15)) / tick, field(24) * page / 1024};
}

std::string ProgramFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

}  // namespace shelflab
