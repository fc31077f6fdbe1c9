// Prints what batch jobs cost a sidecar in processor time, memory and bytes. No test: run by hand,
// from a Release build; the figures stand in docs/measured/batch-sidecar.md.
#include <sys/resource.h>

#include <cstdio>
#include <ctime>
#include <memory>
#include <string>

#include "batch/leasing_store.h"
#include "batch/scripted_calls.h"
#include "tier/batch/job_json.h"
#include "tier/batch/runner.h"

namespace shelflink::batch {
namespace {

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

long PeakKilobytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

std::shared_ptr<configuration::Configuration> OneRoute() {
  auto configuration = std::make_shared<configuration::Configuration>();
  configuration::Route route;
  route.name = "r-jobs";
  route.hostname = "lots.example";
  route.path_prefix = "/jobs/";
  route.kind = configuration::RouteKind::kBatch;
  route.split = {{"captions", 1.0}};
  configuration->routes = {route};
  configuration->Index();
  return configuration;
}

std::string JobText(int items, std::size_t body) {
  std::string text = R"({"requests":[)";
  for (int i = 0; i < items; ++i) {
    const std::string number = std::to_string(i);
    text += (i == 0 ? "" : ",") + (R"({"id":"i-)" + number) + R"(","path":"/jobs/)" + number +
            R"(","headers":{"Shelflink-Model":"m","Shelflink-Token-Count":"540,400"},"body":")" +
            std::string(body, 'A') + R"(","tokens":940})";
  }
  return text + "]}";
}

void MeasureSubmissions() {
  struct Size {
    int items;
    std::size_t body;  // Bytes of base64 an item.
    int rounds;
  };
  const auto configuration = OneRoute();
  for (const Size& size : {Size{40, 4096, 500}, Size{200, 20'000, 20}, Size{1, 4'000'000, 20}}) {
    const std::string text = JobText(size.items, size.body);
    const double before = ProcessorSeconds();
    for (int i = 0; i < size.rounds; ++i) {
      Submit submit;
      submit.items =
          ParseSubmission(text, *configuration, configuration->routes[0], "lots.example").value();
      Encode(submit);
    }
    std::printf("submission of %d items, %zu bytes: %.2f ms to check and encode, peak %ld kB\n",
                size.items, text.size(), (ProcessorSeconds() - before) * 1000 / size.rounds,
                PeakKilobytes());
  }
}

Assign ItemOf(std::uint64_t number) {
  Assign assign;
  assign.item.job = {0, 1, "studio", "lots.example", "job"};
  assign.item.item = "i-" + std::to_string(number);
  assign.lease = {1, number};
  assign.route = "r-jobs";
  assign.path = "/jobs/1";
  assign.headers = {{"Shelflink-Model", "m"}, {"Shelflink-Token-Count", "540,400"}};
  assign.body.assign(3000, 'x');
  return assign;
}

void AnswerAll(ScriptedCalls& calls) {
  while (!calls.open.empty()) {
    const policy::CallId call = calls.open.begin()->first;
    calls.Send(call);
    calls.Head(call, 200);
    for (std::uint64_t id = 1; id <= 32; ++id) calls.Event(call, id, std::string(30, 't'));
    calls.Complete(call);
  }
  calls.started.clear();
}

void MeasureRuns() {
  constexpr std::uint64_t kItems = 20'000;
  constexpr std::uint64_t kAtOnce = 50;
  net::VirtualNet net(1);
  Node proxy(net, 0, "proxy");
  LeasingStore store(net, 1);
  ScriptedCalls calls;
  cluster::View view;
  view.configuration = OneRoute();
  view.placement = PlacementOf({store.address()}, 1);
  Runner runner(
      proxy.process, *proxy.hub, calls, [&]() -> const cluster::View& { return view; }, Bounds());
  double before = ProcessorSeconds();
  net.RunUntil(net.Now() + std::chrono::seconds(1000));
  std::printf("idle: %.1f us an offer, both ends\n",
              (ProcessorSeconds() - before) * 1e6 / static_cast<double>(store.Count(kOffer)));
  before = ProcessorSeconds();
  for (std::uint64_t number = 1; number <= kItems; ++number) {
    store.Give(proxy.address(), ItemOf(number));
    if (number % kAtOnce != 0) continue;
    net.RunUntil(net.Now() + milliseconds(20));
    AnswerAll(calls);
    net.RunUntil(net.Now() + milliseconds(20));
    store.finished.clear();
    store.questions.clear();
  }
  const double spent = ProcessorSeconds() - before;
  const auto done = static_cast<double>(runner.counters().completed);
  std::printf(
      "%.0f items: %.1f us an item of 3 kB and 32 events, both ends; %.0f bytes to the store "
      "an item; peak %ld kB\n",
      done, spent * 1e6 / done, static_cast<double>(proxy.hub->counters().bytes_out) / done,
      PeakKilobytes());
  net.Clear();
}

}  // namespace
}  // namespace shelflink::batch

int main() {
  shelflink::batch::MeasureSubmissions();
  shelflink::batch::MeasureRuns();
  return 0;
}
