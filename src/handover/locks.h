// The two locks of a hand-over as locked files in a folder that both processes share. What the
// files hold is never read or written: whatever an earlier process left there does no harm.
#ifndef SHELFLINK_HANDOVER_LOCKS_H_
#define SHELFLINK_HANDOVER_LOCKS_H_

#include <string>

#include "handover/presence.h"

namespace handover {

class FileLocks : public Locks {
 public:
  // Throws std::runtime_error naming the file that cannot be had.
  explicit FileLocks(const std::string& folder);
  ~FileLocks() override;
  FileLocks(const FileLocks&) = delete;
  FileLocks& operator=(const FileLocks&) = delete;

  bool TakeServing() override;
  bool TakeComing() override;
  void DropComing() override;

 private:
  class File {
   public:
    explicit File(const std::string& path);
    ~File();
    File(const File&) = delete;
    File& operator=(const File&) = delete;
    bool Take() const;
    void Drop() const;

   private:
    int descriptor_;
  };

  File serving_;
  File coming_;
};

}  // namespace handover

#endif  // SHELFLINK_HANDOVER_LOCKS_H_
