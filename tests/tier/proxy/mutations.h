// Valid requests and their mutations: texts that differ from a valid one in one place.
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

// Mutations of `text`: each cut, each byte deleted, doubled, replaced or preceded by another byte,
// and each line deleted, doubled or swapped with the next.
inline std::vector<std::string> Mutations(const std::string& text) {
  const std::string replacements(" \t\r\n:,;0a\0\x80", 11);
  std::vector<std::string> mutations;
  for (std::size_t position = 0; position < text.size(); ++position) {
    mutations.push_back(text.substr(0, position));
    mutations.push_back(text.substr(0, position) + text.substr(position + 1));
    mutations.push_back(text.substr(0, position) + text[position] + text.substr(position));
    for (const char replacement : replacements) {
      if (replacement == text[position]) continue;
      mutations.push_back(text.substr(0, position) + replacement + text.substr(position + 1));
      mutations.push_back(text.substr(0, position) + replacement + text.substr(position));
    }
  }
  // Each line deleted, doubled, or swapped with the next.
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = text.find('\n', start);
    if (end == text.npos) break;
    const std::string line = text.substr(start, end + 1 - start);
    mutations.push_back(text.substr(0, start) + text.substr(end + 1));
    mutations.push_back(text.substr(0, start) + line + line + text.substr(end + 1));
    const std::size_t next = text.find('\n', end + 1);
    if (next != text.npos) {
      mutations.push_back(text.substr(0, start) + text.substr(end + 1, next - end) + line +
                          text.substr(next + 1));
    }
    start = end + 1;
  }
  return mutations;
}

// `text` with control characters made visible.
inline std::string Printable(const std::string& text) {
  std::string printable;
  for (const char c : text) {
    if (c == '\r') {
      printable += "\\r";
    } else if (c == '\n') {
      printable += "\\n";
    } else {
      printable += static_cast<unsigned char>(c) < 0x20 || c == 0x7f ? '?' : c;
    }
  }
  return printable;
}

}  // namespace proxy_test

#endif  // TESTS_TIER_PROXY_MUTATIONS_H_
