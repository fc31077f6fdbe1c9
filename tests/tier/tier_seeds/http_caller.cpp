#include "tier_seeds/http_caller.h"

#include <utility>

namespace shelflink::tier_seeds {

std::string TextOf(const HttpRequestText& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host +
                     "\r\n" + request.headers;
  if (request.method != "GET" || !request.body.empty()) {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n" + request.body;
}

void HttpConnection::Ask(const std::string& request, net::Span patience, Done done) {
  done_ = std::move(done);
  unsent_ += request;
  timer_ = process_.NewTimer([this] { Finish(true); });
  timer_->ArmAt(process_.Now() + patience);
  if (connected_) OnWritable();
}

void HttpConnection::Leave() {
  done_ = nullptr;
  if (timer_) timer_->Cancel();
  if (over_) return;
  over_ = true;
  stream_->Close();
}

void HttpConnection::OnConnected(net::Fault fault) {
  if (fault != net::Fault::kNone) return OnEnd(fault);
  connected_ = true;
  OnWritable();
  stream_->Receive();
}

void HttpConnection::OnWritable() {
  if (!over_ && !unsent_.empty()) unsent_.erase(0, stream_->Write(unsent_).bytes);
}

void HttpConnection::OnBytes(std::string_view bytes) {
  if (!asking()) {
    unasked_.append(bytes);
    stream_->Receive();
    return;
  }
  came_.append(bytes);
  std::string rest = came_;
  proxy_test::Message answer = proxy_test::TakeMessage(rest, true, false);
  while (answer.whole && answer.Status() / 100 == 1) {
    came_ = rest;
    answer = proxy_test::TakeMessage(rest, true, false);
  }
  if (answer.whole) Finish(false);
  if (!over_) stream_->Receive();
}

void HttpConnection::OnEnd(net::Fault fault) {
  over_ = true;
  fault_ = fault;
  if (asking()) Finish(false);
}

void HttpConnection::Finish(bool timed_out) {
  timer_->Cancel();
  HttpOutcome outcome;
  const bool ended = over_ && fault_ == net::Fault::kEnd;
  outcome.answer = proxy_test::TakeMessage(came_, true, ended);
  outcome.whole = outcome.answer.whole;
  outcome.connected = connected_;
  outcome.timed_out = timed_out;
  outcome.fault = fault_;
  if (outcome.whole) {
    closing_ = proxy_test::Lower(outcome.answer.Value("Connection")) == "close";
    unasked_ = std::exchange(came_, {});
  } else if (!over_) {
    over_ = true;
    stream_->Close();
  }
  const Done done = std::exchange(done_, nullptr);
  done(outcome);
}

HttpConnection& HttpCallers::Dial(const net::Address& to) {
  connections_.push_back(std::make_unique<HttpConnection>(process_, to));
  return *connections_.back();
}

void HttpCallers::Ask(const net::Address& to, const HttpRequestText& request, net::Span patience,
                      HttpConnection::Done done) {
  HttpConnection& connection = Dial(to);
  connection.Ask(TextOf(request), patience,
                 [&connection, done = std::move(done)](const HttpOutcome& outcome) {
                   done(outcome);
                   if (connection.idle()) connection.Leave();
                 });
}

}  // namespace shelflink::tier_seeds
