// HTTP/1.1 messages: an incremental parser, and writers. Bytes in, values out.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "transport/pool.hpp"

namespace meadow::protocol {

inline constexpr std::size_t most_body = 64 * 1024;
inline constexpr std::size_t most_fields = 100;

bool same_word(std::string_view a, std::string_view b);  // ASCII, whatever the case

struct Field {
  std::string_view name, value;
};

// What is wrong with a message; the value is the status that answers a request of that sort.
enum class Fault : std::uint16_t {
  none = 0,
  bad = 400,
  body_too_large = 413,
  head_too_large = 431,
  no_room = 503
};

// One message. Its bytes lie in buffers of the pool: the head in the first one, then the body without its
// framing. Names, values and the target are views of the head and last until reset().
class Message {
 public:
  enum class Kind : std::uint8_t { request, answer };
  enum class Body : std::uint8_t { kept, streamed };  // streamed: without end, taken by take_body()

  Message(transport::Pool& pool, Kind kind, Body body = Body::kept)
      : kind_(kind), body_(body), bytes_(pool) {}

  // Takes what belongs to this message and says how much that was.
  std::size_t feed(std::string_view in);
  void reset();
  // An answer to HEAD has a length and no body.
  void expect_no_body() { no_body_ = true; }
  [[nodiscard]] bool no_body() const { return no_body_; }

  [[nodiscard]] bool started() const { return at_ != At::start || bytes_.size() > 0; }
  [[nodiscard]] bool head_whole() const { return at_ > At::field && fault_ == Fault::none; }
  [[nodiscard]] bool whole() const { return at_ == At::whole; }
  [[nodiscard]] Fault fault() const { return fault_; }

  [[nodiscard]] std::string_view method() const { return method_; }
  [[nodiscard]] std::string_view target() const { return target_; }
  [[nodiscard]] int status() const { return status_; }
  [[nodiscard]] const std::vector<Field>& fields() const { return fields_; }
  // The first of that name; empty where there is none.
  [[nodiscard]] std::string_view find(std::string_view name) const;
  [[nodiscard]] int count(std::string_view name) const;
  [[nodiscard]] bool keep_alive() const;
  [[nodiscard]] std::size_t body_size() const { return bytes_.size() - head_size_; }
  template <class F>
  void each_body(F&& f) const {
    bytes_.each(head_size_, f);
  }
  std::string take_body();
  // Fields that go on to the next hop.
  [[nodiscard]] bool passes_on(const Field& field) const;

 private:
  enum class At : std::uint8_t { start, field, body, chunk_size, chunk, chunk_end, trailer, whole };

  void line(std::string_view text);
  bool start_line(std::string_view text);
  bool field_line(std::string_view text);
  void frame();
  void chunk_size_line(std::string_view text);
  void fail(Fault f) { fault_ = f; }
  [[nodiscard]] bool listed(std::string_view field, std::string_view word) const;

  Kind kind_;
  Body body_;
  transport::Chain bytes_;
  At at_ = At::start;
  Fault fault_ = Fault::none;
  std::size_t line_from_ = 0;  // in the head
  std::string framing_;        // a line of chunk framing under way
  std::size_t left_ = 0;       // of the body or the chunk
  std::size_t head_size_ = 0, trailer_size_ = 0;
  std::vector<Field> fields_;
  std::string_view method_, target_;
  int status_ = 0;
  bool old_ = false;         // HTTP/1.0
  bool empty_line_ = false;  // one came before the request
  bool no_body_ = false;
};

// A token list's test: does `value` hold `word`?
bool holds_word(std::string_view value, std::string_view word);

// Writers. False: the pool is out of buffers.
bool write_request(transport::Chain& out, const Message& visit, double wait_ms);
bool write_get(transport::Chain& out, std::string_view host, std::string_view target);
bool write_answer(transport::Chain& out, const Message& answer, bool close);
// An answer of our own; `extra` holds whole header lines.
bool write_own(transport::Chain& out, int status, std::string_view extra, std::string_view body, bool close,
               bool head_only = false);

}  // namespace meadow::protocol
