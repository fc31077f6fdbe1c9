// Measures the CPU time that the proxy needs per request, with the project's own connections and
// with libsoup: `tier_proxy_path_cost own|soup REQUESTS EVENTS [AT_ONCE]`. Clients and endpoint run
// in this process, the proxy in a child process whose CPU time is read from the system. Prints
// microseconds per request.
//
// The child `own` runs HttpFrontend and EndpointCalls on net::GlibLoop. `soup` is a minimal proxy
// with libsoup for comparison: it reads the complete request, forwards it, and forwards the
// response as it arrives. It checks no API key and no instance, resumes no streams and has no
// admission control.
#include <libsoup/soup.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "net/glib_loop.h"
#include "net/sockets.h"
#include "proxy/proxy_fixture.h"

namespace {

using std::chrono::milliseconds;

constexpr int kDefaultConcurrency = 20;       // Requests in flight without AT_ONCE.
constexpr auto kEventGap = milliseconds(10);  // Between the events of one stream.

// ---- The proxy with the project's own connections ----

void SendPort(int pipe, std::uint16_t port) {
  if (::write(pipe, &port, sizeof(port)) != sizeof(port)) std::abort();
}

void RunOwn(int pipe, const net::Address& endpoint) {
  net::GlibLoop loop;
  kelpspring::Log log(loop, [](std::string_view) {});
  kelpspring::SocketBudget budget{500, 0, nullptr, nullptr};
  kelpspring::Drain drain;
  shelflink::proxy::EndpointCalls calls(loop, log, budget, {"proxy", "zone", 1, 300});
  shelflink::proxy::HttpFrontend front(loop, log, loop.Listen(*net::Address::Parse("127.0.0.1:0")),
                                       budget, drain, {calls, nullptr, nullptr}, milliseconds(8000),
                                       64 << 20);
  shelflink::cluster::View view;
  view.configuration = std::make_shared<const shelflink::configuration::Configuration>(
      proxy_test::SampleConfiguration());
  auto list = std::make_shared<shelflink::cluster::EndpointList>();
  shelflink::cluster::EndpointEntry entry;
  entry.id = "i-0";
  entry.service = "svc";
  entry.address = endpoint;
  entry.slots = 1000;
  list->entries.push_back(entry);
  view.endpoints = list;
  calls.OnView(view);
  front.SetConfiguration(view.configuration);
  SendPort(pipe, front.address().port());
  loop.Run();
}

// ---- The proxy with libsoup ----

struct SoupProxy {
  SoupSession* session = nullptr;
  std::string base;
};

struct SoupExchange {
  SoupServerMessage* message = nullptr;
  GInputStream* stream = nullptr;
};

void CopyHeader(const char* name, const char* value, gpointer headers) {
  const std::string lower = proxy_test::Lower(name);
  if (lower == "content-length" || lower == "transfer-encoding" || lower == "connection" ||
      lower == "keep-alive") {
    return;
  }
  soup_message_headers_append(static_cast<SoupMessageHeaders*>(headers), name, value);
}

void ReadMore(SoupExchange* exchange);

void OnSoupBytes(GObject*, GAsyncResult* result, gpointer data) {
  auto* exchange = static_cast<SoupExchange*>(data);
  GBytes* bytes = g_input_stream_read_bytes_finish(exchange->stream, result, nullptr);
  SoupMessageBody* body = soup_server_message_get_response_body(exchange->message);
  const bool complete = bytes == nullptr || g_bytes_get_size(bytes) == 0;
  complete ? soup_message_body_complete(body) : soup_message_body_append_bytes(body, bytes);
  if (bytes != nullptr) g_bytes_unref(bytes);
  soup_server_message_unpause(exchange->message);
  if (!complete) return ReadMore(exchange);
  g_object_unref(exchange->stream);
  g_object_unref(exchange->message);
  delete exchange;
}

void ReadMore(SoupExchange* exchange) {
  constexpr gsize kMaxReadBytes = 16384;
  g_input_stream_read_bytes_async(exchange->stream, kMaxReadBytes, G_PRIORITY_DEFAULT, nullptr,
                                  OnSoupBytes, exchange);
}

void OnSoupHead(GObject* session, GAsyncResult* result, gpointer data) {
  auto* exchange = static_cast<SoupExchange*>(data);
  SoupMessage* sent = soup_session_get_async_result_message(SOUP_SESSION(session), result);
  g_object_ref(sent);
  exchange->stream = soup_session_send_finish(SOUP_SESSION(session), result, nullptr);
  if (exchange->stream == nullptr) std::abort();
  soup_server_message_set_status(exchange->message, soup_message_get_status(sent), nullptr);
  SoupMessageHeaders* headers = soup_server_message_get_response_headers(exchange->message);
  soup_message_headers_foreach(soup_message_get_response_headers(sent), CopyHeader, headers);
  soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate(soup_server_message_get_response_body(exchange->message), FALSE);
  g_object_unref(sent);
  ReadMore(exchange);
}

void OnSoupRequest(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*,
                   gpointer data) {
  auto* proxy = static_cast<SoupProxy*>(data);
  SoupMessage* forwarded =
      soup_message_new(soup_server_message_get_method(message), (proxy->base + path).c_str());
  soup_message_headers_foreach(soup_server_message_get_request_headers(message), CopyHeader,
                               soup_message_get_request_headers(forwarded));
  GBytes* body = soup_message_body_flatten(soup_server_message_get_request_body(message));
  soup_message_set_request_body_from_bytes(forwarded, nullptr, body);
  g_bytes_unref(body);
  soup_server_message_pause(message);
  auto* exchange = new SoupExchange{SOUP_SERVER_MESSAGE(g_object_ref(message)), nullptr};
  soup_session_send_async(proxy->session, forwarded, G_PRIORITY_DEFAULT, nullptr, OnSoupHead,
                          exchange);
  g_object_unref(forwarded);
}

void RunSoup(int pipe, const net::Address& endpoint) {
  SoupProxy proxy;
  proxy.base = "http://" + endpoint.Text();
  proxy.session = soup_session_new_with_options("max-conns", 200, "max-conns-per-host", 200,
                                                "proxy-resolver", nullptr, nullptr);
  SoupServer* server = soup_server_new(nullptr, nullptr);
  soup_server_add_handler(server, nullptr, OnSoupRequest, &proxy, nullptr);
  if (!soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr)) std::abort();
  GSList* uris = soup_server_get_uris(server);
  SendPort(pipe, static_cast<std::uint16_t>(g_uri_get_port(static_cast<GUri*>(uris->data))));
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
}

// ---- Clients and endpoint ----

class Endpoint {
 public:
  Endpoint(net::Loop& loop, int events)
      : loop_(loop), events_(events), listener_(loop.Listen(*net::Address::Parse("127.0.0.1:0"))) {
    Accept();
  }
  net::Address address() const { return listener_->address(); }

 private:
  class Connection : public net::StreamUser {
   public:
    Connection(Endpoint& owner, net::StreamPtr stream)
        : owner_(owner),
          stream_(std::move(stream)),
          timer_(owner.loop_.NewTimer([this] { SendNextEvent(); })) {
      stream_->SetUser(*this);
      stream_->Receive();
    }

   private:
    void OnBytes(std::string_view bytes) override {
      text_.append(bytes);
      const proxy_test::Message request = proxy_test::TakeMessage(text_, false, false);
      if (request.whole) {
        if (owner_.events_ == 0) {
          stream_->Write(proxy_test::Endpoint::Response(request, "the whole answer"));
        } else {
          stream_->Write(proxy_test::Endpoint::StreamHead(request));
          sent_ = 0;
          SendNextEvent();
        }
      }
      stream_->Receive();
    }
    void OnEnd(net::Fault) override { stream_->Close(); }
    void SendNextEvent() {
      if (sent_ == owner_.events_) return void(stream_->Write("0\r\n\r\n"));
      stream_->Write(proxy_test::Endpoint::Chunk(proxy_test::Endpoint::EventText(++sent_)));
      timer_->ArmAt(owner_.loop_.Now() + kEventGap);
    }

    Endpoint& owner_;
    net::StreamPtr stream_;
    net::TimerPtr timer_;
    std::string text_;
    int sent_ = 0;
  };

  void Accept() {
    listener_->Accept([this](net::Fault fault, net::StreamPtr stream) {
      if (fault == net::Fault::kNone) {
        connections_.push_back(std::make_unique<Connection>(*this, std::move(stream)));
      }
      Accept();
    });
  }

  net::Loop& loop_;
  int events_;
  net::ListenerPtr listener_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

// Sends its requests one after the other on one connection; `done` is called after the last
// response.
class SequentialClient : public net::StreamUser {
 public:
  SequentialClient(net::Loop& loop, const net::Address& address, int number, int requests,
                   bool stream, std::function<void()> done)
      : number_(number),
        remaining_(requests),
        path_(stream ? "/stream/a" : "/post/a"),
        done_(std::move(done)),
        stream_(loop.Dial(address, *this)) {}

 private:
  void OnConnected(net::Fault fault) override {
    if (fault != net::Fault::kNone) std::abort();
    SendRequest();
    stream_->Receive();
  }
  void SendRequest() {
    const std::string id = std::to_string(number_) + "-" + std::to_string(remaining_);
    stream_->Write(
        proxy_test::Request(path_, id,
                            "Shelflink-Model: m\r\nShelflink-Token-Count: 1460,80\r\n"
                            "Shelflink-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
                            std::string(400, 'p')));
  }
  void OnBytes(std::string_view bytes) override {
    text_.append(bytes);
    const proxy_test::Message response = proxy_test::TakeMessage(text_, true, false);
    if (response.whole) {
      if (response.Status() != 200) {
        std::fprintf(stderr, "%s\n", response.start_line.c_str());
        std::abort();
      }
      if (--remaining_ == 0) {
        stream_->Close();
        return done_();
      }
      SendRequest();
    }
    stream_->Receive();
  }
  void OnEnd(net::Fault) override { std::abort(); }

  int number_;
  int remaining_;
  std::string path_;
  std::function<void()> done_;
  net::StreamPtr stream_;
  std::string text_;
};

double SecondsOf(const timeval& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

int Measure(const std::string& proxy_kind, int requests, int events, int concurrency) {
  boost::asio::io_context io;
  net::SocketLoop loop(io);
  Endpoint endpoint(loop, events);
  std::array<int, 2> pipe{};
  if (::pipe(pipe.data()) != 0) return 1;
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    proxy_kind == "own" ? RunOwn(pipe[1], endpoint.address())
                        : RunSoup(pipe[1], endpoint.address());
    std::exit(0);
  }
  std::uint16_t port = 0;
  if (::read(pipe[0], &port, sizeof(port)) != sizeof(port)) return 1;
  const auto front = net::Address::V4(0x7f000001, port);
  int active_clients = concurrency;
  std::vector<std::unique_ptr<SequentialClient>> clients;
  for (int number = 0; number < concurrency; ++number) {
    clients.push_back(std::make_unique<SequentialClient>(loop, front, number,
                                                         requests / concurrency, events > 0, [&] {
                                                           if (--active_clients == 0) io.stop();
                                                         }));
  }
  io.run();
  ::kill(child, SIGKILL);
  rusage used{};
  ::wait4(child, nullptr, 0, &used);
  const double user = SecondsOf(used.ru_utime);
  const double system = SecondsOf(used.ru_stime);
  std::printf("%s: %d requests of %d events: %.1f us a request (user %.1f, system %.1f), %ld KB\n",
              proxy_kind.c_str(), requests, events, (user + system) * 1e6 / requests,
              user * 1e6 / requests, system * 1e6 / requests, used.ru_maxrss);
  clients.clear();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 4 && argc != 5) {
    std::fprintf(stderr, "usage: tier_proxy_path_cost own|soup REQUESTS EVENTS [AT_ONCE]\n");
    return 2;
  }
  return Measure(argv[1], std::atoi(argv[2]), std::atoi(argv[3]),
                 argc == 5 ? std::atoi(argv[4]) : kDefaultConcurrency);
}
