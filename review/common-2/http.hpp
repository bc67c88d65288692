// Reading and writing HTTP/1.1 messages over a Socket.
#pragma once

#include <map>
#include <string>

#include "net.hpp"

namespace review {

// One message. Names of header fields are in lower case.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;
  std::string body;
  double first_byte_at_ms = 0;
  double last_byte_at_ms = 0;

  // Parts of the start line: the method and target of a request, the status of a response.
  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string target() const;
  [[nodiscard]] int status() const;
  // The value of a field; empty if absent.
  [[nodiscard]] std::string field(const std::string& name) const;
};

// Reads messages from one connection. Bytes beyond a message are kept for the next one.
class MessageReader {
 public:
  explicit MessageReader(Socket& socket) : socket_(socket) {}

  // Reads the head of the next message into `message`.
  Io read_head(Message& message, double until_ms);
  // Reads the body of a message whose head was read: by its length, in chunks, or for a response with neither
  // up to the end of the connection. On an early end `message` has what came.
  Io read_body(Message& message, double until_ms);
  // Both.
  Io read(Message& message, double until_ms);

 private:
  Io read_more(double until_ms) { return socket_.receive(received_, until_ms); }
  Io read_line(std::string& line, double until_ms);
  Io read_exactly(std::string& to, std::size_t size, double until_ms);
  Io read_chunks(Message& message, double until_ms);

  Socket& socket_;
  std::string received_;
};

// The word for how an exchange ended, for the record.
const char* name_of(Io io);

}  // namespace review
