// A TCP connection of the lab. Thousands of them are held at little memory: all read through one
// buffer, and an idle one owns none. Single-threaded: a stream belongs to one io_context.
#ifndef SHELFLAB_LAB_STREAM_H_
#define SHELFLAB_LAB_STREAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace shelflab {

class Stream : public std::enable_shared_from_this<Stream> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  explicit Stream(Socket socket) : socket_(std::move(socket)) {}
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  virtual ~Stream() = default;

  // Reads until told to stop; what comes goes to OnBytes.
  void StartReading();
  void StopReading() { wants_bytes_ = false; }
  // Sends at once what the socket takes, the rest as it can.
  void Write(std::string_view bytes);
  // Ends it; OnClosed is not called. Bytes written but not sent yet are lost.
  void Close();
  // Ends it by a reset.
  void Reset();
  // Ends it once all that was written has been sent.
  void CloseAfterWriting();
  bool open() const { return socket_.is_open(); }
  Socket& socket() { return socket_; }

 protected:
  virtual void OnBytes(std::string_view bytes) = 0;
  // The other side has ended it, or it broke. It is closed when this is called.
  virtual void OnClosed() = 0;

 private:
  void ReadSome();
  void WriteSome();
  void Broken();

  Socket socket_;
  std::string unsent_;
  bool wants_bytes_ = false;
  bool waits_to_read_ = false;
  bool waits_to_write_ = false;
  bool close_when_sent_ = false;
};

// "127.0.0.1:7000"
std::string AddressText(const boost::asio::ip::tcp::endpoint& endpoint);

// Makes it non-blocking and sends small messages at once.
void Prepare(boost::asio::ip::tcp::socket& socket);

}  // namespace shelflab

#endif  // SHELFLAB_LAB_STREAM_H_
