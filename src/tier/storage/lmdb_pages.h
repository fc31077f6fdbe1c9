// Whether an LMDB file that is shorter than it tells holds everything that was stored.
//
// LMDB counts each page that it gives out, and does not write one that is free again by the commit.
// Where those are the last pages, a whole file is shorter than its count. It is damaged only if a
// page that one of its trees refers to lies beyond its end; no other page is ever read.
#ifndef SHELFLINK_TIER_STORAGE_LMDB_PAGES_H_
#define SHELFLINK_TIER_STORAGE_LMDB_PAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace shelflink::storage {

// Follows the trees of the commit `transaction`, page by page with reads of the file, so that
// nothing beyond its end is touched. 0, MDB_CORRUPTED, or an error of the operating system.
int CheckPagesInUse(const std::string& file, std::size_t page_size, std::uint64_t transaction);

}  // namespace shelflink::storage

#endif  // SHELFLINK_TIER_STORAGE_LMDB_PAGES_H_
