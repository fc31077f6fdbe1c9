// SQLite as the stores of this folder use it. A statement that cannot be made fails at
// its first step.
#ifndef SHELFLINK_STATE_SQLITE_H_
#define SHELFLINK_STATE_SQLITE_H_

#include <sqlite3.h>

#include <cstdint>
#include <string>

namespace state {

class Statement {
 public:
  Statement(sqlite3* db, const char* text) {
    ok_ = sqlite3_prepare_v2(db, text, -1, &statement_, nullptr) == SQLITE_OK;
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  bool ok() const { return ok_; }
  int Step() { return ok_ ? sqlite3_step(statement_) : SQLITE_ERROR; }
  void Bind(int at, const std::string& text) {
    sqlite3_bind_text64(statement_, at, text.data(), text.size(), SQLITE_STATIC, SQLITE_UTF8);
  }
  void Bind(int at, std::int64_t number) { sqlite3_bind_int64(statement_, at, number); }
  std::string Text(int column) {
    const void* bytes = sqlite3_column_blob(statement_, column);
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement_, column));
    return bytes == nullptr ? std::string() : std::string(static_cast<const char*>(bytes), size);
  }
  std::int64_t Number(int column) { return sqlite3_column_int64(statement_, column); }

 private:
  sqlite3_stmt* statement_ = nullptr;
  bool ok_ = false;
};

}  // namespace state

#endif  // SHELFLINK_STATE_SQLITE_H_
