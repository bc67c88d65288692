// TCP connections.
#pragma once

#include <sys/types.h>

#include "transport/address.hpp"
#include "transport/loop.hpp"
#include "transport/pool.hpp"

namespace meadowgauge::transport {

// A non-blocking TCP connection with one input buffer and an output queue. The owner is notified of its
// events, which are edge-triggered: reads and writes continue until EAGAIN. Loop, pool and owner must outlive
// the stream.
class Stream final : BufferWaiter {
 public:
  // Result of fill().
  enum class ReadResult : std::uint8_t {
    bytes,    // bytes were added to bytes()
    nothing,  // nothing to read, or no space; see drained()
    end,      // the peer has ended its side
    broken    // the stream is closed or the socket failed
  };

  // `fd`: an accepted connection, or one that dial() started. `is_prioritized`: notify the owner before the
  // other handlers of a batch. Throws std::system_error if epoll refuses the descriptor.
  Stream(Loop& loop, Pool& pool, Fd fd, EventHandler& owner, bool is_prioritized = false);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Starts to connect to `to`. Returns an empty Fd, with errno set, if the connection fails immediately.
  static Fd dial(const Address& to);
  // The result of dial(), valid once the socket is writable: 0 or an errno value.
  [[nodiscard]] int dial_error() const;

  // Reads once into the input buffer, at most `max_bytes`; call it until the result is `nothing`. Without a
  // free buffer in the pool the owner is notified of EPOLLIN when there is one. Where the pool has no shared
  // buffer, bytes that the owner does not consume at once stay in the socket, and fill() gives them again.
  ReadResult fill(std::size_t max_bytes = buffer_size);
  // Whether the last fill() found the socket without unread input.
  [[nodiscard]] bool drained() const { return drained_; }
  // The number of bytes that the socket has received and fill() has not read.
  [[nodiscard]] std::size_t unread_bytes() const;
  // Makes fill() read the kernel's receive timestamps. arrived_ms() stays 0 where they are not supported.
  void record_arrivals();
  // When the kernel received the last bytes that fill() read, in ms of Unix time; 0 if unknown.
  [[nodiscard]] double arrived_ms() const { return arrived_ms_; }
  // The received bytes that are not yet consumed; valid until the next fill(), consume() or close().
  [[nodiscard]] std::string_view bytes() const;
  // Drops the first `n` of bytes().
  void consume(std::size_t n);
  // Whether the connection is open and the socket has no unread input. Peeks at the socket.
  [[nodiscard]] bool quiet() const;
  // Whether the peer has ended its side, or the socket failed, and no input is left. Peeks at the socket.
  [[nodiscard]] bool ended() const;

  // The queue of bytes that flush() sends.
  [[nodiscard]] Chain& out() { return output_; }
  // Sends queued bytes until EAGAIN. Returns false if the connection is closed or broken.
  bool flush();
  // The number of bytes that flush() has given to the system, and of those that the peer's system has taken.
  [[nodiscard]] std::uint64_t sent_bytes() const { return sent_bytes_; }
  [[nodiscard]] std::uint64_t acknowledged_bytes() const;
  // Whether the output queue is empty.
  [[nodiscard]] bool flushed() const { return output_.size() == 0; }
  // Closes the sending direction; the peer may still send.
  void end_sending();

  // Notifies the owner again; see Loop::again().
  void again(std::uint32_t events) { loop_->again(token_, events); }
  // Notifies the owner of `events` when the pool has a free buffer again.
  void wait_for_buffer(std::uint32_t events);
  [[nodiscard]] bool open() const { return static_cast<bool>(fd_); }
  void close();
  // Closes with a TCP reset.
  void reset();

 private:
  void buffer_available() override;
  [[nodiscard]] bool take_input_buffer();
  ssize_t receive(char* to, std::size_t size);

  Loop* loop_;
  Pool* pool_;
  Fd fd_;
  std::uint64_t token_;
  Buffer input_;
  std::size_t unread_begin_ = 0;  // bytes() is [unread_begin_, unread_end_) of input_
  std::size_t unread_end_ = 0;
  // The bytes of input_ are still in the socket, so that input_ is not kept between calls of the owner.
  bool peeks_ = false;
  bool drained_ = true;
  std::uint32_t awaited_events_ = 0;  // see wait_for_buffer()
  Chain output_;
  std::uint64_t sent_bytes_ = 0;
  bool records_arrivals_ = false;
  double arrived_ms_ = 0;
};

}  // namespace meadowgauge::transport
