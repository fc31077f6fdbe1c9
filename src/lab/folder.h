// A folder for configurations and logs: the one named, or one of its own that goes with it.
#ifndef SHELFLAB_LAB_FOLDER_H_
#define SHELFLAB_LAB_FOLDER_H_

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <system_error>

namespace shelflab {

class Folder {
 public:
  // Throws std::runtime_error naming the folder if it cannot be made.
  explicit Folder(const std::string& named) : path_(named), own_(named.empty()) {
    if (own_) {
      path_ = (std::filesystem::temp_directory_path() / "shelflab.XXXXXX").string();
      if (::mkdtemp(path_.data()) == nullptr) throw std::runtime_error(path_ + ": cannot be made");
      return;
    }
    std::error_code ec;
    std::filesystem::create_directories(path_, ec);
    if (ec) throw std::runtime_error(path_ + ": cannot be made: " + ec.message());
  }
  ~Folder() {
    std::error_code ignored;
    if (own_) std::filesystem::remove_all(path_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  bool own_;
};

}  // namespace shelflab

#endif  // SHELFLAB_LAB_FOLDER_H_
