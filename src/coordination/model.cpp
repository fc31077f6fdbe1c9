#include "coordination/model.h"

#include <algorithm>

namespace coordination {
namespace {

bool Covers(const Range& range, const std::string& key) {
  if (range.end.empty()) return key == range.key;
  if (key < range.key) return false;
  return range.end == std::string(1, '\0') || key < range.end;
}

template <typename T>
bool Is(Compare::Is is, const T& has, const T& wanted) {
  switch (is) {
    case Compare::Is::kEqual:
      return has == wanted;
    case Compare::Is::kNotEqual:
      return has != wanted;
    case Compare::Is::kLess:
      return has < wanted;
    case Compare::Is::kGreater:
      break;
  }
  return has > wanted;
}

}  // namespace

bool Model::Holds(const Compare& c) const {
  const auto it = entries_.find(c.key);
  const Entry entry = it == entries_.end() ? Entry{} : it->second;
  switch (c.of) {
    case Compare::Of::kVersion:
      return Is(c.is, entry.version, c.number);
    case Compare::Of::kCreated:
      return Is(c.is, entry.created, c.number);
    case Compare::Of::kModified:
      return Is(c.is, entry.modified, c.number);
    case Compare::Of::kLease:
      return Is(c.is, entry.lease, c.number);
    case Compare::Of::kValue:
      break;
  }
  return Is(c.is, entry.value, c.value);
}

void Model::Check(const std::vector<Operation>& operations) const {
  std::set<std::string> put;
  for (const Operation& o : operations) {
    if (o.what != Operation::What::kPut) continue;
    if (o.lease != 0 && leases_.count(o.lease) == 0) throw Refused("requested lease not found");
    if (!put.insert(o.range.key).second) throw Refused("duplicate key given in txn request");
  }
}

Done Model::Apply(const Txn& txn) {
  Done done;
  done.succeeded = std::all_of(txn.compares.begin(), txn.compares.end(),
                               [&](const Compare& c) { return Holds(c); });
  const auto& operations = done.succeeded ? txn.then : txn.otherwise;
  Check(operations);
  // All that one transaction changes bears one revision, and it counts only if it changes
  // something.
  const std::size_t before = events_.size();
  ++revision_;
  for (const Operation& o : operations) {
    std::vector<Entry>& found = done.found.emplace_back();
    if (o.what == Operation::What::kPut) Put(o);
    if (o.what == Operation::What::kDelete) found = Delete(o.range);
    if (o.what == Operation::What::kRange) found = Get(o.range);
  }
  if (events_.size() == before) --revision_;
  done.revision = revision_;
  return done;
}

void Model::Put(const Operation& o) {
  Entry& entry = entries_[o.range.key];
  if (entry.version == 0) {
    entry.key = o.range.key;
    entry.created = revision_;
  }
  Detach(entry);
  entry.value = o.value;
  entry.modified = revision_;
  ++entry.version;
  entry.lease = o.lease;
  if (o.lease != 0) leases_.at(o.lease).keys.insert(entry.key);
  events_.emplace_back(revision_, Event{false, entry});
}

std::vector<Entry> Model::Delete(const Range& range) {
  std::vector<Entry> gone = Get(range);
  for (const Entry& entry : gone) {
    Detach(entry);
    entries_.erase(entry.key);
    Entry last;
    last.key = entry.key;
    last.modified = revision_;
    events_.emplace_back(revision_, Event{true, last});
  }
  return gone;
}

void Model::Detach(const Entry& entry) {
  const auto it = leases_.find(entry.lease);
  if (it != leases_.end()) it->second.keys.erase(entry.key);
}

std::vector<Entry> Model::Get(const Range& range) const {
  std::vector<Entry> found;
  for (auto it = entries_.lower_bound(range.key); it != entries_.end(); ++it) {
    if (!Covers(range, it->first)) break;
    found.push_back(it->second);
  }
  return found;
}

LeaseId Model::Grant(Micros now, Micros ttl, LeaseId id) {
  if (ttl <= 0) throw Refused("expected a time to live above 0");
  if (id == 0) {
    do {
      id = ++last_lease_;
    } while (leases_.count(id) != 0);
  }
  if (!leases_.emplace(id, Lease{ttl, now + ttl, {}}).second) throw Refused("lease already exists");
  return id;
}

std::optional<Micros> Model::KeepAlive(Micros now, LeaseId lease) {
  Advance(now);
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return std::nullopt;
  it->second.until = now + it->second.ttl;
  return it->second.ttl;
}

bool Model::Revoke(LeaseId lease) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return false;
  const std::set<std::string> keys = it->second.keys;
  if (!keys.empty()) ++revision_;
  for (const std::string& key : keys) Delete({key});
  leases_.erase(lease);
  return true;
}

std::vector<LeaseId> Model::RunOut(Micros now) const {
  std::vector<LeaseId> out;
  for (const auto& [id, lease] : leases_) {
    if (lease.until <= now) out.push_back(id);
  }
  return out;
}

void Model::Advance(Micros now) {
  for (const LeaseId id : RunOut(now)) Revoke(id);
}

Micros Model::next() const {
  Micros next = std::numeric_limits<Micros>::max();
  for (const auto& [id, lease] : leases_) next = std::min(next, lease.until);
  return next;
}

void Model::Resume(Micros now) {
  for (auto& [id, lease] : leases_) lease.until = now + lease.ttl;
}

std::optional<std::vector<Event>> Model::Since(Revision from, const Range& range) const {
  if (from <= compacted_) return std::nullopt;
  std::vector<Event> events;
  for (const auto& [revision, event] : events_) {
    if (revision >= from && Covers(range, event.entry.key)) events.push_back(event);
  }
  return events;
}

void Model::Compact(Revision revision) {
  if (revision > revision_) throw Refused("required revision is a future revision");
  if (revision <= compacted_) throw Refused("required revision has been compacted");
  compacted_ = revision;
  std::erase_if(events_, [&](const auto& e) { return e.first <= revision; });
}

Model::Image Model::image() const {
  Image image{revision_, compacted_, last_lease_, {}, {}, events_};
  for (const auto& [key, entry] : entries_) image.entries.push_back(entry);
  for (const auto& [id, lease] : leases_) image.leases.push_back({id, lease.ttl, lease.until});
  return image;
}

Model::Model(const Image& image)
    : revision_(image.revision),
      compacted_(image.compacted),
      last_lease_(image.last_lease),
      events_(image.events) {
  for (const Held& held : image.leases) leases_[held.id] = {held.ttl, held.until, {}};
  for (const Entry& entry : image.entries) {
    entries_[entry.key] = entry;
    const auto lease = leases_.find(entry.lease);
    if (lease != leases_.end()) lease->second.keys.insert(entry.key);
  }
}

Revision Model::OldestOf(std::size_t last) const {
  return events_.size() <= last ? 0 : events_[events_.size() - last].first;
}

std::string Model::Words() const {
  std::string words = "at " + std::to_string(revision_);
  for (const auto& [key, e] : entries_) {
    words +=
        ' ' + key + '=' + e.value + '@' + std::to_string(e.created) + '/' + std::to_string(e.lease);
  }
  for (const auto& [id, lease] : leases_) {
    words += " lease " + std::to_string(id) + " until " + std::to_string(lease.until);
  }
  return words;
}

}  // namespace coordination
