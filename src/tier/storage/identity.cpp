#include "tier/storage/storage.h"

namespace shelflink::storage {

namespace {
constexpr char kIdentityKey[] = "identity";
}

DiskIdentity ReadOrDrawIdentity(Storage& storage, const std::function<std::uint64_t()>& random,
                                Batch beside) {
  if (const auto stored = storage.Get(kIdentityKey)) return {*stored, false};
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string id;
  std::uint64_t bits = random();
  for (int digit = 0; digit < 16; ++digit) {
    id += kDigits[bits & 15U];
    bits >>= 4U;
  }
  beside.Put(kIdentityKey, id);
  storage.Apply(beside);
  return {id, true};
}

}  // namespace shelflink::storage
