// Frames that a store gets from others about a partition: of a disk that no row names, of an older
// epoch, about what is not kept here, or unreadable. Each is dropped and counted by its cause, and
// changes nothing.
#define BOOST_TEST_MODULE peer_frames
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "batch/store_world.h"
#include "tier/batch/replica_frame.h"

namespace shelflink::batch {
namespace {

constexpr std::uint32_t kHost = 0x0a000101;
constexpr std::uint32_t kPeerHost = 0x0a000102;
constexpr const char* kBackup = "backup";

// One store that leads one partition, with a backup whose frames the test writes.
struct Scene {
  Scene() {
    replicas.SetEvents({[this](std::uint32_t, PartitionLog& led) { log = &led; },
                        [this](std::uint32_t) { log = nullptr; }});
    Run(seconds(1));
    Place(1, kBackup);
    BOOST_REQUIRE(log != nullptr);
    BOOST_REQUIRE(log->has_room());
  }
  ~Scene() {
    here.Kill();
    there.Kill();
    net.Clear();
  }

  using seconds = std::chrono::seconds;

  void Run(net::Span span) { net.RunUntil(net.Now() + span); }
  // The row of that epoch, with that backup.
  void Place(std::uint64_t epoch, const std::string& backup) {
    cluster::PartitionRow row;
    row.epoch = epoch;
    row.primary = hub.self().address;
    row.primary_disk = identity.id;
    row.backups = {peer.self().address};
    row.backup_disks = {backup};
    row.complete = {false};
    replicas.OnPlacement({{1, epoch}, {row}});
    Run(seconds(3));  // A row with a joiner is acted in after a pause.
  }
  ReplicaFrame FrameOf(const std::string& sender, std::uint64_t epoch) const {
    ReplicaFrame frame;
    frame.epoch = ReplicaEpoch(epoch, 0);
    frame.disk = sender;
    return frame;
  }
  void Send(std::string body) {
    peer.Send(hub.self().address, kReplicate, std::move(body));
    Run(milliseconds(100));
  }
  void Send(const ReplicaFrame& frame) { Send(Encode(frame)); }
  std::uint64_t dropped(const std::string& cause) const {
    const auto found = replicas.dropped().find(cause);
    return found == replicas.dropped().end() ? 0 : found->second;
  }

  net::Span lease_left = seconds(60);
  net::VirtualNet net{1};
  net::VirtualProcess here{net, kHost, "store", 200};
  net::VirtualProcess there{net, kPeerHost, "peer", 200};
  transport::Hub hub{here, {"store", "store", "zone", net::Address::V4(kHost, kStorePort), 1}, {}};
  transport::Hub peer{
      there, {"peer", "store", "zone", net::Address::V4(kPeerHost, kStorePort), 1}, {}};
  Later later{here};
  storage::CrashDisk disk;
  storage::CrashStorage storage{
      disk, [this](std::function<void()> step) { later.Run(kSyncTakes, std::move(step)); }};
  storage::DiskIdentity identity = storage::ReadOrDrawIdentity(storage, [] { return 7U; });
  ReplicaHost replicas{
      here,
      hub,
      storage,
      HostOptionsOf(identity.id, 1),
      {[this] { return net.Now() + lease_left; }, [](const cluster::BackupReport&) {}}};
  PartitionLog* log = nullptr;
};

BOOST_FIXTURE_TEST_SUITE(peer_frames, Scene)

BOOST_AUTO_TEST_CASE(a_disk_that_no_row_names_changes_nothing) {
  ReplicaFrame frame = FrameOf("stranger", 1);
  frame.has_room = false;
  Send(frame);
  BOOST_TEST(dropped("unnamed_disk") == 1U);
  BOOST_TEST(log->has_room());
  BOOST_TEST(log->serving());
}

BOOST_AUTO_TEST_CASE(an_older_epoch_changes_nothing) {
  Place(2, kBackup);
  ReplicaFrame frame = FrameOf(kBackup, 1);
  frame.has_room = false;
  Send(frame);
  BOOST_TEST(dropped("older_epoch") == 1U);
  BOOST_TEST(log->has_room());
  BOOST_TEST(log->serving());
}

// Another store may lead its rows by then.
BOOST_AUTO_TEST_CASE(a_store_whose_lease_has_run_out_decides_nothing) {
  BOOST_TEST(log->serving());
  lease_left = net::Span();
  BOOST_TEST(!log->serving());
  lease_left = milliseconds(1);
  BOOST_TEST(log->serving());
}

BOOST_AUTO_TEST_CASE(a_partition_that_is_not_kept_here_is_told_apart) {
  ReplicaFrame frame = FrameOf(kBackup, 1);
  frame.partition = 7;
  Send(frame);
  BOOST_TEST(dropped("not_hosted") == 1U);
}

BOOST_AUTO_TEST_CASE(a_frame_cut_at_any_byte_is_malformed) {
  const std::string whole = Encode(FrameOf(kBackup, 1));
  for (std::size_t length = 0; length < whole.size(); ++length) Send(whole.substr(0, length));
  BOOST_TEST(dropped("malformed") == whole.size());
  BOOST_TEST(log->serving());
}

// The backup that was full has left: new jobs are taken again.
BOOST_AUTO_TEST_CASE(a_full_disk_counts_only_as_long_as_it_is_named) {
  ReplicaFrame frame = FrameOf(kBackup, 1);
  frame.has_room = false;
  Send(frame);
  BOOST_TEST(!log->has_room());
  Place(2, "another");
  BOOST_REQUIRE(log != nullptr);
  BOOST_TEST(log->has_room());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace shelflink::batch
