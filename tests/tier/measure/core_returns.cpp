#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include "measure/loads.h"
#include "measure/tables.h"
#include "tier/coordination/record.h"

namespace shelflink::measure {
namespace {

using coordination::Contents;
using coordination::FindDisk;
using coordination::Record;
using coordination::Write;
using tier_seeds::CoreMachine;

constexpr milliseconds kShortestFull{4000};
constexpr std::uint64_t kSpread =
    1000;  // Milliseconds more, at most: all phases of the looks for room.
constexpr seconds kLongestReturn{60};
constexpr std::size_t kPiece = 64U << 10;
constexpr std::size_t kPiecesAtOnce = 4;
constexpr std::size_t kMegabyte = 1U << 20;
constexpr std::array<std::size_t, 4> kMegabytes{0, 1, 8, 25};

enum class Which { kOne, kInTurn, kAll };

const char* NameOf(Which which) {
  switch (which) {
    case Which::kOne:
      return "one";
    case Which::kInTurn:
      return "two, the second full as the first has room";
    case Which::kAll:
      break;
  }
  return "all at once";
}

struct Figures {
  Samples takes_writes;  // From the room's return.
  Samples named;         // Replica and witness of the newest record, and whole.
};

// One core disk on its way back.
struct Return {
  CoreMachine* machine = nullptr;
  std::string disk;
  std::optional<net::Time> room_at;
  bool takes_writes = false;
  bool named = false;
};

bool IsNamed(MeasuredTier& tier, const Return& one) {
  CoreMachine* const primary = tier.Primary();
  if (primary == nullptr || one.machine->group().failed()) return false;
  const Record& record = primary->group().member().record();
  return FindDisk(record.replicas, one.disk) != nullptr &&
         FindDisk(record.witnesses, one.disk) != nullptr &&
         one.machine->group().member().replica().complete();
}

milliseconds FullOf(std::uint64_t seed) {
  return kShortestFull + milliseconds(seed * 137 % kSpread);
}

class Run {
 public:
  Run(const Wanted& wanted, std::size_t megabytes, std::uint64_t seed)
      : tier_(SizeOf(wanted, seed)) {
    Fill(megabytes);
    for (auto& core : tier_.cores) {
      returns_.push_back({core.get(), core->group().member().options().self.disk, {}});
    }
    tier_.changer().Every(milliseconds(250), 0);
    tier_.Run(seconds(1));
  }

  void Play(Which which, std::uint64_t seed, Figures& figures) {
    const milliseconds full = FullOf(seed);
    const std::size_t first = seed % returns_.size();
    const std::size_t second = (first + 1) % returns_.size();
    if (which == Which::kAll) {
      for (Return& one : returns_) one.machine->FillDisk(0);
      tier_.Run(full);
      for (Return& one : returns_) GiveRoom(one);
    } else {
      returns_[first].machine->FillDisk(0);
      tier_.Run(full);
      GiveRoom(returns_[first]);
      if (which == Which::kInTurn) {
        const net::Time until = tier_.now() + full;
        returns_[second].machine->FillDisk(0);
        Await(full, figures);
        if (tier_.now() < until) tier_.Run(until - tier_.now());
        GiveRoom(returns_[second]);
      }
    }
    Await(kLongestReturn, figures);
    for (const Return& one : returns_) {
      if (one.room_at && !one.named) figures.named.AddMissing();
    }
  }

 private:
  static TierSize SizeOf(const Wanted& wanted, std::uint64_t seed) {
    TierSize size;
    size.seed = seed;
    size.proxies = 1;
    size.megabits_per_second = wanted.megabits_per_second;
    return size;
  }

  void Fill(std::size_t megabytes) {
    const std::size_t pieces = megabytes * kMegabyte / kPiece;
    for (std::size_t piece = 0; piece < pieces; piece += kPiecesAtOnce) PutPieces(piece);
  }
  void PutPieces(std::size_t first) {
    CoreMachine* const primary = tier_.Primary();
    std::optional<bool> stored;
    primary->group().Submit(
        [first](const Contents&) -> Result<std::vector<Write>> {
          std::vector<Write> writes;
          for (std::size_t piece = first; piece < first + kPiecesAtOnce; ++piece) {
            writes.push_back({"filler/" + std::to_string(1000 + piece),
                              std::string(kPiece, static_cast<char>('a' + piece % 26))});
          }
          return writes;
        },
        [&stored](const Result<void>& result) { stored = result.has_value(); });
    tier_.RunUntil([&] { return stored.has_value(); }, seconds(10));
    if (!stored.value_or(false)) throw std::runtime_error("the state is not stored");
  }

  void GiveRoom(Return& one) {
    one.machine->EmptyDisk();
    one.room_at = tier_.now();
  }
  // False while one has room and is not back.
  bool Look(Figures& figures) {
    bool all = true;
    for (Return& one : returns_) {
      if (!one.room_at) continue;
      if (!one.takes_writes && !one.machine->group().failed()) {
        one.takes_writes = true;
        figures.takes_writes.Add(tier_.now() - *one.room_at);
      }
      if (!one.named && IsNamed(tier_, one)) {
        one.named = true;
        figures.named.Add(tier_.now() - *one.room_at);
      }
      all = all && one.named;
    }
    return all;
  }
  void Await(net::Span most, Figures& figures) {
    tier_.RunUntil([&] { return Look(figures); }, most);
  }

  MeasuredTier tier_;
  std::vector<Return> returns_;
};

}  // namespace

void PrintCoreReturns(const Wanted& wanted) {
  std::printf(
      "3 core disks, %.0f Mbit/s a machine, full for 4 to 5 s, 4 small changes a second, %zu "
      "seeds; ms from the room's return\n\n",
      wanted.megabits_per_second, static_cast<std::size_t>(wanted.seeds));
  std::printf(
      "| state | disks full | returns | takes writes, median | most | replica and witness "
      "again, median | most | never |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t megabytes : kMegabytes) {
    if (megabytes > wanted.most_megabytes) continue;
    for (const Which which : {Which::kOne, Which::kInTurn, Which::kAll}) {
      Figures figures;
      for (std::uint64_t seed = 1; seed <= wanted.seeds; ++seed) {
        Run(wanted, megabytes, seed).Play(which, seed, figures);
      }
      std::printf("| %zu MB | %s | %zu | %s | %s | %s | %s | %zu |\n", megabytes, NameOf(which),
                  figures.named.count() + figures.named.missing(),
                  figures.takes_writes.Median().c_str(), figures.takes_writes.Most().c_str(),
                  figures.named.Median().c_str(), figures.named.Most().c_str(),
                  figures.named.missing());
      std::fflush(stdout);
    }
  }
}

}  // namespace shelflink::measure
