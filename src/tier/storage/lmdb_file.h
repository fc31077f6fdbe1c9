// The file of an LMDB storage, while no environment has it open. Functions return 0 or an error
// code, of the operating system or of LMDB.
#ifndef SHELFLINK_TIER_STORAGE_LMDB_FILE_H_
#define SHELFLINK_TIER_STORAGE_LMDB_FILE_H_

#include <cstdint>
#include <string>

#include "tier/storage/failure.h"

namespace shelflink::storage {

// Of an LMDB error code or one of the operating system.
Failure FailureOfCode(int code);

// Writes and syncs a small plain file in the folder and removes it: costs little while the disk is
// full, and touches nothing that is stored.
int ProveRoom(const std::string& folder);

// Makes the folder and an empty file where they are missing. The file appears whole or not at all,
// so that one whose making ran out of room is never taken for a damaged one.
int MakeFile(const std::string& folder, std::uint64_t bytes_limit);

// What is read next comes from the disk: pages whose sync has failed may stand in the system's
// cache as if they had been written.
void DropCachedPages(const std::string& folder);

// Renames the folder to `folder`.damaged, in place of an older one.
int SetAside(const std::string& folder);

}  // namespace shelflink::storage

#endif  // SHELFLINK_TIER_STORAGE_LMDB_FILE_H_
