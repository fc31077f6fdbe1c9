#include "tier/storage/lmdb_pages.h"

#include <lmdb.h>

#include <bit>
#include <cerrno>
#include <cstring>
#include <vector>

#include "tier/storage/descriptor.h"

namespace shelflink::storage {

namespace {

// The file format of LMDB 0.9 (version 1 in its meta pages), for machines of 64 bits that put the
// lowest byte first.
static_assert(sizeof(std::size_t) == 8 && std::endian::native == std::endian::little);

constexpr std::size_t kMetaPages = 2;
constexpr std::size_t kMostDepth = 32;
constexpr std::uint64_t kNoPage = ~std::uint64_t{0};
// Of a page: its number, padding, flags, then the ends of its free space.
constexpr std::size_t kPageFlagsAt = 10;
constexpr std::size_t kLowerEndAt = 12;
constexpr std::size_t kPageHeader = 16;
constexpr std::uint16_t kBranchPage = 0x01;
constexpr std::uint16_t kLeafPage = 0x02;
// Of a node: two halves of its size or its child, flags, the size of its key, the key.
constexpr std::size_t kHighHalfAt = 2;
constexpr std::size_t kNodeFlagsAt = 4;
constexpr std::size_t kKeySizeAt = 6;
constexpr std::size_t kNodeHeader = 8;
constexpr std::uint16_t kValueOnPagesOfItsOwn = 0x01;
// Of a meta page, behind the header: what tells the trees of free pages and of data.
constexpr std::size_t kTreesAt = kPageHeader + 24;
constexpr std::size_t kTreeSize = 48;
constexpr std::size_t kTrees = 2;
constexpr std::size_t kTransactionAt = kPageHeader + 128;
// Of what tells a tree.
constexpr std::size_t kDepthAt = 6;
constexpr std::size_t kRootAt = 40;

using Page = std::vector<char>;

// Zero beyond the end of the page: damage that is found by what it leads to.
template <typename Number>
Number NumberAt(const Page& page, std::size_t at) {
  Number number = 0;
  if (at + sizeof number <= page.size()) std::memcpy(&number, page.data() + at, sizeof number);
  return number;
}

class PageWalk {
 public:
  PageWalk(int file, std::uint64_t file_size, std::size_t page_size)
      : file_(file), page_size_(page_size), pages_(file_size / page_size) {}

  int CheckTreesOf(std::uint64_t transaction) {
    for (std::uint64_t number = 0; number < kMetaPages; ++number) {
      Page meta;
      if (const int code = Read(number, meta); code != 0) return code;
      if (NumberAt<std::uint64_t>(meta, kTransactionAt) == transaction) return CheckTreesIn(meta);
    }
    return MDB_CORRUPTED;
  }

 private:
  int CheckTreesIn(const Page& meta) {
    for (std::size_t tree = 0; tree < kTrees; ++tree) {
      const std::size_t at = kTreesAt + tree * kTreeSize;
      const auto root = NumberAt<std::uint64_t>(meta, at + kRootAt);
      const auto depth = NumberAt<std::uint16_t>(meta, at + kDepthAt);
      if (root == kNoPage) continue;
      if (depth == 0 || depth > kMostDepth) return MDB_CORRUPTED;
      if (const int code = CheckTree(root, depth); code != 0) return code;
    }
    return 0;
  }

  // `depth` counts the levels from this page down to the leaves.
  // NOLINTNEXTLINE(misc-no-recursion): no deeper than kMostDepth.
  int CheckTree(std::uint64_t number, std::size_t depth) {
    // More pages than the file has: they refer to each other in a circle.
    if (++pages_followed_ > pages_) return MDB_CORRUPTED;
    Page page;
    if (const int code = Read(number, page); code != 0) return code;
    const std::uint16_t expected = depth > 1 ? kBranchPage : kLeafPage;
    if ((NumberAt<std::uint16_t>(page, kPageFlagsAt) & expected) == 0) return MDB_CORRUPTED;
    const std::size_t end = NumberAt<std::uint16_t>(page, kLowerEndAt);
    for (std::size_t at = kPageHeader; at < end; at += sizeof(std::uint16_t)) {
      const std::size_t node = NumberAt<std::uint16_t>(page, at);
      const int code =
          depth > 1 ? CheckTree(ChildOf(page, node), depth - 1) : CheckValue(page, node);
      if (code != 0) return code;
    }
    return 0;
  }

  static std::uint64_t ChildOf(const Page& page, std::size_t node) {
    const std::uint64_t highest = NumberAt<std::uint16_t>(page, node + kNodeFlagsAt);
    return highest << 32U | LowHalvesOf(page, node);
  }

  // A large value lies on pages of its own, behind a page header; the node tells the first.
  int CheckValue(const Page& page, std::size_t node) const {
    const auto flags = NumberAt<std::uint16_t>(page, node + kNodeFlagsAt);
    if ((flags & kValueOnPagesOfItsOwn) == 0) return 0;
    const std::size_t key_size = NumberAt<std::uint16_t>(page, node + kKeySizeAt);
    const auto first = NumberAt<std::uint64_t>(page, node + kNodeHeader + key_size);
    const std::uint64_t bytes = kPageHeader + LowHalvesOf(page, node);
    const std::uint64_t count = (bytes + page_size_ - 1) / page_size_;
    return first < pages_ && count <= pages_ - first ? 0 : MDB_CORRUPTED;
  }

  static std::uint64_t LowHalvesOf(const Page& page, std::size_t node) {
    const std::uint64_t high = NumberAt<std::uint16_t>(page, node + kHighHalfAt);
    return high << 16U | NumberAt<std::uint16_t>(page, node);
  }

  int Read(std::uint64_t number, Page& page) const {
    if (number >= pages_) return MDB_CORRUPTED;
    page.resize(page_size_);
    const auto at = static_cast<off_t>(number * page_size_);
    const ssize_t count = ::pread(file_, page.data(), page_size_, at);
    if (count < 0) return errno;
    return static_cast<std::size_t>(count) == page_size_ ? 0 : MDB_CORRUPTED;
  }

  int file_;
  std::size_t page_size_;
  std::uint64_t pages_;  // That the file has whole.
  std::uint64_t pages_followed_ = 0;
};

}  // namespace

int CheckPagesInUse(const std::string& file, std::size_t page_size, std::uint64_t transaction) {
  const Descriptor opened(file, O_RDONLY);
  if (!opened.open()) return errno;
  struct stat status {};
  if (::fstat(opened.number(), &status) != 0) return errno;
  const auto size = static_cast<std::uint64_t>(status.st_size);
  return PageWalk(opened.number(), size, page_size).CheckTreesOf(transaction);
}

}  // namespace shelflink::storage
