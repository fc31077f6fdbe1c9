// Texts that differ from a proper one in one place, and the proper ones.
#ifndef TESTS_TIER_PROXY_MUTATIONS_H_
#define TESTS_TIER_PROXY_MUTATIONS_H_

#include <string>
#include <vector>

namespace proxy_test {

inline const std::string kRequestWithLength =
    "POST /keyed/a?q HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 0a0b\r\n"
    "Shelflink-Credential: key-1\r\nConnection: x-a\r\nX-A: b\r\nContent-Length: 9\r\n\r\n"
    "some body";
inline const std::string kRequestInChunks =
    "POST /post/a HTTP/1.1\r\nHost: a.example\r\nShelflink-Request-Id: 0a0b\r\n"
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

// Every text that differs from the given one in one place.
inline std::vector<std::string> Mutations(const std::string& text) {
  const std::string others(" \t\r\n:,;0a\0\x80", 11);
  std::vector<std::string> all;
  for (std::size_t at = 0; at < text.size(); ++at) {
    all.push_back(text.substr(0, at));
    all.push_back(text.substr(0, at) + text.substr(at + 1));
    all.push_back(text.substr(0, at) + text[at] + text.substr(at));
    for (const char other : others) {
      if (other == text[at]) continue;
      all.push_back(text.substr(0, at) + other + text.substr(at + 1));
      all.push_back(text.substr(0, at) + other + text.substr(at));
    }
  }
  // Each line left out, doubled, or exchanged with the next.
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = text.find('\n', start);
    if (end == text.npos) break;
    const std::string line = text.substr(start, end + 1 - start);
    all.push_back(text.substr(0, start) + text.substr(end + 1));
    all.push_back(text.substr(0, start) + line + line + text.substr(end + 1));
    const std::size_t next = text.find('\n', end + 1);
    if (next != text.npos) {
      all.push_back(text.substr(0, start) + text.substr(end + 1, next - end) + line +
                    text.substr(next + 1));
    }
    start = end + 1;
  }
  return all;
}

inline std::string Shown(const std::string& text) {
  std::string shown;
  for (const char c : text) {
    if (c == '\r') {
      shown += "\\r";
    } else if (c == '\n') {
      shown += "\\n";
    } else {
      shown += static_cast<unsigned char>(c) < 0x20 || c == 0x7f ? '?' : c;
    }
  }
  return shown;
}

}  // namespace proxy_test

#endif  // TESTS_TIER_PROXY_MUTATIONS_H_
