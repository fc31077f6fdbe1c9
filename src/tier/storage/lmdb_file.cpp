#include "tier/storage/lmdb_file.h"

#include <lmdb.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <system_error>

#include "tier/storage/descriptor.h"

namespace shelflink::storage {

namespace {

namespace fs = std::filesystem;

constexpr std::size_t kProofBytes = 64U << 10;

std::string FileIn(const std::string& folder) { return folder + "/data.mdb"; }

int WriteAll(int descriptor, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::write(descriptor, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return errno;
    written += static_cast<std::size_t>(count);
  }
  return 0;
}

int WriteDurably(const std::string& path, const std::string& bytes) {
  const Descriptor file(path, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file.open()) return errno;
  if (const int code = WriteAll(file.number(), bytes); code != 0) return code;
  return ::fsync(file.number()) == 0 ? 0 : errno;
}

// Makes names that were made or renamed in a folder last.
int SyncFolder(const std::string& folder) {
  const Descriptor opened(folder, O_RDONLY | O_DIRECTORY);
  if (!opened.open()) return errno;
  return ::fsync(opened.number()) == 0 ? 0 : errno;
}

int MakeFolder(const std::string& folder) {
  std::error_code error;
  fs::create_directory(folder, error);
  return error.value();
}

// An environment without a table, closed again.
int WriteEmptyEnvironment(const std::string& path, std::uint64_t bytes_limit) {
  MDB_env* environment = nullptr;
  int code = mdb_env_create(&environment);
  if (code != 0) return code;
  code = mdb_env_set_mapsize(environment, bytes_limit);
  if (code == 0) {
    code =
        mdb_env_open(environment, path.c_str(), MDB_NOLOCK | MDB_NOSUBDIR, Descriptor::kFileMode);
  }
  if (code == 0) code = mdb_env_sync(environment, 1);
  mdb_env_close(environment);
  return code;
}

}  // namespace

Failure FailureOfCode(int code) {
  switch (code) {
    case MDB_MAP_FULL:
      return Failure::kFull;
    // Of an environment that must be opened again, not of its file.
    case MDB_PANIC:
    case MDB_BAD_TXN:
    case MDB_TXN_FULL:
      return Failure::kTransient;
    case MDB_INVALID:
    case MDB_VERSION_MISMATCH:
    case MDB_CORRUPTED:
    case MDB_PAGE_NOTFOUND:
    case MDB_INCOMPATIBLE:
      return Failure::kDamaged;
    default:
      return FailureOfErrno(code);
  }
}

int ProveRoom(const std::string& folder) {
  if (const int code = MakeFolder(folder); code != 0) return code;
  const std::string path = folder + "/room";
  const int code = WriteDurably(path, std::string(kProofBytes, 'r'));
  ::unlink(path.c_str());
  return code;
}

int MakeFile(const std::string& folder, std::uint64_t bytes_limit) {
  if (const int code = MakeFolder(folder); code != 0) return code;
  const std::string path = FileIn(folder);
  if (::access(path.c_str(), F_OK) == 0) return 0;
  if (errno != ENOENT) return errno;
  const std::string unfinished = path + ".new";
  ::unlink(unfinished.c_str());
  if (const int code = WriteEmptyEnvironment(unfinished, bytes_limit); code != 0) return code;
  if (::rename(unfinished.c_str(), path.c_str()) != 0) return errno;
  return SyncFolder(folder);
}

void DropCachedPages(const std::string& folder) {
  const Descriptor file(FileIn(folder), O_RDONLY);
  if (file.open()) ::posix_fadvise(file.number(), 0, 0, POSIX_FADV_DONTNEED);
}

int SetAside(const std::string& folder) {
  std::error_code error;
  const std::string aside = folder + ".damaged";
  fs::remove_all(aside, error);
  fs::rename(folder, aside, error);
  if (error) return error.value();
  const fs::path parent = fs::path(folder).parent_path();
  return SyncFolder(parent.empty() ? "." : parent.string());
}

}  // namespace shelflink::storage
