// What befalls the processes of a fleet and the links between them: read from a file or drawn from
// a seed, and dealt to processes. Pure values; it knows no process, socket or clock.
//
// One seed is one script. What real processes make of it may differ from play to play.
#ifndef SHELFLINK_STORM_SCRIPT_H_
#define SHELFLINK_STORM_SCRIPT_H_

#include <cstdint>
#include <vector>

namespace storm {

using Micros = std::int64_t;
constexpr Micros kSecond = 1'000'000;

enum class Deed {
  kKill,       // SIGKILL to all of the share at one instant; started again after `lasts`.
  kTerminate,  // SIGTERM, SIGKILL when its time is over; started again after `lasts`.
  kStop,       // SIGSTOP, and SIGCONT after `lasts`.
  // Links between processes of the share and `to`, until `lasts` is over.
  kSilence,  // Nothing passes, nothing comes up.
  kDeaf,     // One way: nothing from `to` reaches the process.
  kMute,     // The other way: nothing of the process reaches `to`.
  kDelay,    // size: milliseconds more for each answer.
  kReset,    // Every connection is reset, once.
  // Links between processes only, whose messages are datagrams.
  kLose,     // size: share of the messages that are lost.
  kRepeat,   // size: share of them that come twice.
  kReorder,  // size: milliseconds by which each is late, drawn up to this.
  kSplit,    // The share and the others: nothing passes between the two.
  // The coordination store itself, until `lasts` is over.
  kStoreKill,     // SIGKILL; started again with what it had acknowledged.
  kStoreStop,     // SIGSTOP, and SIGCONT.
  kStoreLate,     // size: milliseconds from each effect to its answer.
  kStoreLose,     // size: share of the answers that never come, though their effect is there.
  kStoreDrop,     // Every watch is dropped, once.
  kStoreCompact,  // All that happened before is forgotten, once.
};
const char* WordOf(Deed deed);
bool OnLinks(Deed deed);
bool OnMessages(Deed deed);
bool OnStore(Deed deed);

// Who stands at the other end of a link.
// kStore: the coordination store; kDoors: the others' calls to the process.
enum class End { kNodes, kDiscovery, kPeers, kStore, kDoors };
const char* WordOf(End end);

// The list that a process is started with again.
enum class Memory {
  kLast,   // What it had last.
  kFirst,  // What there was at the beginning of the play.
  kNone
};
const char* WordOf(Memory memory);

// What has become of the folder in which a process remembers, when it starts again.
enum class Folder {
  kKept,
  kEmpty,
  kTorn,     // The file ends in its middle.
  kForeign,  // It is another process's.
  kGarbage   // It holds no database.
};
const char* WordOf(Folder folder);

struct Event {
  Deed deed = Deed::kKill;
  Micros at = 0;     // From when the load begins.
  Micros lasts = 0;  // Microseconds.
  double share = 1;  // Of the processes before the first tier.
  double size = 0;
  End to = End::kDiscovery;
  Memory memory = Memory::kLast;
  Folder folder = Folder::kKept;
  bool owner = false;  // To whoever owns maintenance then, in place of a share.
};

// What an operator asks of the fleet, through the door of some process.
struct Order {
  enum class Ask { kDrain, kRestart, kPause, kResume, kOff };
  Micros at = 0;
  Ask ask = Ask::kDrain;
  std::uint32_t at_once = 1;
  Micros back_within = 60 * kSecond;
};
const char* WordOf(Order::Ask ask);

struct Storm {
  bool present = false;
  bool state = false;               // Processes remember, each in a folder of its own.
  std::uint32_t peers = 0;          // That each process is told of; 0: none.
  Micros list_age = 300 * kSecond;  // Beyond which a list of theirs is not taken.
  Micros notice = kSecond;          // From a process's death until the front deals it nothing more.
  bool coordination = false;        // There is a coordination store, and all are members.
  bool folder_store = false;        // It is in a folder, not a process of its own.
  Micros ttl = 3 * kSecond;         // Of leases.
  std::vector<Event> events;
  std::vector<Order> orders;
};

// One deed to one process.
struct Deal {
  Micros at = 0;
  std::uint32_t process = 0;
  Event event;
};

// Who gets what, in the order of the times. The same storm, number of processes and seed give the
// same deals; at least one process has its part of every event.
std::vector<Deal> Compile(const Storm& storm, std::uint32_t processes, std::uint64_t seed);

// When the last of it is over: every process runs again and every link is whole.
Micros EndOf(const Storm& storm);

// As many events as that, the last of them in time for the fleet to be back; the same seed draws
// the same.
struct Drawing {
  Micros length = 20 * kSecond;
  std::uint32_t fewest = 2;
  std::uint32_t most = 5;
  bool peers = false;  // Processes have peers, and links between them are befallen too.
  // There is a coordination store and an order to all; deeds are to owners, the store and links to
  // it too.
  bool coordination = false;
};
Storm Draw(std::uint64_t seed, const Drawing& drawing);

}  // namespace storm

#endif  // SHELFLINK_STORM_SCRIPT_H_
