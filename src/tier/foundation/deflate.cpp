#include "tier/foundation/deflate.h"

#include <zlib.h>

#include <algorithm>
#include <memory>

namespace shelflink {
namespace {

// Of what zlib offers the fastest: a core process has a third of a core.
constexpr int kLevel = Z_BEST_SPEED;
constexpr std::size_t kGrowth = 4;  // What is guessed for a stream, and by how much the room grows.
constexpr std::size_t kLeastRoom = 1024;

struct InflateEnd {
  void operator()(z_stream* stream) const { inflateEnd(stream); }
};

Error Malformed() { return MakeError(ErrorCode::kInvalid, "malformed compressed body"); }

}  // namespace

std::string Deflate(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string out(size, '\0');
  // It fails for want of memory alone, and then the process ends like for any other want of it.
  const int outcome = compress2(reinterpret_cast<Bytef*>(out.data()), &size,
                                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), kLevel);
  if (outcome != Z_OK) throw std::bad_alloc();
  out.resize(size);
  out.shrink_to_fit();
  return out;
}

Result<std::string> Inflate(std::string_view bytes, std::size_t most) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) throw std::bad_alloc();
  const std::unique_ptr<z_stream, InflateEnd> end(&stream);
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  int outcome = Z_OK;
  while (outcome == Z_OK) {
    const std::size_t filled = out.size();
    if (filled > most) return MakeError(ErrorCode::kTooLarge, "a compressed body is too long");
    // One byte beyond the bound tells that there is more.
    out.resize(
        std::min(most + 1, std::max({kLeastRoom, kGrowth * bytes.size(), kGrowth * filled})));
    stream.next_out = reinterpret_cast<Bytef*>(out.data() + filled);
    stream.avail_out = static_cast<uInt>(out.size() - filled);
    outcome = inflate(&stream, Z_NO_FLUSH);
    out.resize(out.size() - stream.avail_out);
    // Nothing more comes, and the stream has not ended.
    if (outcome == Z_OK && stream.avail_in == 0 && stream.avail_out > 0) return Malformed();
  }
  if (outcome != Z_STREAM_END || stream.avail_in > 0) return Malformed();
  if (out.size() > most) return MakeError(ErrorCode::kTooLarge, "a compressed body is too long");
  return out;
}

}  // namespace shelflink
